use std::time::Duration;

/// What a request is expected to see at an engine, and to cause there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceEstimate {
    /// Time from the send to the first event.
    pub first_event: Duration,
    /// Longest pause between the events of the streams that run there, this request's included.
    pub pause: Duration,
}
