use {
    super::{
        Awaited, EngineOutlook, RequestTiming, RetrySpread, WaitDecision,
        engine_choice::HOLDER_REPLY_TIMEOUT, wait_or_reject,
    },
    std::time::Duration,
};

/// Share of the latency objective for which a request waits although no lease holder can be asked for a load.
const UNCONFIRMED_SHARE: f64 = 0.17;

/// Share of the latency objective for which a request waits while holders are asked. A rejection within a quarter of
/// the objective leaves the retried request half or more of its worth, a later one does not.
const ASKING_SHARE: f64 = 0.22;

/// Minimum of both times: a lost message to a holder is sent again after the first timeout.
const MIN_UNCONFIRMED: Duration = HOLDER_REPLY_TIMEOUT.saturating_mul(2);

/// Maximum of both times, as a share of the time that was left before: the rest is for the caller's retry.
const MAX_UNCONFIRMED_SHARE: f64 = 0.5;

/// Retry delay, before the spread, if nothing is known of when there will be room.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Time within which hosts usually learn the holder of an engine after a change of membership.
const HOLDER_DISCOVERY_TIME: Duration = Duration::from_millis(1_500);

/// Longest time until a holder is expected to be known: after a restart of many hosts, holders are known within a few
/// seconds.
const MAX_HOLDER_WAIT: Duration = Duration::from_secs(3);

/// Why a request that has not run was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// It would miss its latency objective, and its caller has time for a retry.
    Late,
    /// No engine is expected to answer before its deadline.
    AfterDeadline,
    /// No lease holder has confirmed a load within the time allowed for that.
    NoRoom,
    /// No lease holder of any engine is known.
    NoHolder,
    /// All targets have announced that they take no requests now.
    Closed,
    /// There is no target that could take it.
    NoTarget,
    /// Targets rejected it, and it may not be sent again.
    RejectedByTargets,
    /// Its deadline passed before it ran.
    DeadlineExceeded,
}

impl RejectReason {
    /// Returns its word in log lines and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::AfterDeadline => "after_deadline",
            Self::NoRoom => "no_room",
            Self::NoHolder => "no_holder",
            Self::Closed => "closed",
            Self::NoTarget => "no_target",
            Self::RejectedByTargets => "turned_away",
            Self::DeadlineExceeded => "time_over",
        }
    }
}

/// Whether a request that no engine can take now waits, and with which expectation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BoundedWait {
    /// Wait; `expected` is the expected time to the first event.
    Wait { expected: Option<Duration> },
    /// Reject the request now.
    Reject {
        retry_after: Duration,
        reason: RejectReason,
    },
}

/// Decides on a request that has not run and that no engine can take now.
///
/// Addresses load beyond the capacity of the engines: a request that waits without an expectation until its deadline is
/// rejected too late for a retry. It waits while a lease holder has confirmed that it will be served before the
/// deadline, or for a short time while holders are asked; otherwise it is rejected while its caller still has time for
/// a retry. `unconfirmed_for` is the time since a load was last confirmed, or since the request was first found without
/// an engine.
pub fn bounded_wait(
    timing: &RequestTiming,
    outlook: EngineOutlook,
    unconfirmed_for: Duration,
    spread: &RetrySpread,
    refuses_early: bool,
) -> BoundedWait {
    let reject = |reason: RejectReason, room: Duration| BoundedWait::Reject {
        retry_after: spread.retry_after(room, timing.time_left),
        reason,
    };
    match outlook {
        EngineOutlook::NoHolder { lasted } => {
            reject(RejectReason::NoHolder, holders_expected_after(lasted))
        }
        EngineOutlook::Confirmed { expected } if expected >= timing.time_left => {
            reject(RejectReason::AfterDeadline, expected)
        }
        EngineOutlook::Confirmed { expected } => match wait_or_reject(timing, expected) {
            WaitDecision::Reject { .. } if refuses_early => reject(RejectReason::Late, expected),
            _ => BoundedWait::Wait {
                expected: Some(expected),
            },
        },
        EngineOutlook::Unconfirmed {
            expected: Some(expected),
            ..
        } if expected >= timing.time_left => reject(RejectReason::AfterDeadline, expected),
        EngineOutlook::Unconfirmed { expected, awaited } => {
            // With no engine to wait for, a request that has waited before is not held any longer.
            let unconfirmed_for = match awaited {
                Awaited::AnyEngine => timing.elapsed,
                _ => unconfirmed_for,
            };
            match unconfirmed_for >= unconfirmed_limit(timing, awaited, unconfirmed_for) {
                true => reject(
                    RejectReason::NoRoom,
                    expected.unwrap_or(DEFAULT_RETRY_AFTER),
                ),
                false => BoundedWait::Wait { expected },
            }
        }
    }
}

/// Returns how long a request waits without a confirmed load, of which `unconfirmed_for` is over.
pub fn unconfirmed_limit(
    timing: &RequestTiming,
    awaited: Awaited,
    unconfirmed_for: Duration,
) -> Duration {
    let share = match awaited {
        Awaited::HolderReply => ASKING_SHARE,
        _ => UNCONFIRMED_SHARE,
    };
    let limit = timing.aim.mul_f64(share).max(MIN_UNCONFIRMED);
    limit.min((timing.time_left + unconfirmed_for).mul_f64(MAX_UNCONFIRMED_SHARE))
}

/// Returns after which time a lease holder can be expected to be known, if none has been for `lasted`.
///
/// Once most of the usual time has passed, the state is expected to last half as long again as it has.
fn holders_expected_after(lasted: Duration) -> Duration {
    let usual = HOLDER_DISCOVERY_TIME.saturating_sub(lasted);
    usual.max(lasted / 2).min(MAX_HOLDER_WAIT)
}
