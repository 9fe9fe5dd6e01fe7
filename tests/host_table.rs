//! Failure detection and gossip of the host table, in particular for hosts that are still starting.

use {
    coveproxy::{
        clock::Instant,
        connection::datagram::{HostRumor, RumorState},
        process::hosts::{FailureDetectionTimings, HostAction, HostIdentity, HostState, HostTable},
    },
    std::{net::SocketAddr, time::Duration},
};

const STEP: Duration = Duration::from_millis(50);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(host: u8) -> SocketAddr {
    format!("10.0.0.{host}:7000").parse().unwrap()
}

fn table(now: Instant) -> HostTable {
    let identity = HostIdentity {
        peer: address(1),
        name: "host-1".to_string(),
        hall: "hall".to_string(),
        front: address(1),
        process: 1,
        link_mbps: 10,
    };
    HostTable::new(identity, FailureDetectionTimings::default(), now)
}

fn rumor(
    host: u8,
    state: RumorState,
) -> HostRumor {
    HostRumor {
        peer: address(host).into(),
        name: format!("host-{host}"),
        hall: "hall".to_string(),
        front: address(host).into(),
        process: u64::from(host),
        state: state as i32,
        ready: true,
        ..HostRumor::default()
    }
}

/// Ticks the table for `span`; returns the number of pings to host 2 and when it was declared dead.
fn watch(
    table: &mut HostTable,
    start: Instant,
    span: Duration,
) -> (usize, Option<Duration>) {
    let mut pings = 0;
    let mut now = start;
    while now < start + span {
        now += STEP;
        let actions = table.on_tick(now);
        let to_it = |action: &&HostAction| **action == HostAction::Ping { peer: address(2) };
        pings += actions.iter().filter(to_it).count();
        if table.get(address(2)).unwrap().state == HostState::Dead {
            return (pings, Some(now.saturating_duration_since(start)));
        }
    }
    (pings, None)
}

/// Guards against a host with a slow link being chosen to read a large table on behalf of the others.
#[test]
fn hosts_with_faster_links_read_first() {
    let now = Instant::now();
    let mut hosts = table(now);
    for (host, link_mbps) in [(2, 200), (3, 10), (4, 10), (5, 0)] {
        let rumor = HostRumor {
            link_mbps,
            ..rumor(host, RumorState::Alive)
        };
        hosts.on_heard(&rumor, now);
    }
    // Ranks after the faster link and before equal links with greater addresses and unknown links.
    assert_eq!(hosts.link_rank(), 1);
    hosts.on_heard(&rumor(2, RumorState::Leaving), now);
    assert_eq!(hosts.link_rank(), 0);
}

#[test]
fn a_host_that_was_never_heard_gets_time_to_start() {
    let start = Instant::now();
    let mut table = table(start);
    table.on_discovered(&rumor(2, RumorState::Alive), start);
    let (pings, dead) = watch(&mut table, start, ms(1_400));
    assert!(pings >= 4, "{pings} pings");
    assert_eq!(dead, None);
    let (_, dead) = watch(&mut table, start + ms(1_400), ms(600));
    assert!(dead.is_some(), "host 2 was not declared dead within 2 s");
}

#[test]
fn a_host_that_was_never_heard_is_gossiped_as_alive() {
    let start = Instant::now();
    let mut table = table(start);
    table.on_discovered(&rumor(2, RumorState::Alive), start);
    watch(&mut table, start, ms(3_000));
    assert_eq!(table.get(address(2)).unwrap().state, HostState::Dead);
    assert_eq!(
        table.get(address(2)).unwrap().to_rumor().state(),
        RumorState::Alive
    );
    assert!(table.take_rumors().is_empty());
}

#[test]
fn a_host_that_falls_silent_is_soon_dead_and_gossiped_as_dead() {
    let start = Instant::now();
    let mut table = table(start);
    table.on_heard(&rumor(2, RumorState::Alive), start);
    let (_, dead) = watch(&mut table, start, ms(2_500));
    assert!(dead.is_some_and(|dead| dead < ms(1_400)), "{dead:?}");
    let rumors = table.take_rumors();
    assert_eq!(rumors[0].state(), RumorState::Dead);
}

/// Returns the number of messages to all hosts that a host sends within three seconds after it was told that it is dead.
fn return_announcements(others: u8) -> usize {
    let mut now = Instant::now();
    let mut hosts = table(now);
    for host in 2..2 + others {
        hosts.on_heard(&rumor(host, RumorState::Alive), now);
    }
    hosts.on_rumor(&rumor(1, RumorState::Dead), now);
    let mut notified = 0;
    for _ in 0..60 {
        now += STEP;
        let is_notification = |action: &&HostAction| matches!(action, HostAction::Notify { .. });
        notified += hosts.on_tick(now).iter().filter(is_notification).count();
    }
    notified / usize::from(others)
}

/// Guards against engines without a known holder for half a minute after a partition of a large site: each host learnt
/// of the others' return only by its own pings. Smaller sites ping all hosts within seconds.
#[test]
fn a_host_of_a_large_site_that_was_taken_for_dead_tells_all_hosts() {
    assert_eq!(return_announcements(101), 3);
    assert_eq!(return_announcements(100), 0);
}

/// Guards against lists of engines in rumors of large sites, whose bytes grow with hosts and with engines, and against
/// rumors without a list that make a known list vanish.
#[test]
fn rumors_of_a_large_site_bear_no_lists() {
    let now = Instant::now();
    let mut hosts = table(now);
    for host in 2..=110 {
        let holder = HostRumor {
            holds: vec![format!("engine-{host}")],
            ..rumor(host, RumorState::Alive)
        };
        hosts.on_heard(&holder, now);
    }
    let rumors = hosts.all_rumors();
    assert_eq!(rumors.len(), 109);
    assert!(rumors.iter().all(|rumor| rumor.holds.is_empty()));
    let newer = HostRumor {
        incarnation: 1,
        ..rumors[0].clone()
    };
    hosts.on_rumor(&newer, now);
    assert_eq!(hosts.get(address(2)).unwrap().holds, ["engine-2"]);
}
