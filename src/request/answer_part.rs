use {
    super::Refusal,
    bytes::Bytes,
    http::{HeaderMap, StatusCode},
    std::time::Duration,
    tokio::sync::mpsc,
};

/// The head of a target's answer.
#[derive(Debug, Clone)]
pub struct AnswerHead {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub target: String,
    /// Time that the request waited for its adapter to be loaded.
    pub load_wait: Duration,
    /// True if the answer is a cached one from an earlier attempt.
    pub replayed: bool,
}

/// One part of an answer that is being sent to the caller.
#[derive(Debug, Clone)]
pub enum AnswerPart {
    Head(AnswerHead),
    /// Checked events starting at `index`, or a piece of a complete body.
    Events {
        index: u64,
        count: u32,
        data: Bytes,
    },
    /// The answer is complete.
    End,
    /// The answer cannot be completed. The last part.
    Refused(Refusal),
}

/// Channel for the parts of an answer.
pub type PartSender = mpsc::Sender<AnswerPart>;
