//! Requests that no engine can take now: when they wait, when they are rejected, and when their callers return.

use {
    coveproxy::{
        clock::Instant,
        connection::targets::UnplacedRequests,
        request::{
            direct::{
                AdapterCopyState, Awaited, BoundedWait, EngineCandidate, EngineOutlook,
                RejectReason, RequestTiming, RetrySpread, bounded_wait, outlook_of,
                unconfirmed_limit,
            },
            notices::Availability,
            pace::Reading,
        },
    },
    proptest::prelude::*,
    rstest::rstest,
    std::time::Duration,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that arrived `elapsed` ms ago, with an aim of 1.5 s and 5 s in all.
fn timing(elapsed: u64) -> RequestTiming {
    RequestTiming {
        elapsed: ms(elapsed),
        aim: ms(1_500),
        time_left: ms(5_000 - elapsed),
    }
}

/// A host at which no other request waits.
fn calm() -> RetrySpread {
    RetrySpread {
        crowd: 0.0,
        room_interval: ms(300),
        priority: 1,
        draw: 0.5,
    }
}

fn decide(
    timing: &RequestTiming,
    outlook: EngineOutlook,
    unconfirmed_for: u64,
) -> BoundedWait {
    bounded_wait(timing, outlook, ms(unconfirmed_for), &calm(), true)
}

fn confirmed(expected: u64) -> EngineOutlook {
    EngineOutlook::Confirmed {
        expected: ms(expected),
    }
}

fn unconfirmed(
    expected: Option<u64>,
    awaited: Awaited,
) -> EngineOutlook {
    EngineOutlook::Unconfirmed {
        expected: expected.map(ms),
        awaited,
    }
}

fn waits(expected: u64) -> BoundedWait {
    BoundedWait::Wait {
        expected: Some(ms(expected)),
    }
}

fn rejected(
    reason: RejectReason,
    retry_after: u64,
) -> BoundedWait {
    BoundedWait::Reject {
        retry_after: ms(retry_after),
        reason,
    }
}

/// Guards against rejections of requests that would be served in time, and against waits past the deadline.
#[rstest]
#[case::in_time(0, 300, waits(300))]
#[case::in_time_after_a_while(1_000, 450, waits(450))]
#[case::late_and_prompt(100, 1_420, rejected(RejectReason::Late, 1_460))]
#[case::late_and_no_longer_prompt(400, 1_200, waits(1_200))]
#[case::later_than_the_caller_returns(100, 3_000, waits(3_000))]
#[case::after_the_deadline(100, 4_900, rejected(RejectReason::AfterDeadline, 1_470))]
#[case::after_the_deadline_and_late(4_000, 1_000, rejected(RejectReason::AfterDeadline, 300))]
fn a_confirmed_load_is_awaited_if_that_serves_the_caller(
    #[case] elapsed: u64,
    #[case] expected: u64,
    #[case] decision: BoundedWait,
) {
    assert_eq!(decide(&timing(elapsed), confirmed(expected), 0), decision);
}

/// Guards against requests that ask one holder after the other until their deadline passes.
#[rstest]
#[case::asking(100, unconfirmed(Some(330), Awaited::HolderReply), 100, waits(330))]
#[case::asked_for_too_long(
    340,
    unconfirmed(Some(330), Awaited::HolderReply),
    330,
    rejected(RejectReason::NoRoom, 370)
)]
#[case::full(100, unconfirmed(Some(600), Awaited::Room), 100, waits(600))]
#[case::full_for_too_long(
    300,
    unconfirmed(Some(600), Awaited::Room),
    255,
    rejected(RejectReason::NoRoom, 640)
)]
#[case::unknown(10, unconfirmed(None, Awaited::AnyEngine), 0, BoundedWait::Wait { expected: None })]
#[case::unknown_for_too_long(
    300,
    unconfirmed(None, Awaited::AnyEngine),
    255,
    rejected(RejectReason::NoRoom, 440)
)]
#[case::unknown_and_late(
    1_200,
    unconfirmed(None, Awaited::AnyEngine),
    0,
    rejected(RejectReason::NoRoom, 440)
)]
#[case::room_after_the_deadline(
    4_700,
    unconfirmed(Some(400), Awaited::Room),
    0,
    rejected(RejectReason::AfterDeadline, 90)
)]
fn without_a_confirmed_load_a_request_waits_only_shortly(
    #[case] elapsed: u64,
    #[case] outlook: EngineOutlook,
    #[case] unconfirmed_for: u64,
    #[case] decision: BoundedWait,
) {
    assert_eq!(decide(&timing(elapsed), outlook, unconfirmed_for), decision);
}

