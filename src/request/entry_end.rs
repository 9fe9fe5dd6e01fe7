use super::Refusal;

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEnd {
    /// The whole answer went out.
    Answered,
    /// It was not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Refusal),
    /// The caller hung up.
    CallerGone,
}
