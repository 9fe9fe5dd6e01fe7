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
    /// True when the answer was kept from an earlier attempt.
    pub replayed: bool,
}

/// One part of an answer on its way to the caller.
#[derive(Debug, Clone)]
pub enum AnswerPart {
    Head(AnswerHead),
    /// Checked events from `index` on, or a piece of a whole body.
    Events {
        index: u64,
        count: u32,
        data: Bytes,
    },
    /// The answer is whole.
    End,
    /// There is no whole answer; nothing follows.
    Refused(Refusal),
}

/// Where an owner puts the parts of an answer.
pub type PartSender = mpsc::Sender<AnswerPart>;