/// Guards against requests whose load fails late, and that look for another until no time is left for a retry.
#[test]
fn a_late_search_leaves_half_of_the_time_to_the_caller() {
    let limit = unconfirmed_limit(&timing(4_800), Awaited::HolderReply, Duration::ZERO);
    assert_eq!(limit, ms(100));
    // The limit does not move while the request waits.
    let later = unconfirmed_limit(&timing(4_850), Awaited::HolderReply, ms(50));
    assert_eq!(later, ms(100));
}

/// Guards against a fixed delay, after which callers return while holders are still unknown, or long after they are.
#[rstest]
#[case::just_cut_off(0, 1_470)]
#[case::known_soon(1_000, 540)]
#[case::overdue(1_500, 790)]
#[case::a_mass_restart(2_400, 1_240)]
fn without_any_holder_a_request_is_rejected_at_once(
    #[case] lasted: u64,
    #[case] retry_after: u64,
) {
    let outlook = EngineOutlook::NoHolder { lasted: ms(lasted) };
    let decision = decide(&timing(100), outlook, 0);
    assert_eq!(decision, rejected(RejectReason::NoHolder, retry_after));
}

/// Guards against early rejections where the settings turn them off.
#[test]
fn early_rejections_can_be_turned_off() {
    let decision = bounded_wait(
        &timing(100),
        confirmed(1_450),
        Duration::ZERO,
        &calm(),
        false,
    );
    assert_eq!(decision, waits(1_450));
}

fn candidate(copy_state: AdapterCopyState) -> EngineCandidate {
    EngineCandidate {
        copy_state,
        reading: Reading::default(),
        streams: 0,
        time_to_first_event: ms(100),
        load_time: ms(300),
        memory_share: 0.1,
        batch_share: 0.1,
        relative_load: 1.0,
        same_hall: true,
        load_unknown: false,
        avoided: false,
        has_holder: true,
        tried: false,
        availability: Availability::Open,
        prompt_affinity: Duration::ZERO,
    }
}

/// Guards against an assumption that is taken for a holder's word, and against counting engines that can't serve the
/// request.
#[test]
fn the_outlook_is_the_earliest_answer_that_can_be_expected() {
    let now = Instant::now();
    let outlook = |candidates: &[EngineCandidate]| outlook_of(candidates, None, now);
    let loading = candidate(AdapterCopyState::Loading { due: now + ms(400) });
    let overdue = candidate(AdapterCopyState::Loading {
        due: now.checked_sub(ms(61)).unwrap(),
    });
    let full = candidate(AdapterCopyState::Full {
        until: now + ms(200),
    });
    let unknown = candidate(AdapterCopyState::Unknown);
    assert_eq!(outlook(&[unknown, loading]), confirmed(420));
    assert_eq!(
        outlook(&[full, unknown]),
        unconfirmed(Some(380), Awaited::HolderReply)
    );
    let cached = candidate(AdapterCopyState::Cached);
    assert_eq!(
        outlook(&[unknown, cached]),
        unconfirmed(Some(118), Awaited::HolderReply)
    );
    assert_eq!(outlook(&[full]), unconfirmed(Some(520), Awaited::Room));
    assert_eq!(
        outlook(&[overdue]),
        unconfirmed(Some(112), Awaited::HolderReply)
    );
    let nothing = unconfirmed(None, Awaited::AnyEngine);
    assert_eq!(outlook(&[]), nothing);
    let useless = [
        EngineCandidate {
            tried: true,
            ..loading
        },
        EngineCandidate {
            avoided: true,
            ..loading
        },
        EngineCandidate {
            has_holder: false,
            ..unknown
        },
        EngineCandidate {
            availability: Availability::Closed,
            ..loading
        },
    ];
    assert_eq!(outlook(&useless), nothing);
    let elsewhere = outlook_of(&useless, Some(now + ms(50)), now);
    assert_eq!(elsewhere, unconfirmed(Some(350), Awaited::Room));
}

