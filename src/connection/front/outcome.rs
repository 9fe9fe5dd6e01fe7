//! How the sends of a request, or of the rest of a stream, end.

use {
    super::{AnswerBody, ErrorCause, served_request::CALLER_GONE, target_answer::OpenAnswer},
    http::Response,
};

/// Result of all sends of a request.
pub(super) enum Outcome {
    /// The final answer.
    Final(Response<AnswerBody>),
    /// The head and the first piece of an answer that is still being sent.
    Open(Box<OpenAnswer>),
    /// The answer of another host.
    Forwarded(Response<AnswerBody>),
}

/// This host reaches no target of the service, and another host may serve the request.
pub(super) struct Unreached;

/// Why a stream is not resumed.
pub enum NotResumed {
    /// The search for a target ended with this answer, which comes too late for the caller.
    Answered(Response<AnswerBody>),
    /// A target gave an answer that continues no stream.
    Unusable,
    TimeOver,
    CallerGone,
}

impl NotResumed {
    /// Returns the word for logs.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Answered(response) => {
                let cause = response.extensions().get::<ErrorCause>();
                cause.map_or("failed_there", |cause| cause.word())
            }
            Self::Unusable => "unusable",
            Self::TimeOver => "time_over",
            Self::CallerGone => CALLER_GONE,
        }
    }
}
