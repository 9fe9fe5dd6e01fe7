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
    by_target: HashMap<Arc<str>, PermitCounter>,
}

#[derive(Debug)]
struct PermitCounter {
    start: Option<TargetStart>,
    bucket: RateBucket,
    /// Decaying count of rejected requests.
    recent_rejections: f64,
    last_request: Instant,
    jitter_step: u32,
}

impl PermitAllocator {
    /// Grants a permit to send one request to a target with a limit of `rate` requests per second, or returns the delay
    /// after which to retry.
    pub fn request(
        &mut self,
        target: &str,
        start: Option<TargetStart>,
        rate: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        if !self.by_target.contains_key(target) {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < COUNTER_TTL;
            self.by_target
                .retain(|_, counter| is_recent(counter.last_request));
        }
        let counter = self.by_target.entry(target.into());
        let counter = counter.or_insert_with(|| PermitCounter::new(start, now));
        if counter.start != start {
            *counter = PermitCounter::new(start, now);
        }
        counter.request(rate, now)
    }
}

impl PermitCounter {
    fn new(
        start: Option<TargetStart>,
        now: Instant,
    ) -> Self {
        Self {
            start,
            bucket: RateBucket::new(now),
            recent_rejections: 0.0,
            last_request: now,
            jitter_step: 0,
        }
    }

    fn request(
        &mut self,
        rate: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.last_request);
        self.recent_rejections *=
            (-passed.as_secs_f64() / REJECTION_HALF_LIFE.as_secs_f64()).exp2();
        self.last_request = now;
        self.bucket.take(rate, now).map_err(|next| {
            self.recent_rejections += 1.0;
            let delay = self.recent_rejections / (REQUESTS_PER_PERMIT * rate);
            let delay = Duration::from_secs_f64(delay.min(MAX_RETRY_DELAY.as_secs_f64()));
            self.jitter_step = (self.jitter_step + 1) % JITTER_STEPS;
            let jitter = JITTER * f64::from(self.jitter_step) / f64::from(JITTER_STEPS);
            next.max(delay).mul_f64(1.0 + jitter)
        })
    }
}