/// Guards against Retry-After of zero or of different length for the same load, and against a spread among few.
#[test]
fn a_lone_request_returns_when_room_is_expected() {
    assert_eq!(calm().retry_after(ms(500), ms(5_000)), ms(540));
}

/// Guards against a spread that is too narrow for many rejected callers.
#[test]
fn the_spread_grows_with_the_crowd() {
    let last = |crowd| {
        let spread = RetrySpread {
            crowd,
            priority: 2,
            draw: 0.999,
            ..calm()
        };
        spread.retry_after(ms(500), ms(10_000)).as_millis()
    };
    assert_eq!([last(0.0), last(1.0), last(4.0)], [540, 839, 1_739]);
}

proptest! {
    /// Guards against delays that callers do not honour, after which they give up.
    #[test]
    fn a_retry_is_never_later_than_callers_honour(
        room in 0u64..20_000,
        left in 30u64..20_000,
        crowd in 0.0f64..10_000.0,
        interval in 0u64..300,
        priority in 0u8..5,
        draw in 0.0f64..1.0,
    ) {
        let spread = RetrySpread { crowd, room_interval: ms(interval), priority, draw };
        let retry_after = spread.retry_after(ms(room), ms(left));
        prop_assert!(retry_after * 3 <= ms(left));
        prop_assert!(retry_after * 10 >= ms(room.min(left)));
    }

    /// Guards against less urgent requests that return before urgent ones and take their room.
    #[test]
    fn urgent_requests_return_first(
        room in 0u64..3_000,
        crowd in 1.0f64..100.0,
        draws in (0.0f64..1.0, 0.0f64..1.0),
    ) {
        let retry_after = |priority, draw| {
            let spread = RetrySpread { crowd, room_interval: ms(100), priority, draw };
            spread.retry_after(ms(room), ms(6_000))
        };
        prop_assert!(retry_after(0, draws.0) <= retry_after(1, draws.1));
        prop_assert!(retry_after(1, draws.0) <= retry_after(2, draws.1));
    }
}

/// Guards against a crowd that never counts, or for ever.
#[test]
fn the_crowd_is_who_waits_and_who_was_rejected_lately() {
    let now = Instant::now();
    let mut unplaced = UnplacedRequests::default();
    unplaced.on_wait();
    unplaced.on_wait();
    unplaced.on_wait_over();
    for _ in 0..8 {
        unplaced.on_rejected(now);
    }
    assert!((unplaced.crowd(now) - 9.0).abs() < 0.01);
    let later = now + Duration::from_secs(4);
    assert!((unplaced.crowd(later) - 3.0).abs() < 0.01);
}

/// Guards against a time that begins anew with each request that finds no holder.
#[test]
fn the_time_without_holders_is_counted_until_one_is_known() {
    let now = Instant::now();
    let mut unplaced = UnplacedRequests::default();
    assert_eq!(unplaced.on_holders(false, now), Some(Duration::ZERO));
    let later = now + ms(700);
    assert_eq!(unplaced.on_holders(false, later), Some(ms(700)));
    assert_eq!(unplaced.on_holders(true, later), None);
    assert_eq!(unplaced.on_holders(false, later), Some(Duration::ZERO));
}

/// Guards against an earlier time without holders that is taken for a part of the present one, as no request looked for
/// holders while they were known: callers would be told to return too late.
#[test]
fn an_earlier_time_without_holders_is_forgotten() {
    let now = Instant::now();
    let mut unplaced = UnplacedRequests::default();
    assert_eq!(unplaced.on_holders(false, now), Some(Duration::ZERO));
    let later = now + Duration::from_secs(60);
    assert_eq!(unplaced.on_holders(false, later), Some(Duration::ZERO));
    assert_eq!(unplaced.on_holders(false, later + ms(200)), Some(ms(200)));
}

