use std::time::Duration;

/// Which objectives of its route an answer missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lateness {
    InTime,
    /// The first event of a stream, or the whole answer of another kind.
    FirstEvent,
    /// A pause between two events of a stream.
    Pause,
    Both,
}

/// A measured time and the longest that is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedPart {
    pub took: Duration,
    pub allowed: Duration,
}

impl TimedPart {
    fn is_late(self) -> bool {
        self.took > self.allowed
    }
}

impl Lateness {
    /// Compares the time to the first event, and the longest gap between two events of a stream, with what is allowed.
    pub fn of(
        first_event: TimedPart,
        gap: Option<TimedPart>,
    ) -> Self {
        match (first_event.is_late(), gap.is_some_and(TimedPart::is_late)) {
            (false, false) => Self::InTime,
            (true, false) => Self::FirstEvent,
            (false, true) => Self::Pause,
            (true, true) => Self::Both,
        }
    }

    /// Returns the word in log lines and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::InTime => "no",
            Self::FirstEvent => "first_event",
            Self::Pause => "pause",
            Self::Both => "both",
        }
    }
}
