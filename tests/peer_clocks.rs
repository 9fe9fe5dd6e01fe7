//! Lower bounds on the send time of peer messages, derived from answered pings.

use {
    coveproxy::{
        clock::Instant,
        process::hosts::{PeerClocks, PingExchange},
    },
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
};

const PROCESS: u64 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn peer() -> SocketAddr {
    "10.0.0.2:7000".parse().unwrap()
}

/// A ping sent at `ping_sent_at` and answered `delay` later by a process that started at `start`.
fn exchange(
    process: u64,
    start: Instant,
    ping_sent_at: Instant,
    delay: Duration,
) -> PingExchange {
    PingExchange {
        peer: peer(),
        process,
        ping_sent_at,
        answer_sent_after: ping_sent_at + delay - start,
    }
}

/// The bound never exceeds the actual send time (5 s after the start), and the fastest ping gives the
/// tightest bound.
#[rstest]
#[case::one_fast_ping(&[1], 1)]
#[case::slow_pings(&[400, 600], 400)]
#[case::a_fast_one_among_slow_ones(&[400, 2, 600], 2)]
fn a_message_is_as_old_as_the_fastest_ping_allows(
    #[case] delays_ms: &[u64],
    #[case] error_ms: u64,
) {
    let start = Instant::now();
    let mut clocks = PeerClocks::default();
    for (at, delay_ms) in delays_ms.iter().enumerate() {
        let ping_sent_at = start + ms(1_000 * (at as u64 + 1));
        let now = ping_sent_at + ms(2 * delay_ms);
        clocks.on_exchange(&exchange(PROCESS, start, ping_sent_at, ms(*delay_ms)), now);
    }
    let now = start + ms(6_000);
    let earliest = clocks.earliest_send_time(peer(), PROCESS, ms(5_000), now);
    assert_eq!(earliest, Some(start + ms(5_000) - ms(error_ms)));
}

/// The bound of one process does not apply to its successor, and it expires.
#[rstest]
#[case::before_any_answer(None, PROCESS, 10, false)]
#[case::the_same_process(Some(1), PROCESS, 10, true)]
#[case::another_process(Some(1), PROCESS + 1, 10, false)]
#[case::two_windows_later(Some(1), PROCESS, 125, false)]
fn a_clock_counts_for_its_process_and_for_a_while(
    #[case] delay_ms: Option<u64>,
    #[case] process: u64,
    #[case] queried_after_s: u64,
    #[case] is_known: bool,
) {
    let start = Instant::now();
    let mut clocks = PeerClocks::default();
    if let Some(delay_ms) = delay_ms {
        let ping_sent_at = start + ms(1_000);
        clocks.on_exchange(
            &exchange(PROCESS, start, ping_sent_at, ms(delay_ms)),
            ping_sent_at,
        );
    }
    let now = start + Duration::from_secs(queried_after_s);
    let earliest = clocks.earliest_send_time(peer(), process, ms(5_000), now);
    assert_eq!(earliest.is_some(), is_known);
}

/// The peer's clock runs fast by 100 ppm: after an hour the error must stay within 12 ms, where the first
/// exchange alone would be off by 360 ms.
#[test]
fn clocks_that_run_apart_do_not_add_up() {
    let start = Instant::now();
    let mut clocks = PeerClocks::default();
    let peer_clock = |passed: Duration| passed + passed / 10_000;
    for second in 1..3_600 {
        let ping_sent_at = start + Duration::from_secs(second);
        let exchange = PingExchange {
            peer: peer(),
            process: PROCESS,
            ping_sent_at,
            answer_sent_after: peer_clock(ping_sent_at - start + ms(1)),
        };
        clocks.on_exchange(&exchange, ping_sent_at);
    }
    let passed = Duration::from_secs(3_600);
    let now = start + passed;
    let earliest = clocks.earliest_send_time(peer(), PROCESS, peer_clock(passed), now);
    let error = earliest.unwrap().saturating_duration_since(now);
    assert!(error <= ms(12), "{error:?}");
}