/// Requests of the burst.
const REQUESTS: usize = 480;

/// Hosts that they arrive at.
const HOSTS: usize = 10;

/// Requests that engines take in a second.
const ROOM_PER_SECOND: u64 = 50;

/// Longest queue of a holder, in time.
const LONGEST_QUEUE: Duration = Duration::from_millis(1_000);

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// Allowed time to the first event of each request.
const AIM: Duration = Duration::from_millis(1_500);

/// Time after which a caller gives its request up.
const TIMEOUT: Duration = Duration::from_secs(6);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Place {
    /// The caller returns at this time.
    Away {
        until: Duration,
    },
    /// At a host since this time, without a confirmed load since another.
    Waiting {
        since: Duration,
        unconfirmed_since: Duration,
    },
    /// In the queue of a holder.
    Queued {
        since: Duration,
    },
    Served,
    TimedOut,
}

struct Caller {
    place: Place,
    priority: u8,
    arrived: Duration,
    returns: Vec<Duration>,
}

/// A burst of requests before engines with limited room; one holder queues them in order of urgency.
struct Burst {
    now: Duration,
    callers: Vec<Caller>,
    hosts: Vec<UnplacedRequests>,
    base: Instant,
    draws: u32,
    last_room: Duration,
}

impl Burst {
    fn new() -> Self {
        let callers = (0..REQUESTS).map(|at| {
            let arrived = ms(at as u64 / 4);
            Caller {
                place: Place::Away { until: arrived },
                priority: (at / HOSTS % 3) as u8,
                arrived,
                returns: Vec::new(),
            }
        });
        Self {
            now: Duration::ZERO,
            callers: callers.collect(),
            hosts: (0..HOSTS).map(|_| UnplacedRequests::default()).collect(),
            base: Instant::now(),
            draws: 0,
            last_room: Duration::ZERO,
        }
    }

    fn play(&mut self) {
        while self.now < TIMEOUT * 2 {
            for at in 0..self.callers.len() {
                self.step(at);
            }
            self.free_room();
            self.now += STEP;
        }
    }

    fn step(
        &mut self,
        at: usize,
    ) {
        let now = self.now;
        let place = self.callers[at].place;
        if now >= self.callers[at].arrived + TIMEOUT && place != Place::Served {
            if let Place::Waiting { since, .. } | Place::Queued { since } = place {
                let waited = now - since;
                assert!(
                    waited * 4 <= TIMEOUT,
                    "ends unserved after {waited:?} at a host"
                );
            }
            self.callers[at].place = Place::TimedOut;
        }
        if let Place::Away { until } = self.callers[at].place
            && until <= now
        {
            self.callers[at].place = Place::Waiting {
                since: now,
                unconfirmed_since: now,
            };
        }
        match self.callers[at].place {
            Place::Waiting {
                since,
                unconfirmed_since,
            } => match self.queue_time(self.callers[at].priority, at) {
                time if time <= LONGEST_QUEUE => {
                    self.callers[at].place = Place::Queued { since };
                    self.decide(
                        at,
                        since,
                        EngineOutlook::Confirmed { expected: time },
                        since,
                    );
                }
                _ => {
                    let outlook = unconfirmed(Some(700), Awaited::Room);
                    self.decide(at, since, outlook, unconfirmed_since);
                }
            },
            Place::Queued { since } => {
                let expected = self.queue_time(self.callers[at].priority, at);
                self.decide(at, since, EngineOutlook::Confirmed { expected }, now);
            }
            _ => {}
        }
    }

