use {super::SEND_MARGIN, crate::clock::Instant, std::time::Duration};

/// A request begins at its engine later than expected by so much at the most: prompts that other hosts send at
/// the same moment are not counted yet, and urgent ones are read first. Of 14,900 requests on six calm days and
/// on one of high load the slowest began 1.38 s after it was expected, and none waited for more than 2.3 s.
const WAIT_ERROR: Duration = Duration::from_millis(1_500);

/// Until when requests may begin on a version of an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServesUntil {
    /// Nothing speaks against it, and nothing newer can be had.
    Open,
    Time(Instant),
    Never,
}

impl ServesUntil {
    /// True if a request that is sent now, and is expected to begin after `wait`, begins in time.
    ///
    /// What counts is when it begins, not when it is sent: it may wait in the engine's queue meanwhile.
    pub fn allows(
        self,
        wait: Duration,
        now: Instant,
    ) -> bool {
        match self {
            Self::Open => true,
            Self::Time(until) => now + SEND_MARGIN + wait + WAIT_ERROR <= until,
            Self::Never => false,
        }
    }
}
