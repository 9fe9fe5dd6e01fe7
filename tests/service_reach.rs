//! Whether a host reaches any target of a service.

use {
    coveproxy::{clock::Instant, connection::targets::ServiceReach},
    std::time::Duration,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A service whose check, begun at `start`, no target answered.
fn unreached(
    start: Instant,
    last_heard: Option<Instant>,
) -> ServiceReach {
    let mut reach = ServiceReach::default();
    assert!(reach.begin_check(start));
    assert!(reach.on_unanswered(last_heard, start + ms(300)));
    reach
}

#[test]
fn a_suspicion_alone_makes_no_service_unreached() {
    let mut reach = ServiceReach::default();
    assert!(reach.begin_check(Instant::now()));
    assert!(!reach.is_unreached());
}

#[test]
fn only_one_check_runs_at_a_time_and_not_right_after_an_answer() {
    let start = Instant::now();
    let mut reach = ServiceReach::default();
    assert!(reach.begin_check(start));
    assert!(!reach.begin_check(start + ms(100)));
    assert_eq!(reach.on_answered(start + ms(100)), None);
    assert!(!reach.begin_check(start + ms(500)));
    assert!(reach.begin_check(start + ms(1_100)));
}

#[test]
fn an_answer_during_the_check_outweighs_its_end() {
    let start = Instant::now();
    let mut reach = ServiceReach::default();
    assert!(reach.begin_check(start));
    reach.on_answered(start + ms(200));
    assert!(!reach.on_unanswered(None, start + ms(300)));
    assert!(!reach.is_unreached());
}

#[test]
fn a_service_is_silent_unless_open_connections_bring_something_during_the_check() {
    let start = Instant::now() + ms(1_000);
    assert!(unreached(start, None).is_silent());
    assert!(unreached(start, Some(start - ms(10))).is_silent());
    let links_live = unreached(start, Some(start + ms(10)));
    assert!(links_live.is_unreached() && !links_live.is_silent());
}

#[test]
fn the_first_answer_ends_it() {
    let start = Instant::now();
    let mut reach = unreached(start, None);
    assert!(!reach.begin_check(start + ms(5_000)));
    assert_eq!(reach.on_answered(start + ms(5_300)), Some(ms(5_000)));
    assert!(!reach.is_unreached() && !reach.is_silent());
}
