use std::time::Duration;

/// How a request that held a slot ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SlotOutcome {
    /// It was answered after this time.
    Answered { took: Duration },
    /// The target had no capacity for it.
    Rejected,
    /// It was not sent, or its response was lost; shows nothing about the target's load.
    Other,
}
