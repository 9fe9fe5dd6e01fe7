use {crate::clock::Instant, std::time::Duration};

/// A count of recent events, which halves with each half-life.
#[derive(Debug, Clone, Copy)]
pub struct DecayingCount {
    count: f64,
    at: Instant,
}

impl DecayingCount {
    /// Creates a count of events that happen at `now`.
    pub fn new(
        count: f64,
        now: Instant,
    ) -> Self {
        Self { count, at: now }
    }

    /// Adds events that happen at `now`.
    pub fn add(
        &mut self,
        events: f64,
        half_life: Duration,
        now: Instant,
    ) {
        *self = Self::new(self.value(half_life, now) + events, now);
    }

    /// Returns the decayed count.
    pub fn value(
        &self,
        half_life: Duration,
        now: Instant,
    ) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        self.count * 0.5f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
    }
}
