use {
    super::retry_spread::{MAX_RETRY_SHARE, RETRY_MARGIN},
    std::time::Duration,
};

/// Share of the latency objective within which a request may still be rejected.
const EARLY_SHARE: f64 = 0.2;

/// Elapsed and remaining time of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTiming {
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Latency objective for the first event.
    pub aim: Duration,
    /// Time until the deadline.
    pub time_left: Duration,
}

/// Whether a request waits for an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    Wait,
    /// Reject the request now, as it would miss its latency objective.
    Reject {
        retry_after: Duration,
    },
}

/// Decides whether a request waits, if its first event is expected after `expected`.
///
/// A request that would miss its latency objective is rejected only early on; later, a late answer is
/// better than none.
pub fn wait_or_reject(
    timing: &RequestTiming,
    expected: Duration,
) -> WaitDecision {
    let is_on_time = timing.elapsed + expected <= timing.aim;
    let is_early = timing.elapsed <= timing.aim.mul_f64(EARLY_SHARE);
    let retry_after = expected + RETRY_MARGIN;
    let can_retry = retry_after <= timing.time_left.mul_f64(MAX_RETRY_SHARE);
    match !is_on_time && is_early && can_retry {
        true => WaitDecision::Reject { retry_after },
        false => WaitDecision::Wait,
    }
}
