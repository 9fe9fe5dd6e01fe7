//! Replicas of the store's tables: updates from the store and from other hosts, and the read schedule.

use {
    coveproxy::{
        clock::Instant,
        formats::{Row, RowBatch},
        process::tables::{Comparison, ReadSchedule, ReadTimings, TableReplica},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{collections::BTreeMap, time::Duration},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Values are equivalent if they are equal up to the first comma.
fn fingerprint(row: &Row) -> u64 {
    let value = row.value.as_deref().unwrap_or_default();
    let end = value.iter().position(|byte| *byte == b',');
    value[..end.unwrap_or(value.len())]
        .iter()
        .fold(7, |sum, byte| sum * 31 + u64::from(*byte))
}

fn row(
    key: &str,
    version: u64,
    value: Option<&str>,
) -> Row {
    Row {
        key: key.into(),
        version: version.into(),
        value: value.map(|value| value.as_bytes().into()),
    }
}

fn batch(
    version: u64,
    rows: Vec<Row>,
) -> RowBatch {
    RowBatch {
        rows,
        version: version.into(),
        more: false,
    }
}

fn values(replica: &TableReplica) -> BTreeMap<String, String> {
    replica
        .rows()
        .map(|row| {
            let value = row.value.as_deref().unwrap();
            let text = String::from_utf8_lossy(value);
            let text = text.split(',').next().unwrap();
            (row.key.to_string(), text.to_string())
        })
        .collect()
}

#[test]
fn a_copy_never_goes_back() {
    let now = Instant::now();
    let mut replica = TableReplica::default();
    replica.apply_snapshot(batch(10, vec![row("a", 10, Some("x"))]), now, fingerprint);
    let later = now + ms(500);
    let stale = batch(9, vec![row("a", 9, Some("old"))]);
    assert!(
        replica
            .apply_changes(stale.clone(), later, fingerprint)
            .is_empty()
    );
    assert!(replica.apply_snapshot(stale, later, fingerprint).is_empty());
    assert_eq!(values(&replica)["a"], "x");
    // A stale reply does not count as a confirmation.
    assert_eq!(replica.staleness(later), Some(ms(500)));
}

#[test]
fn what_does_not_matter_is_no_change() {
    let now = Instant::now();
    let mut replica = TableReplica::default();
    replica.apply_snapshot(batch(1, vec![row("a", 1, Some("x,1"))]), now, fingerprint);
    let digest = replica.digest();
    let changed = replica.apply_changes(batch(2, vec![row("a", 2, Some("x,2"))]), now, fingerprint);
    assert!(changed.is_empty());
    assert_eq!(replica.digest(), digest);
    let changed = replica.apply_changes(batch(3, vec![row("a", 3, Some("y,2"))]), now, fingerprint);
    assert_eq!(changed.len(), 1);
    assert_ne!(replica.digest(), digest);
}

#[test]
fn rows_that_a_whole_read_lacks_are_gone() {
    let now = Instant::now();
    let mut replica = TableReplica::default();
    let both = vec![row("a", 1, Some("x")), row("b", 2, Some("y"))];
    replica.apply_snapshot(batch(2, both), now, fingerprint);
    let changed = replica.apply_snapshot(batch(5, vec![row("b", 2, Some("y"))]), now, fingerprint);
    assert_eq!(changed, [row("a", 5, None)]);
    assert_eq!(values(&replica).len(), 1);
    let changes = replica.changes_since(4.into());
    assert!(changes.is_full || changes.rows.contains(&row("a", 5, None)));
}

#[rstest]
#[case::same(5, true, Comparison::Same)]
#[case::same_though_it_has_read_later(9, true, Comparison::Same)]
#[case::newer(9, false, Comparison::Newer)]
#[case::older(3, false, Comparison::Older)]
fn copies_are_compared_by_what_they_mean(
    #[case] version: u64,
    #[case] same: bool,
    #[case] expected: Comparison,
) {
    let now = Instant::now();
    let mut replica = TableReplica::default();
    replica.apply_snapshot(batch(5, vec![row("a", 1, Some("x"))]), now, fingerprint);
    let digest = match same {
        true => replica.digest(),
        false => replica.digest() + 1,
    };
    let later = now + ms(300);
    assert_eq!(replica.compare(version.into(), digest, later), expected);
    let staleness = match expected {
        Comparison::Same => Duration::ZERO,
        _ => ms(300),
    };
    assert_eq!(replica.staleness(later), Some(staleness));
}

/// Replicas must converge to the store after random writes, reads and pulls, also when a value changes
/// back.
#[test]
fn copies_that_talk_come_to_mean_the_same() {
    for seed in 0..400 {
        let mut rng = StdRng::seed_from_u64(seed);
        let begin = Instant::now();
        let mut store: BTreeMap<String, (u64, Option<String>)> = BTreeMap::new();
        let mut version = 0;
        let mut replicas: Vec<TableReplica> = (0..4).map(|_| TableReplica::default()).collect();
        for step in 0..120 {
            let now = begin + ms(step * 100);
            for _ in 0..rng.random_range(0..3) {
                version += 1;
                let key = format!("k{}", rng.random_range(0..5));
                let value = match rng.random_range(0..4) {
                    0 => None,
                    value => Some(format!("v{value},{}", rng.random_range(0..9))),
                };
                store.insert(key, (version, value));
            }
            let reader = rng.random_range(0..4);
            match rng.random_range(0..6) {
                0 | 1 => read_store(&store, version, &mut replicas[reader], now, &mut rng),
                _ => {
                    let other = rng.random_range(0..4);
                    pull(&mut replicas, reader, other, now);
                }
            }
        }
        let now = begin + ms(60_000);
        read_store(&store, version, &mut replicas[0], now, &mut rng);
        for host in 1..4 {
            pull(&mut replicas, host, 0, now);
        }
        let expected: BTreeMap<String, String> = store
            .iter()
            .filter_map(|(key, (_, value))| {
                let value = value.as_ref()?.split(',').next()?.to_string();
                Some((key.clone(), value))
            })
            .collect();
        for replica in &replicas {
            assert_eq!(values(replica), expected, "seed {seed}");
            assert_eq!(replica.staleness(now), Some(Duration::ZERO), "seed {seed}");
        }
    }
}

fn read_store(
    store: &BTreeMap<String, (u64, Option<String>)>,
    version: u64,
    replica: &mut TableReplica,
    now: Instant,
    rng: &mut StdRng,
) {
    let rows = |since: u64| -> Vec<Row> {
        let mut rows: Vec<Row> = store
            .iter()
            .filter(|(_, (version, _))| *version > since)
            .map(|(key, (version, value))| row(key, *version, value.as_deref()))
            .collect();
        rows.sort_by_key(|row| row.version);
        rows
    };
    if replica.is_known() && rng.random_bool(0.8) {
        replica.apply_changes(
            batch(version, rows(replica.version().number)),
            now,
            fingerprint,
        );
        return;
    }
    let live = rows(0).into_iter().filter(|row| row.value.is_some());
    replica.apply_snapshot(batch(version, live.collect()), now, fingerprint);
}

/// Pulls the changes that `host` lacks, as the control thread does.
fn pull(
    replicas: &mut [TableReplica],
    host: usize,
    from: usize,
    now: Instant,
) {
    if host == from || !replicas[from].is_known() {
        return;
    }
    let confirmed_at = now - replicas[from].staleness(now).unwrap();
    let (version, digest) = (replicas[from].version(), replicas[from].digest());
    if replicas[host].compare(version, digest, confirmed_at) != Comparison::Newer {
        return;
    }
    let since = match replicas[host].is_known() {
        true => replicas[host].version(),
        false => 0.into(),
    };
    let changes = replicas[from].changes_since(since);
    let is_full = changes.is_full;
    let (_, same) = replicas[host].apply_host_changes(changes, confirmed_at, fingerprint);
    if !same && !is_full {
        let changes = replicas[from].changes_since(0.into());
        let (_, same) = replicas[host].apply_host_changes(changes, confirmed_at, fingerprint);
        assert!(same, "digests differ after a full snapshot");
    }
}

#[test]
fn the_first_host_reads_and_the_others_wait_their_turn() {
    let timings = ReadTimings::within(ms(2_000));
    let now = Instant::now();
    let reads = |staleness: u64, rank: usize| {
        ReadSchedule::new(timings, now).start_if_due(Some(ms(staleness)), rank, now)
    };
    assert!(!reads(500, 0) && reads(600, 0));
    assert!(!reads(800, 1) && reads(840, 1));
    assert!(!reads(1_190, 90) && reads(1_200, 90));
}

#[test]
fn a_read_that_fails_is_tried_again_sooner_than_the_bound() {
    let timings = ReadTimings::within(ms(2_000));
    let begin = Instant::now();
    let mut schedule = ReadSchedule::new(timings, begin);
    let mut now = begin;
    let mut reads = 0;
    while now < begin + ms(20_000) {
        if schedule.start_if_due(Some(ms(5_000)), 0, now) {
            reads += 1;
            assert!(
                !schedule.start_if_due(Some(ms(5_000)), 0, now),
                "one read at a time"
            );
            schedule.on_end(false, now);
        }
        now += ms(50);
    }
    // At most one second between two reads, and no burst.
    assert!((19..30).contains(&reads), "{reads}");
    assert!(schedule.failures() >= 19);
    now += ms(1_000);
    assert!(schedule.start_if_due(None, 0, now));
    schedule.on_end(true, now);
    assert!(schedule.start_if_due(None, 0, now));
}

#[test]
fn hosts_that_start_at_once_read_one_after_the_other() {
    let now = Instant::now();
    let reads_after = |rank: usize, passed: Duration| {
        let timings = ReadTimings::within(ms(2_000));
        ReadSchedule::new(timings, now).start_if_due(None, rank, now + passed)
    };
    assert!(
        !reads_after(0, ms(100)),
        "another host may still send its replica"
    );
    assert!(reads_after(0, ms(150)));
    assert!(!reads_after(3, ms(150)));
    assert!(reads_after(3, ms(225)));
    assert!(reads_after(usize::MAX, ms(450)));
}

#[test]
fn a_host_reads_at_once_when_no_other_has_a_copy() {
    let now = Instant::now();
    let timings = ReadTimings::within(ms(2_000));
    let mut schedule = ReadSchedule::new(timings, now);
    assert!(!schedule.start_if_due(None, 9, now + ms(30)));
    schedule.on_no_replica(now + ms(40));
    // A later call does not delay the read.
    schedule.on_no_replica(now + ms(5_000));
    assert!(!schedule.start_if_due(None, 9, now + ms(30)));
    assert!(schedule.start_if_due(None, 9, now + ms(40)));
    assert!(
        !schedule.start_if_due(None, 9, now + ms(50)),
        "one read at a time"
    );
}

/// 195 hosts with a staleness bound of 4 s must not flood a store that is unavailable for 8 s; each read
/// fails after 4 ms.
#[test]
fn many_hosts_make_few_calls_while_the_store_is_out() {
    let step = ms(10);
    let bound = ms(4_000);
    let outage = ms(8_000);
    let begin = Instant::now();
    let mut hosts: Vec<ReadSchedule> = (0..195)
        .map(|_| ReadSchedule::new(ReadTimings::within(bound), begin))
        .collect();
    let mut calls = 0;
    let mut longest_gap = Duration::ZERO;
    let mut last_call = begin;
    let mut passed = Duration::ZERO;
    while passed < outage {
        passed += step;
        let now = begin + passed;
        for (rank, schedule) in hosts.iter_mut().enumerate() {
            if schedule.start_if_due(Some(passed), rank, now) {
                schedule.on_end(false, now + ms(4));
                calls += 1;
                longest_gap = longest_gap.max(now - last_call);
                last_call = now;
            }
        }
    }
    assert!(calls < 600, "{calls} calls");
    assert!(
        longest_gap <= bound / 2,
        "{longest_gap:?} without a read: the recovery is detected too late"
    );
}
