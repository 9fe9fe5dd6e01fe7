//! Slots at the targets of a plain service under overload. Without them each host sees too few requests to know the
//! load: targets reject many requests and answer the rest late, behind full queues.

use {
    coveproxy::{
        clock::Instant,
        request::places::{ServiceSlots, SlotOutcome, SlotRequest, SlotResponse, TargetSlots},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque, time::Duration},
};

const LATENCY_GOAL: Duration = Duration::from_millis(300);
const TIME_LEFT: Duration = Duration::from_millis(1_500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A target with limited parallelism and a bounded queue.
struct Target {
    slots: usize,
    queue: usize,
    running: usize,
    waiting: VecDeque<(u64, Instant)>,
}

#[derive(Debug, Default)]
struct Outcome {
    in_time: usize,
    late: usize,
    rejected: usize,
    rejected_by_target: usize,
}

/// A simulation of requests at a constant average rate, with or without slot allocation.
struct Simulation {
    rng: StdRng,
    targets: Vec<Target>,
    allocator: Option<ServiceSlots>,
    /// Ends of requests: when, target, id, sent when.
    ends: BinaryHeap<Reverse<(Instant, usize, u64, Instant)>>,
    outcome: Outcome,
}

impl Simulation {
    fn new(
        seed: u64,
        targets: usize,
        with_slots: bool,
    ) -> Self {
        let target = |_| Target {
            slots: 6,
            queue: 24,
            running: 0,
            waiting: VecDeque::new(),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            targets: (0..targets).map(target).collect(),
            allocator: with_slots.then(ServiceSlots::default),
            ends: BinaryHeap::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(
        mut self,
        per_second: f64,
        time: Duration,
    ) -> Outcome {
        let start = Instant::now();
        let mut now = start;
        for id in 0.. {
            let gap = -self.rng.random_range(0.000_1..1.0f64).ln() / per_second;
            now += Duration::from_secs_f64(gap);
            if now > start + time {
                break;
            }
            self.end_until(now);
            self.send(id, now);
        }
        self.outcome
    }

    fn send(
        &mut self,
        id: u64,
        now: Instant,
    ) {
        let Some(at) = self.target_for(id, now) else {
            self.outcome.rejected += 1;
            return;
        };
        let target = &mut self.targets[at];
        if target.running < target.slots {
            target.running += 1;
            self.start(at, id, now, now);
        } else if target.waiting.len() < target.queue {
            target.waiting.push_back((id, now));
        } else {
            self.outcome.rejected_by_target += 1;
            self.release(at, id, SlotOutcome::Rejected);
        }
    }

    /// Returns the target to send to; `None` if there is no free slot.
    fn target_for(
        &mut self,
        id: u64,
        now: Instant,
    ) -> Option<usize> {
        let count = self.targets.len();
        let Some(slots) = &mut self.allocator else {
            return Some(self.rng.random_range(0..count));
        };
        let names: Vec<String> = (0..count).map(|at| format!("t{at}")).collect();
        slots.set_targets(names.iter().map(|name| (name.as_str(), 6)));
        let request = SlotRequest {
            id,
            excluded: &[],
            latency_goal: LATENCY_GOAL,
            time_left: TIME_LEFT,
        };
        match slots.acquire(&request, now) {
            SlotResponse::Granted { target } => Some(target[1..].parse().unwrap()),
            SlotResponse::Full { retry_after } => {
                assert!(
                    retry_after >= ms(100) && retry_after <= ms(1_000),
                    "{retry_after:?}"
                );
                None
            }
            SlotResponse::NoTarget => panic!("no eligible target"),
        }
    }

    fn start(
        &mut self,
        at: usize,
        id: u64,
        sent: Instant,
        now: Instant,
    ) {
        let work = self.rng.random_range(33..99);
        self.ends.push(Reverse((now + ms(work), at, id, sent)));
    }

    fn end_until(
        &mut self,
        now: Instant,
    ) {
        while let Some(Reverse((ended, at, id, sent))) = self.ends.peek().copied() {
            if ended > now {
                return;
            }
            self.ends.pop();
            let took = ended - sent;
            match took <= LATENCY_GOAL {
                true => self.outcome.in_time += 1,
                false => self.outcome.late += 1,
            }
            self.release(at, id, SlotOutcome::Answered { took });
            match self.targets[at].waiting.pop_front() {
                Some((next, sent)) => self.start(at, next, sent, ended),
                None => self.targets[at].running -= 1,
            }
        }
    }

    fn release(
        &mut self,
        at: usize,
        id: u64,
        outcome: SlotOutcome,
    ) {
        if let Some(slots) = &mut self.allocator {
            slots.release(&format!("t{at}"), id, outcome);
        }
    }
}

/// Under overload at least nine tenths of the capacity is answered within the latency goal, and the rest is rejected
/// before it is sent.
#[rstest]
fn under_twice_the_load_nine_tenths_of_what_targets_bear_are_answered_in_time(
    #[values(1, 3)] targets: usize,
    #[values(1.5, 2.1, 4.0)] times: f64,
) {
    let time = Duration::from_secs(20);
    let capacity = targets as f64 * 6.0 / 0.066;
    for seed in 0..10 {
        let outcome = Simulation::new(seed, targets, true).run(capacity * times, time);
        let capacity_total = capacity * time.as_secs_f64();
        assert!(
            outcome.in_time as f64 >= 0.9 * capacity_total,
            "{outcome:?} of {capacity_total}"
        );
        assert!(outcome.late * 20 < outcome.in_time, "{outcome:?}");
        assert_eq!(outcome.rejected_by_target, 0, "{outcome:?}");
    }
}

/// The overload that the tests simulate does make responses late without slots.
#[test]
fn without_places_most_answers_are_late() {
    let outcome = Simulation::new(1, 1, false).run(190.0, Duration::from_secs(20));
    println!("{outcome:?}");
    assert!(outcome.late > outcome.in_time, "{outcome:?}");
}

/// Below capacity almost no request is rejected.
#[rstest]
fn with_room_nobody_is_refused(#[values(0.3, 0.6, 0.8)] load: f64) {
    let capacity = 3.0 * 6.0 / 0.066;
    for seed in 0..10 {
        let outcome = Simulation::new(seed, 3, true).run(capacity * load, Duration::from_secs(20));
        let answered = outcome.in_time + outcome.late;
        assert!(outcome.rejected * 200 <= answered, "{outcome:?}");
    }
}

/// A slot of a host that is lost is released at the request's deadline.
#[test]
fn places_of_lost_hosts_come_back() {
    let now = Instant::now();
    let mut slots = TargetSlots::new(6);
    let limit = slots.limit() as u64;
    for id in 0..limit {
        slots.acquire(id, now + TIME_LEFT);
    }
    assert!(slots.load(now) >= 1.0);
    assert_eq!(slots.load(now + TIME_LEFT), 0.0);
}

/// A repeated release must not change the limit.
#[test]
fn ends_that_come_twice_say_nothing() {
    let now = Instant::now();
    let mut slots = TargetSlots::new(6);
    slots.acquire(1, now + TIME_LEFT);
    slots.release(1, SlotOutcome::Rejected, LATENCY_GOAL);
    let limit = slots.limit();
    for _ in 0..10 {
        slots.release(1, SlotOutcome::Rejected, LATENCY_GOAL);
    }
    assert_eq!(slots.limit(), limit);
}
