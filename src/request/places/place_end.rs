use std::time::Duration;

/// How a request ended that had a place at a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlaceEnd {
    /// It was answered after this time.
    Answered { took: Duration },
    /// The target had no room for it.
    TurnedAway,
    /// It was not sent, or its answer was lost; this says nothing of how busy the target is.
    Other,
}
