//! Pauses of streams, split by who caused them, and which objectives an answer missed.

use {
    coveproxy::{
        clock::Instant,
        connection::front::{Lateness, StreamTiming, TimedPart},
    },
    rstest::rstest,
    std::time::Duration,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Times of a stream whose events arrive and are handed over after these times, in milliseconds.
fn timing(events: &[(u64, u64)]) -> StreamTiming {
    let begin = Instant::now();
    let mut timing = StreamTiming::default();
    for (arrived, handed_over) in events {
        timing.on_event(begin + ms(*arrived), begin + ms(*handed_over));
    }
    timing
}

/// Guards against attributing delays of callers that do not read to engines, and against time before the first event
/// that is taken for a pause.
#[rstest]
#[case::nothing(&[], 0, 0, 0)]
#[case::one_event(&[(700, 700)], 0, 0, 0)]
#[case::engine_pauses(&[(10, 10), (20, 20), (720, 720), (730, 730)], 700, 700, 0)]
#[case::caller_does_not_read(&[(10, 10), (20, 920), (920, 920), (930, 930)], 10, 910, 900)]
#[case::both(&[(0, 0), (10, 310), (510, 510)], 200, 310, 300)]
#[case::the_longest_is_not_the_last(&[(0, 0), (400, 400), (500, 500)], 400, 400, 0)]
fn pauses_are_split_by_who_caused_them(
    #[case] events: &[(u64, u64)],
    #[case] pause: u64,
    #[case] gap: u64,
    #[case] held: u64,
) {
    let timing = timing(events);
    assert_eq!(timing.longest_pause(), ms(pause));
    assert_eq!(timing.longest_gap(), ms(gap));
    assert_eq!(timing.held(), ms(held));
}

/// A caller that leaves while an event is held back did not get that event: the time is held, and no pause ends.
#[test]
fn an_event_that_is_not_handed_over_ends_no_pause() {
    let begin = Instant::now();
    let mut timing = timing(&[(0, 0)]);
    timing.on_held(begin + ms(600), begin + ms(900));
    assert_eq!(timing.longest_pause(), ms(0));
    assert_eq!(timing.held(), ms(300));
}

/// Guards against an endless pause or a panic if times come out of order.
#[test]
fn times_out_of_order_are_no_pause() {
    let timing = timing(&[(10, 12), (11, 11)]);
    assert_eq!(timing.longest_pause(), ms(0));
    assert_eq!(timing.longest_gap(), ms(0));
}

/// Guards against a stream with a late pause that counts as in time, as it did while only first events were measured.
#[rstest]
#[case::in_time(600, Some(250), "no")]
#[case::first_event(601, Some(250), "first_event")]
#[case::pause(600, Some(251), "pause")]
#[case::both(900, Some(900), "both")]
#[case::no_stream(900, None, "first_event")]
#[case::no_stream_in_time(1, None, "no")]
fn lateness_names_the_missed_objectives(
    #[case] first_ms: u64,
    #[case] gap_ms: Option<u64>,
    #[case] word: &str,
) {
    let first_event = TimedPart {
        took: ms(first_ms),
        allowed: ms(600),
    };
    let gap = gap_ms.map(|gap_ms| TimedPart {
        took: ms(gap_ms),
        allowed: ms(250),
    });
    assert_eq!(Lateness::of(first_event, gap).word(), word);
}
