use std::time::Duration;

/// Share of its aim within which a request is refused without loss, if it comes back in time.
const PROMPT_SHARE: f64 = 0.2;

/// Added to the time after which a refused request should come back.
const COME_BACK_MARGIN: Duration = Duration::from_millis(40);

/// Callers come back after this share of the time that they have left, at the latest.
const COME_BACK_SHARE: f64 = 0.3;

/// What a request knows of its own time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTime {
    /// Time since it arrived.
    pub passed: Duration,
    /// Time to the first event that earns full credit.
    pub aim: Duration,
    /// Time until its final answer is due.
    pub left: Duration,
}

/// Whether a request waits for what it needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    Wait,
    /// It would be late: it is told at once when it will be served.
    Refuse {
        come_back: Duration,
    },
}

/// Decides whether a request waits, when its first event is expected after `expected`.
///
/// One that would be late is refused as long as that is prompt; after that a late answer is better
/// than none.
pub fn wait_or_refuse(
    time: &RequestTime,
    expected: Duration,
) -> Patience {
    let in_time = time.passed + expected <= time.aim;
    let prompt = time.passed <= time.aim.mul_f64(PROMPT_SHARE);
    let come_back = expected + COME_BACK_MARGIN;
    let comes_back = come_back <= time.left.mul_f64(COME_BACK_SHARE);
    match !in_time && prompt && comes_back {
        true => Patience::Refuse { come_back },
        false => Patience::Wait,
    }
}
