/// How one send of a request to a target ended without an answer that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing reached the target.
    NotSent,
    /// The target promises that it did not run the request and never will.
    NotRun { status: u16 },
    /// The target ran it and failed; that answer may be passed on.
    Failed { status: u16 },
    /// Whether it ran is not known.
    Lost,
}

impl AttemptEnd {
    /// The end in figures.
    pub fn word(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun { .. } => "not_run",
            Self::Failed { .. } => "failed",
            Self::Lost => "lost",
        }
    }
}
