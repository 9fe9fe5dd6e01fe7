use {
    super::RateBucket,
    crate::{clock::Instant, formats::TargetStart},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Counters without a request for this long are evicted.
const COUNTER_TTL: Duration = Duration::from_secs(60);

/// Half-life of the count of rejected requests.
const REJECTION_HALF_LIFE: Duration = Duration::from_secs(1);

/// Retry delays are set so that this many permit requests arrive for each permit: fewer would leave some of the rate
/// unused, more would only cost messages.
const REQUESTS_PER_PERMIT: f64 = 3.0;

/// Maximum retry delay, unless no permit becomes free earlier.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Retry delays are spread by up to this fraction, so that hosts don't retry in step.
const JITTER: f64 = 0.5;

const JITTER_STEPS: u32 = 8;

/// Grants permits for the targets that this host counts.
#[derive(Debug, Default)]
pub struct PermitAllocator {
    by_target: HashMap<Arc<str>, Counted>,
}

#[derive(Debug)]
struct Counted {
    start: Option<TargetStart>,
    bucket: RateBucket,
    /// Decaying count of rejected requests.
    turned_away: f64,
    asked: Instant,
    spread: u32,
}

impl PermitAllocator {
    /// Grants a permit to send one request to a target with a limit of `rate` requests per second, or returns the delay
    /// after which to retry.
    pub fn ask(
        &mut self,
        target: &str,
        start: Option<TargetStart>,
        rate: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        if !self.by_target.contains_key(target) {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < COUNTER_TTL;
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
        self.turned_away *= (-passed.as_secs_f64() / REJECTION_HALF_LIFE.as_secs_f64()).exp2();
        self.asked = now;
        self.bucket.take(rate, now).map_err(|next| {
            self.turned_away += 1.0;
            let crowd = self.turned_away / (REQUESTS_PER_PERMIT * rate);
            let pause = Duration::from_secs_f64(crowd.min(MAX_RETRY_DELAY.as_secs_f64()));
            self.spread = (self.spread + 1) % JITTER_STEPS;
            let share = JITTER * f64::from(self.spread) / f64::from(JITTER_STEPS);
            next.max(pause).mul_f64(1.0 + share)
        })
    }
}
