use {
    super::SEND_MARGIN,
    crate::clock::Instant,
    std::{
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Margin for requests that begin at their engine later than estimated, because of concurrent sends by other hosts or
/// prompts of higher priority.
const WAIT_ESTIMATE_MARGIN: Duration = Duration::from_millis(1_500);

/// Time within which a target drops a request whose connection was closed.
const CANCELLATION_TIME: Duration = Duration::from_millis(500);

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

    /// Returns when a request is closed that has not begun by then, so that its target drops it in time.
    pub fn cancellation_time(
        self,
        now: Instant,
    ) -> Option<Instant> {
        match self {
            Self::Unlimited => None,
            Self::At(until) => Some(until - SEND_MARGIN - CANCELLATION_TIME),
            Self::Passed => Some(now),
        }
    }

    /// Returns the time until the deadline.
    pub fn remaining(
        self,
        now: Instant,
    ) -> RemainingTime {
        match self {
            Self::Unlimited => RemainingTime::Unlimited,
            Self::At(until) if now <= until => RemainingTime::Left(until - now),
            Self::At(until) => RemainingTime::OverFor(now - until),
            Self::Passed => RemainingTime::Over,
        }
    }
}

/// Time until a version's deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemainingTime {
    Unlimited,
    Left(Duration),
    OverFor(Duration),
    /// Over for an unknown time.
    Over,
}

impl RemainingTime {
    pub fn is_over(self) -> bool {
        matches!(self, Self::OverFor(_) | Self::Over)
    }
}

/// Milliseconds, negative after the deadline; a word if they are not known.
impl Display for RemainingTime {
    fn fmt(
        &self,
        f: &mut Formatter<'_>,
    ) -> fmt::Result {
        match self {
            Self::Unlimited => f.write_str("unlimited"),
            Self::Left(time) => write!(f, "{}", time.as_millis()),
            Self::OverFor(time) => write!(f, "-{}", time.as_millis()),
            Self::Over => f.write_str("over"),
        }
    }
}
