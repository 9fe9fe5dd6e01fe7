//! Where streams began: who keeps that, for how long, and what follows from the answers of the hosts that are asked.

use {
    coveproxy::{
        clock::Instant,
        formats::{SoftwareId, SoftwareVersion},
        request::origins::{
            ORIGIN_TTL, OriginFinding, OriginHost, OriginRecords, OriginSearch, SearchOutcome,
            SoftwareHistory, StreamKey, StreamOrigin, origin_hosts,
        },
    },
    rstest::rstest,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

fn software(name: &str) -> SoftwareId {
    SoftwareVersion::named(name).id()
}

fn key(id: usize) -> StreamKey {
    StreamKey::new("models", format!("request-{id}").as_bytes())
}

fn origin(
    id: usize,
    at: Instant,
) -> StreamOrigin {
    StreamOrigin {
        key: key(id),
        software: software("v1"),
        at,
    }
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 1))
}

const HALLS: [&str; 3] = ["a", "b", "c"];

fn hosts(numbers: impl Iterator<Item = u8>) -> impl Iterator<Item = OriginHost<'static>> {
    numbers.map(|number| OriginHost {
        peer: peer(number),
        hall: HALLS[usize::from(number) % 3],
    })
}

#[test]
fn a_stream_of_another_service_is_another_stream() {
    assert_ne!(StreamKey::new("a", b"1"), StreamKey::new("b", b"1"));
    assert_eq!(StreamKey::new("a", b"1"), StreamKey::new("a", b"1"));
}

/// Guards against records that all are lost with one hall.
#[test]
fn the_first_three_keepers_stand_in_three_halls() {
    for id in 0..200 {
        let order = origin_hosts(key(id), hosts(1..=9));
        let halls: BTreeSet<usize> = order[..3]
            .iter()
            .map(|peer| match peer {
                SocketAddr::V4(peer) => usize::from(peer.ip().octets()[3]) % 3,
                SocketAddr::V6(_) => unreachable!(),
            })
            .collect();
        assert_eq!(halls.len(), 3, "{order:?}");
        assert_eq!(order.len(), 9);
    }
}

/// Guards against keepers that are not found again once a host is lost.
#[test]
fn keepers_are_among_those_asked_after_a_host_is_lost() {
    for id in 0..200 {
        let kept = origin_hosts(key(id), hosts(1..=30));
        for lost in &kept[..3] {
            let others = hosts(1..=30).filter(|host| host.peer != *lost);
            let asked = &origin_hosts(key(id), others)[..8];
            let found = kept[..3].iter().filter(|keeper| asked.contains(keeper));
            assert_eq!(found.count(), 2);
        }
    }
}

#[test]
fn a_record_lasts_for_its_time() {
    let now = Instant::now();
    let mut records = OriginRecords::default();
    records.record(origin(1, now), now);
    let later = now + ORIGIN_TTL - Duration::from_millis(1);
    assert_eq!(records.get(key(1), later), Some(software("v1")));
    assert_eq!(records.get(key(1), now + ORIGIN_TTL), None);
    assert_eq!(records.get(key(2), now), None);
}

#[test]
fn a_record_that_is_renewed_lasts_on() {
    let now = Instant::now();
    let mut records = OriginRecords::default();
    records.record(origin(1, now), now);
    let renewed = now + ORIGIN_TTL / 2;
    records.record(origin(1, renewed), renewed);
    // News of the first record that come late change nothing.
    records.record(origin(1, now), renewed);
    let later = now + ORIGIN_TTL + Duration::from_secs(1);
    assert_eq!(records.get(key(1), later), Some(software("v1")));
    records.record(origin(2, later), later);
    assert_eq!(records.len(), 2);
    let all_over = later + ORIGIN_TTL;
    records.record(origin(3, all_over), all_over);
    assert_eq!(records.len(), 1);
}

/// Guards against callers that fill a host's memory with streams.
#[test]
fn records_are_bounded() {
    let now = Instant::now();
    let mut records = OriginRecords::default();
    for id in 0..70_000 {
        records.record(origin(id, now + Duration::from_micros(id as u64)), now);
    }
    assert_eq!(records.len(), 65_536);
    assert_eq!(records.get(key(0), now), None);
    assert_eq!(records.get(key(69_999), now), Some(software("v1")));
    let newest = records.latest(now).next().unwrap();
    assert_eq!(newest.key, key(69_999));
}

#[test]
fn a_version_counts_until_no_stream_of_it_can_live() {
    let now = Instant::now();
    let mut history = SoftwareHistory::default();
    let (old, new) = (software("v1"), software("v1.1"));
    history.update([("models", old), ("others", old)].into_iter(), now);
    let later = now + ORIGIN_TTL / 2;
    history.update([("models", new)].into_iter(), later);
    let both: BTreeSet<SoftwareId> = history.versions("models").into_iter().collect();
    assert_eq!(both, [old, new].into());
    history.update([("models", new)].into_iter(), now + ORIGIN_TTL);
    assert_eq!(history.versions("models"), vec![new]);
    assert!(history.versions("others").is_empty());
}

