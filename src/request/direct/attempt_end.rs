/// How an attempt at a target failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The request did not reach the target.
    NotSent,
    /// The target guarantees that it did not run the request and will not run it later.
    NotRun { status: u16 },
    /// The target ran the request and answered with an error, which may be forwarded to the caller.
    Failed { status: u16 },
    /// There was no answer, or it broke off; whether the target ran the request is unknown.
    Lost,
    /// The request was cancelled before an answer began, as its adapter's version could no longer serve; the target may have
    /// run it for a moment.
    Cancelled,
    /// The target's answer was malformed; whether it ran the request is unknown.
    Refused,
}

impl AttemptEnd {
    /// Returns true if there is no answer, and the target may have run the request.
    pub fn is_unknown(self) -> bool {
        matches!(self, Self::Lost | Self::Cancelled | Self::Refused)
    }

    /// Returns the value of the metric label.
    pub fn word(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun { .. } => "not_run",
            Self::Failed { .. } => "failed",
            Self::Lost => "lost",
            Self::Cancelled => "cancelled",
            Self::Refused => "refused",
        }
    }
}
