use {crate::clock::Instant, std::time::Duration};

/// Failures in a row that open the circuit.
const OPEN_AFTER: u32 = 3;

const FIRST_PAUSE: Duration = Duration::from_millis(200);

const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// Circuit state of one target.
#[derive(Debug, Clone, Default)]
pub struct TargetHealth {
    failures: u32,
    open_until: Option<Instant>,
}

impl TargetHealth {
    /// True while no request should be sent.
    pub fn is_open(
        &self,
        now: Instant,
    ) -> bool {
        self.open_until.is_some_and(|until| now < until)
    }

    /// True when failures have opened the circuit and no success has closed it.
    pub fn is_failing(&self) -> bool {
        self.open_until.is_some()
    }

    pub fn on_success(&mut self) {
        *self = Self::default();
    }

    /// A failure to reach the target; the pause doubles with each one.
    pub fn on_failure(
        &mut self,
        now: Instant,
    ) {
        self.failures += 1;
        if self.failures >= OPEN_AFTER {
            let doublings = (self.failures - OPEN_AFTER).min(16);
            let pause = FIRST_PAUSE.saturating_mul(1 << doublings);
            self.open_until = Some(now + pause.min(LONGEST_PAUSE));
        }
    }
}