/// What one host answers: the version that it has recorded, those that it knows of, and whether they are all.
fn said(
    recorded: Option<&'static str>,
    versions: &[&'static str],
) -> OriginFinding {
    OriginFinding {
        recorded: recorded.map(software),
        versions: versions.iter().copied().map(software).collect(),
        is_complete: true,
    }
}

/// The answer of a host that may have missed versions.
fn started_late(versions: &[&'static str]) -> OriginFinding {
    OriginFinding {
        is_complete: false,
        ..said(None, versions)
    }
}

#[rstest]
#[case::recorded_here(said(Some("v1"), &["v1", "v1.1"]), 0, &[], "recorded")]
#[case::recorded_elsewhere(said(None, &["v1.1"]), 3, &[said(None, &["v1"]), said(Some("v1"), &["v1"])], "recorded")]
#[case::nobody_else(said(None, &["v1"]), 0, &[], "only_version")]
#[case::nobody_else_two_versions(said(None, &["v1", "v1.1"]), 0, &[], "unknown")]
#[case::all_know_one(said(None, &["v1"]), 2, &[said(None, &["v1"]), said(None, &["v1"])], "only_version")]
#[case::one_heard(said(None, &["v1"]), 2, &[said(None, &["v1"])], "only_version")]
#[case::nobody_heard(said(None, &["v1"]), 2, &[], "unknown")]
#[case::another_knows_more(said(None, &["v1"]), 2, &[said(None, &["v1", "v1.1"])], "unknown")]
#[case::another_knows_other(said(None, &["v1"]), 1, &[said(None, &["v1.1"])], "unknown")]
#[case::no_version(said(None, &[]), 0, &[], "unknown")]
// All hosts have just started: a version that is gone from the list may have begun the stream.
#[case::all_started_late(started_late(&["v1"]), 2, &[started_late(&["v1"]), started_late(&["v1"])], "unknown")]
#[case::alone_started_late(started_late(&["v1"]), 0, &[], "unknown")]
#[case::one_knows_all(started_late(&["v1"]), 2, &[started_late(&["v1"]), said(None, &["v1"])], "only_version")]
#[case::one_knows_all_of_two(started_late(&["v1.1"]), 1, &[said(None, &["v1", "v1.1"])], "unknown")]
fn an_origin_that_nobody_knows_is_not_guessed(
    #[case] own: OriginFinding,
    #[case] asked: u32,
    #[case] others: &[OriginFinding],
    #[case] expected: &str,
) {
    let mut search = OriginSearch::default();
    search.on_own_answer(&own, asked);
    for said in others {
        search.on_answer(said);
    }
    assert_eq!(search.outcome().word(), expected);
    let all_heard = others.len() as u32 >= asked;
    assert_eq!(search.is_over(), all_heard || expected == "recorded");
    if expected == "recorded" {
        assert_eq!(search.outcome(), SearchOutcome::Recorded(software("v1")));
    }
}

/// Guards against hosts that take the versions they have seen for all that there were.
#[test]
fn a_history_is_complete_once_the_list_was_followed_for_as_long_as_streams_live() {
    let now = Instant::now();
    let mut history = SoftwareHistory::new(false);
    history.follow(true, now);
    history.update([("models", software("v1"))].into_iter(), now);
    let almost = now + ORIGIN_TTL - Duration::from_millis(1);
    assert!(!history.is_complete("models", almost));
    assert!(history.is_complete("models", now + ORIGIN_TTL));
    history.follow(false, almost);
    history.follow(true, almost);
    assert!(!history.is_complete("models", now + ORIGIN_TTL));
}

/// Guards against stored versions that speak for services of which nothing is stored, or for a time that was not followed.
#[test]
fn stored_versions_complete_the_history_of_their_service_alone() {
    let now = Instant::now();
    let mut history = SoftwareHistory::new(false);
    history.set_known_before("models");
    assert!(!history.is_complete("models", now), "nothing is followed");
    history.follow(true, now);
    history.add("models", software("v1"), now);
    history.set_known_before("models");
    assert!(history.is_complete("models", now));
    assert!(!history.is_complete("others", now));
    history.follow(false, now);
    assert!(!history.is_complete("models", now));
}

#[test]
fn no_stream_has_begun_before_the_first_start() {
    let now = Instant::now();
    let mut history = SoftwareHistory::new(true);
    assert!(!history.is_complete("models", now));
    history.follow(false, now);
    history.follow(true, now);
    assert!(history.is_complete("models", now));
}
