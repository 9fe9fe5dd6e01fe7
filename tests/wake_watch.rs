//! Reports of a control thread that wakes too often or for too long.

use {
    coveproxy::{
        clock::Instant,
        process::host::{BusyWindow, WakeMonitor},
    },
    std::time::Duration,
};

fn us(us: u64) -> Duration {
    Duration::from_micros(us)
}

/// Records evenly spread wakes over two seconds, each of length `step`; returns the excessive windows.
fn record_wakes(
    kind: &'static str,
    per_second: u64,
    step: Duration,
) -> Vec<BusyWindow> {
    let start = Instant::now();
    let mut monitor = WakeMonitor::new(start);
    let wakes = (0..2 * per_second).map(|at| start + us(at * 1_000_000 / per_second));
    wakes
        .filter_map(|at| monitor.record(kind, at, at + step))
        .collect()
}

#[test]
fn usual_wakes_are_not_reported() {
    assert!(record_wakes("tick", 250, us(200)).is_empty());
}

#[test]
fn excessive_wakes_are_reported_with_their_kind() {
    let reported = record_wakes("tick", 20_000, us(10));
    assert!(!reported.is_empty());
    assert_eq!(reported[0].worst, "tick");
    assert!(reported[0].wakes > 2_500, "{reported:?}");
}

#[test]
fn one_long_wake_is_reported() {
    let reported = record_wakes("store", 2, Duration::from_millis(150));
    assert_eq!(reported[0].longest, Duration::from_millis(150));
}

#[test]
fn the_kind_that_took_the_most_time_is_named() {
    let start = Instant::now();
    let mut monitor = WakeMonitor::new(start);
    for at in 0..100 {
        let started = start + us(at * 100);
        assert_eq!(monitor.record("usage", started, started + us(5)), None);
    }
    let started = start + Duration::from_millis(900);
    let reported = monitor.record("pull", started, started + Duration::from_millis(300));
    let reported = reported.expect("300 ms is too long");
    assert_eq!((reported.worst, reported.wakes), ("pull", 101));
}
