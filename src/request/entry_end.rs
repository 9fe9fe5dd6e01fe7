use super::Refusal;

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEnd {
    /// The complete answer was sent.
    Answered,
    /// The request did not run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Refusal),
    /// The caller disconnected.
    CallerGone,
}
