use {crate::clock::Instant, std::time::Duration};

/// Minimum burst, in requests, at any rate.
const MIN_BURST: f64 = 1.0;

/// The burst grows by the requests of this time.
const BURST_WINDOW: Duration = Duration::from_millis(500);

/// A token bucket whose rate may change.
#[derive(Debug, Clone, Copy)]
pub struct RateBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl RateBucket {
    /// Creates an empty bucket: what the previous counting host has granted is unknown.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Takes the token of one request at a rate in requests per second, or returns the time until the next token.
    pub fn take(
        &mut self,
        rate: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let passed = now.saturating_duration_since(self.refilled_at);
        let capacity = MIN_BURST + rate * BURST_WINDOW.as_secs_f64();
        self.tokens = (self.tokens + rate * passed.as_secs_f64()).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - self.tokens) / rate));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
