//! When the control thread tells that it wakes too often, or takes too long.

use {
    coveproxy::{
        clock::Instant,
        process::host::{BusyPeriod, WakeWatch},
    },
    std::time::Duration,
};

fn us(us: u64) -> Duration {
    Duration::from_micros(us)
}

/// Wakes evenly over two seconds, each of `step`; gives what was out of bound.
fn wake(
    kind: &'static str,
    a_second: u64,
    step: Duration,
) -> Vec<BusyPeriod> {
    let start = Instant::now();
    let mut watch = WakeWatch::new(start);
    let wakes = (0..2 * a_second).map(|at| start + us(at * 1_000_000 / a_second));
    wakes
        .filter_map(|at| watch.on_wake(kind, at, at + step))
        .collect()
}

#[test]
fn usual_wakes_are_not_told() {
    assert!(wake("tick", 250, us(200)).is_empty());
}

#[test]
fn a_desk_that_is_due_without_end_is_told_with_its_kind() {
    let told = wake("tick", 20_000, us(10));
    assert!(!told.is_empty());
    assert_eq!(told[0].worst, "tick");
    assert!(told[0].wakes > 2_500, "{told:?}");
}

#[test]
fn one_long_step_is_told() {
    let told = wake("store", 2, Duration::from_millis(150));
    assert_eq!(told[0].longest, Duration::from_millis(150));
}

#[test]
fn the_kind_that_took_the_most_time_is_named() {
    let start = Instant::now();
    let mut watch = WakeWatch::new(start);
    for at in 0..100 {
        let begun = start + us(at * 100);
        assert_eq!(watch.on_wake("usage", begun, begun + us(5)), None);
    }
    let begun = start + Duration::from_millis(900);
    let told = watch.on_wake("pull", begun, begun + Duration::from_millis(300));
    let told = told.expect("300 ms is too long");
    assert_eq!((told.worst, told.wakes), ("pull", 101));
}
