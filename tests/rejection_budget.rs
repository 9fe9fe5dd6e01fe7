//! How one host bounds the rejections of a brittle target for all hosts.

use {
    coveproxy::{
        clock::Instant,
        request::permits::{PermitEvent, RejectionBudgets},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{collections::VecDeque, time::Duration},
};

const TARGET: &str = "i-1";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A target whose room changes, and requests that are under way to it.
struct Play {
    budgets: RejectionBudgets,
    rng: StdRng,
    /// When each request that runs at the target ends.
    running: Vec<(u64, Instant)>,
    /// Reports that are on their way.
    reports: Vec<(Instant, u64, PermitEvent)>,
    rejected: VecDeque<Instant>,
    served: usize,
}

impl Play {
    fn new(seed: u64) -> Self {
        Self {
            budgets: RejectionBudgets::default(),
            rng: StdRng::seed_from_u64(seed),
            running: Vec::new(),
            reports: Vec::new(),
            rejected: VecDeque::new(),
            served: 0,
        }
    }

    fn step(
        &mut self,
        id: u64,
        bound: f64,
        room: usize,
        now: Instant,
    ) {
        let due: Vec<_> = self.reports.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, id, event) in due {
            self.budgets.on_event(TARGET, None, id, event, now);
        }
        let ended: Vec<_> = self.running.extract_if(.., |(_, at)| *at <= now).collect();
        for (id, _) in ended {
            self.served += 1;
            let delay = ms(self.rng.random_range(1..20));
            self.reports.push((now + delay, id, PermitEvent::Ended));
        }
        if self.budgets.request(TARGET, None, id, bound, now).is_err() {
            return;
        }
        let delay = ms(self.rng.random_range(1..20));
        if self.running.len() >= room {
            self.rejected.push_back(now);
            self.reports.push((now + delay, id, PermitEvent::Rejected));
        } else {
            let takes = ms(self.rng.random_range(100..400));
            self.running.push((id, now + takes));
            self.reports
                .push((now + ms(100) + delay, id, PermitEvent::Accepted));
        }
    }

    fn rejected_within_a_second(
        &self,
        now: Instant,
    ) -> usize {
        let recent = |at: &&Instant| now.saturating_duration_since(**at) < ms(1_000);
        self.rejected.iter().filter(recent).count()
    }
}

/// Room that falls and rises at any time is found without more rejections than the target bears.
#[rstest]
fn no_target_rejects_more_than_it_bears(
    #[values(1.0, 2.0, 5.0, 12.0)] bound: f64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let start = Instant::now();
    let mut play = Play::new(seed);
    let mut room = 20;
    for step in 0..20_000u64 {
        let now = start + ms(step * 2);
        if play.rng.random_bool(0.001) {
            room = play.rng.random_range(1..20);
        }
        play.step(step, bound, room, now);
        let rejected = play.rejected_within_a_second(now);
        assert!(
            rejected as f64 <= bound,
            "{rejected} at {step}, room {room}"
        );
    }
}

/// A target whose room stays is used well, though it must be probed for more now and then.
#[rstest]
fn steady_room_is_used(#[values(1.0, 2.0, 5.0)] bound: f64) {
    let start = Instant::now();
    let mut play = Play::new(1);
    for step in 0..10_000u64 {
        play.step(step, bound, 4, start + ms(step * 2));
    }
    // Four at once, 250 ms each, for 20 s.
    let room = 4.0 * 20.0 / 0.25;
    assert!(
        play.served as f64 >= room * 0.4,
        "{} of {room}",
        play.served
    );
}
