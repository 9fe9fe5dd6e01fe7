use std::time::Duration;

/// Share of the latency objective within which a request may still be rejected.
const PROMPT_SHARE: f64 = 0.2;

/// Added to the expected time to get the retry delay of a rejected request.
const COME_BACK_MARGIN: Duration = Duration::from_millis(40);

/// Longest retry delay, as a share of the time until the deadline.
const COME_BACK_SHARE: f64 = 0.3;

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
    time: &RequestTiming,
    expected: Duration,
) -> WaitDecision {
    let in_time = time.elapsed + expected <= time.aim;
    let prompt = time.elapsed <= time.aim.mul_f64(PROMPT_SHARE);
    let retry_after = expected + COME_BACK_MARGIN;
    let comes_back = retry_after <= time.time_left.mul_f64(COME_BACK_SHARE);
    match !in_time && prompt && comes_back {
        true => WaitDecision::Reject { retry_after },
        false => WaitDecision::Wait,
    }
}
