//! Usage of an engine as reported to hosts that query it, and the load limit shared by the engines of a host.

use {
    coveproxy::{
        clock::Instant,
        connection::datagram::{EngineQuery, Usage},
        process::engines::{EngineLoads, EngineUsage, LoadLimiter},
    },
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn host(at: u8) -> SocketAddr {
    format!("10.0.0.{at}:7000").parse().unwrap()
}

fn query(chance: u32) -> EngineQuery {
    EngineQuery {
        target: "engine".to_string(),
        adapter: "m0/a1".to_string(),
        chance,
        tokens: 1_000,
        prompt_tokens: 600,
        ..EngineQuery::default()
    }
}

fn usage(in_flight: u32) -> Usage {
    Usage {
        target: "engine".to_string(),
        adapters: Vec::new(),
        in_flight,
        tokens: in_flight * 1_000,
        unread_tokens: in_flight * 600,
        ..Usage::default()
    }
}

#[test]
fn hosts_that_ask_at_the_same_moment_see_one_another() {
    let now = Instant::now();
    let mut engine = EngineUsage::default();
    let mut seen = Vec::new();
    for at in 0..5 {
        engine.on_query(host(at), &query(100), now);
        seen.push(engine.excluding(host(at)).in_flight);
    }
    assert_eq!(seen, [0, 1, 2, 3, 4]);
    assert_eq!(engine.excluding(host(9)).unread_tokens, 5 * 600);
}

#[test]
fn a_request_that_was_sent_counts_once() {
    let now = Instant::now();
    let mut engine = EngineUsage::default();
    engine.on_query(host(1), &query(100), now);
    engine.on_usage(host(1), &usage(1), now);
    assert_eq!(engine.excluding(host(2)).in_flight, 1);
    assert_eq!(engine.excluding(host(2)).tokens, 1_000);
}

#[test]
fn a_request_that_went_elsewhere_is_forgotten() {
    let now = Instant::now();
    let mut engine = EngineUsage::default();
    engine.on_query(host(1), &query(100), now);
    assert_eq!(engine.excluding(host(2)).in_flight, 1);
    engine.on_query(host(2), &query(0), now + ms(50));
    assert_eq!(engine.excluding(host(2)).in_flight, 0);
}

#[rstest]
#[case::one_of_four(25, 4, 1)]
#[case::none_is_sent_there(0, 10, 0)]
fn queries_count_by_their_chance(
    #[case] chance: u32,
    #[case] queries: u8,
    #[case] expected: u32,
) {
    let now = Instant::now();
    let mut engine = EngineUsage::default();
    for at in 0..queries {
        engine.on_query(host(at), &query(chance), now);
    }
    assert_eq!(engine.excluding(host(99)).in_flight, expected);
}

#[test]
fn a_host_that_is_gone_sends_nothing() {
    let now = Instant::now();
    let mut engine = EngineUsage::default();
    engine.on_query(host(1), &query(100), now);
    engine.on_usage(host(2), &usage(3), now);
    engine.on_host_gone(host(1));
    engine.on_host_gone(host(2));
    assert_eq!(engine.excluding(host(3)).in_flight, 0);
}

fn loads(
    in_progress: usize,
    queued: usize,
) -> EngineLoads {
    EngineLoads {
        in_progress,
        queued,
    }
}

#[test]
fn engines_of_one_host_share_the_limit() {
    let mut limiter = LoadLimiter::default();
    limiter.set("a", loads(1, 0));
    assert!(limiter.has_room());
    limiter.set("b", loads(1, 3));
    assert!(!limiter.has_room(), "two loads in progress");
    assert!(limiter.completion_time() > ms(500), "three loads queued");
    limiter.remove_engine("b");
    assert!(limiter.has_room());
}

/// A weight store with a fixed total rate, against hosts that each request more than their share.
#[test]
fn loads_stay_fast_though_more_are_wanted_than_the_store_carries() {
    const HOSTS: usize = 7;
    const PER_SECOND: f64 = 30.0;
    const STEP: f64 = 0.01;
    let mut limiters: Vec<LoadLimiter> = (0..HOSTS).map(|_| LoadLimiter::default()).collect();
    // Per host, for each load: the remaining share, and the age in seconds.
    let mut coming: Vec<Vec<(f64, f64)>> = vec![Vec::new(); HOSTS];
    let (mut done, mut late_times) = (0, Vec::new());
    for step in 0..6_000 {
        for (limiter, coming) in limiters.iter_mut().zip(&mut coming) {
            limiter.set("engine", loads(coming.len(), 20));
            while limiter.has_room() {
                coming.push((1.0, 0.0));
                limiter.set("engine", loads(coming.len(), 20));
            }
        }
        let all: usize = coming.iter().map(Vec::len).sum();
        // Without others, a load takes a quarter of a second.
        let rate = (PER_SECOND / all.max(1) as f64).min(4.0) * STEP;
        for (limiter, coming) in limiters.iter_mut().zip(&mut coming) {
            for load in coming.iter_mut() {
                load.0 -= rate;
                load.1 += STEP;
            }
            for load in coming.extract_if(.., |load| load.0 <= 0.0) {
                done += 1;
                limiter.on_load(Duration::from_secs_f64(load.1));
                if step > 1_000 {
                    late_times.push(load.1);
                }
            }
        }
    }
    late_times.sort_by(f64::total_cmp);
    let p90 = late_times[late_times.len() * 9 / 10];
    assert!(p90 < 0.8, "90th percentile of load times is {p90} s");
    // The store stays utilized.
    assert!(f64::from(done) > 0.9 * PER_SECOND * 60.0, "{done} loads");
}
