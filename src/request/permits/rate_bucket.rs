use {crate::clock::Instant, std::time::Duration};

/// Requests that may be sent at once after a pause, whatever the rate.
const LEAST_BURST: f64 = 1.0;

/// And those of so much time.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Counts what one target gets, against a rate that may change.
#[derive(Debug, Clone, Copy)]
pub struct RateBucket {
    tokens: f64,
    filled: Instant,
}

impl RateBucket {
    /// Begins empty: what another host that counted before has let through is not known.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            filled: now,
        }
    }

    /// Lets one request through at so many a second, or tells after which time the next may be.
    pub fn take(
        &mut self,
        rate: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.filled);
        let most = LEAST_BURST + rate * BURST_TIME.as_secs_f64();
        self.tokens = (self.tokens + rate * passed.as_secs_f64()).min(most);
        self.filled = self.filled.max(now);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
