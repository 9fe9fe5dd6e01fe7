use {super::SEND_MARGIN, crate::clock::Instant, std::time::Duration};

/// Margin for requests that begin at their engine later than estimated, because of concurrent sends by other hosts or
/// prompts of higher priority.
const WAIT_ESTIMATE_MARGIN: Duration = Duration::from_millis(1_500);

/// Deadline for requests to begin on a version of an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionDeadline {
    /// No newer version is known, and the store is unreachable or not yet read.
    Unlimited,
    At(Instant),
    /// Replaced at an unknown time.
    Passed,
}

impl VersionDeadline {
    /// Returns true if a request that is sent now begins in time, after an estimated `wait` in the engine's queue.
    pub fn can_begin(
        self,
        wait: Duration,
        now: Instant,
    ) -> bool {
        match self {
            Self::Unlimited => true,
            Self::At(until) => now + SEND_MARGIN + wait + WAIT_ESTIMATE_MARGIN <= until,
            Self::Passed => false,
        }
    }
}
