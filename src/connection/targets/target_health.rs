use {crate::clock::Instant, std::time::Duration};

/// Backoff after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Exponential backoff of a target after failed sends.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    failures: u32,
    backoff_until: Option<Instant>,
}

impl TargetHealth {
    /// Records that a send got an answer.
    pub fn on_success(&mut self) {
        self.failures = 0;
        self.backoff_until = None;
    }

    /// Records that a send could not connect or got no answer.
    pub fn on_failure(
        &mut self,
        now: Instant,
    ) {
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }

    /// Returns the remaining backoff, zero if there is none.
    pub fn remaining_backoff(
        &self,
        now: Instant,
    ) -> Duration {
        let until = self.backoff_until.unwrap_or(now);
        until.saturating_duration_since(now)
    }
}