    fn decide(
        &mut self,
        at: usize,
        since: Duration,
        outlook: EngineOutlook,
        unconfirmed_since: Duration,
    ) {
        let caller = &mut self.callers[at];
        let host = &mut self.hosts[at % HOSTS];
        let time_left = caller.arrived + TIMEOUT - self.now;
        let timing = RequestTiming {
            elapsed: self.now - since,
            aim: AIM,
            time_left,
        };
        self.draws += 1;
        let spread = RetrySpread {
            crowd: host.crowd(self.base + self.now),
            room_interval: ms(1_000 * HOSTS as u64 / ROOM_PER_SECOND),
            priority: caller.priority,
            draw: f64::from(self.draws) * 0.618_034 % 1.0,
        };
        let unconfirmed_for = self.now - unconfirmed_since;
        match bounded_wait(&timing, outlook, unconfirmed_for, &spread, true) {
            BoundedWait::Wait { expected } => {
                assert!(expected.is_some_and(|expected| expected < time_left));
                if matches!(outlook, EngineOutlook::Unconfirmed { .. }) {
                    assert!(unconfirmed_for * 4 <= AIM, "waits without a confirmed load");
                }
            }
            BoundedWait::Reject { retry_after, .. } => {
                assert!(
                    !retry_after.is_zero() && retry_after * 3 <= time_left,
                    "the caller does not return"
                );
                host.on_rejected(self.base + self.now);
                let until = self.now + retry_after;
                caller.returns.push(until);
                caller.place = Place::Away { until };
            }
        }
    }

    /// Returns how long a request of this priority waits in the queue, behind others that are as urgent.
    fn queue_time(
        &self,
        priority: u8,
        at: usize,
    ) -> Duration {
        let is_before = |(other, caller): &(usize, &Caller)| {
            *other != at
                && matches!(caller.place, Place::Queued { .. })
                && (caller.priority, *other) < (priority, at)
        };
        let before = self.callers.iter().enumerate().filter(is_before).count();
        ms((before as u64 + 1) * 1_000 / ROOM_PER_SECOND)
    }

    fn free_room(&mut self) {
        let interval = ms(1_000) / ROOM_PER_SECOND as u32;
        while self.last_room + interval <= self.now {
            self.last_room += interval;
            let queued = self.callers.iter_mut().enumerate();
            let queued = queued.filter(|(_, caller)| matches!(caller.place, Place::Queued { .. }));
            if let Some((_, caller)) = queued.min_by_key(|(at, caller)| (caller.priority, *at)) {
                caller.place = Place::Served;
            }
        }
    }

    fn served(
        &self,
        priority: u8,
    ) -> usize {
        let callers = self.callers.iter();
        let served =
            |caller: &&Caller| caller.priority == priority && caller.place == Place::Served;
        callers.filter(served).count()
    }
}

/// Guards against three faults under load beyond the capacity: callers that learn too late that they are not served,
/// urgent requests that are served less than others, and rejected callers that return together.
#[test]
fn a_burst_beyond_the_room_is_served_in_order_of_urgency_and_spread() {
    let mut burst = Burst::new();
    burst.play();
    let served = [burst.served(0), burst.served(1), burst.served(2)];
    assert!(
        served[0] >= served[1] && served[1] >= served[2],
        "{served:?}"
    );
    assert_eq!(
        served[0],
        REQUESTS / 3,
        "all urgent requests are served: {served:?}"
    );
    // Room that is left idle while callers are away is what rejections cost.
    let all: usize = served.iter().sum();
    let room = ROOM_PER_SECOND as usize * TIMEOUT.as_secs() as usize;
    assert!(all * 10 >= room * 8, "{served:?} of room for {room}");
    let returns: Vec<Duration> = burst
        .callers
        .iter()
        .filter_map(|caller| caller.returns.first().copied())
        .collect();
    assert!(returns.len() >= REQUESTS / 4, "{}", returns.len());
    println!(
        "served {served:?} of {} each, {} rejected at first",
        REQUESTS / 3,
        returns.len()
    );
    let busiest = returns
        .iter()
        .map(|from| {
            let is_near = |other: &&Duration| **other >= *from && **other < *from + ms(50);
            returns.iter().filter(is_near).count()
        })
        .max()
        .unwrap();
    assert!(
        busiest * 5 <= returns.len(),
        "{busiest} of {} return within 50 ms",
        returns.len()
    );
}
