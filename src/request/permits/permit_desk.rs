use {
    super::RateBucket,
    crate::{clock::Instant, formats::TargetStart},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// What is counted for a target is forgotten after so long without an ask; by then its bucket would be full.
const MEMORY: Duration = Duration::from_secs(60);

/// Asks that are turned away count for so long; half of them after this time.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Hosts that are turned away are told to ask again so late that this many asks come for each request that may be sent: fewer
/// would leave some of the rate unused, more only cost messages.
const ASKS_PER_PERMIT: f64 = 3.0;

/// They are told to ask again after this time at the most, unless no request may be sent before.
const MOST_PAUSE: Duration = Duration::from_secs(1);

/// Pauses differ by up to this share, so that hosts don't ask together.
const SPREAD: f64 = 0.5;

/// Steps of the spread.
const SPREAD_STEPS: u32 = 8;

/// Counts the requests of all hosts to the targets for which this host does so.
#[derive(Debug, Default)]
pub struct PermitDesk {
    by_target: HashMap<Arc<str>, Counted>,
}

#[derive(Debug)]
struct Counted {
    start: Option<TargetStart>,
    bucket: RateBucket,
    /// Asks that were turned away, the older ones less.
    turned_away: f64,
    asked: Instant,
    spread: u32,
}

impl PermitDesk {
    /// Lets one request through to a target that takes so many a second, or tells the host that asks when to ask again.
    pub fn ask(
        &mut self,
        target: &str,
        start: Option<TargetStart>,
        rate: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        if !self.by_target.contains_key(target) {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < MEMORY;
            self.by_target.retain(|_, counted| is_recent(counted.asked));
        }
        let counted = self.by_target.entry(target.into());
        let counted = counted.or_insert_with(|| Counted::new(start, now));
        if counted.start != start {
            *counted = Counted::new(start, now);
        }
        counted.ask(rate, now)
    }
}

impl Counted {
    fn new(
        start: Option<TargetStart>,
        now: Instant,
    ) -> Self {
        Self {
            start,
            bucket: RateBucket::new(now),
            turned_away: 0.0,
            asked: now,
            spread: 0,
        }
    }

    fn ask(
        &mut self,
        rate: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.asked);
        self.turned_away *= (-passed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        self.asked = now;
        self.bucket.take(rate, now).map_err(|next| {
            self.turned_away += 1.0;
            let crowd = self.turned_away / (ASKS_PER_PERMIT * rate);
            let pause = Duration::from_secs_f64(crowd.min(MOST_PAUSE.as_secs_f64()));
            self.spread = (self.spread + 1) % SPREAD_STEPS;
            let share = SPREAD * f64::from(self.spread) / f64::from(SPREAD_STEPS);
            next.max(pause).mul_f64(1.0 + share)
        })
    }
}
