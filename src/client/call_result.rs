use std::time::Duration;

/// What a caller was told of its request, or could see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeenOutcome {
    Answered,
    NotRun,
    Unknown,
}

/// What a caller saw of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct CallResult {
    pub outcome: SeenOutcome,
    /// HTTP status; 0 when no answer began.
    pub status: u16,
    /// The error's stable code; empty for an answer.
    pub code: String,
    pub request_id: String,
    /// The target that answered.
    pub target: String,
    /// Text of the answer.
    pub text: String,
    /// Stream events of the answer.
    pub events: u64,
    /// Another adapter or version than the one asked for has answered.
    pub wrong_adapter: bool,
    /// The answer ended as if whole, and was not.
    pub cut_short: bool,
    pub replayed: bool,
    /// Time that the request waited for its adapter to be loaded, as the answer says.
    pub load_wait: Duration,
    /// Time to the first token, or to the whole answer.
    pub first_token: Duration,
    /// Time to the end of the answer.
    pub total: Duration,
    /// Longest time between two events of the stream.
    pub longest_gap: Duration,
    pub retry_after: Duration,
}

impl CallResult {
    /// Nothing has been seen yet.
    pub fn new(outcome: SeenOutcome) -> Self {
        Self {
            outcome,
            status: 0,
            code: String::new(),
            request_id: String::new(),
            target: String::new(),
            text: String::new(),
            events: 0,
            wrong_adapter: false,
            cut_short: false,
            replayed: false,
            load_wait: Duration::ZERO,
            first_token: Duration::ZERO,
            total: Duration::ZERO,
            longest_gap: Duration::ZERO,
            retry_after: Duration::ZERO,
        }
    }
}
