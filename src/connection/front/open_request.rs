use {
    super::{
        AnswerEnding, StreamTiming,
        attempts::Attempts,
        served_request::{RelayedAnswer, ServedRequest},
    },
    crate::request::direct::CallRequest,
    http::StatusCode,
};

/// Word for an answer that this host was still relaying when it stopped.
pub const HOST_STOPPED: &str = "host_stopped";

/// A request whose answer is being relayed. Its log line is written exactly once: when the answer ends, or when the
/// relay is dropped before that.
pub struct OpenRequest {
    pub request: CallRequest,
    pub attempts: Attempts,
    pub status: StatusCode,
    pub timing: StreamTiming,
    /// How the end of the last target's answer was told, once that is known.
    pub ending: Option<AnswerEnding>,
    served: ServedRequest,
    is_logged: bool,
}

impl OpenRequest {
    pub fn new(
        request: CallRequest,
        attempts: Attempts,
        status: StatusCode,
    ) -> Self {
        Self {
            served: ServedRequest::new(&request, &attempts, status.as_u16(), None),
            request,
            attempts,
            status,
            timing: StreamTiming::default(),
            ending: None,
            is_logged: false,
        }
    }

    /// Logs the end of the answer, and records its metrics.
    pub fn end(
        &mut self,
        ended: &'static str,
    ) {
        if std::mem::replace(&mut self.is_logged, true) {
            return;
        }
        let relayed = RelayedAnswer {
            timing: &self.timing,
            ending: self.ending,
        };
        self.served
            .log_relayed(&self.request, &self.attempts, &relayed, ended);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.end(HOST_STOPPED);
    }
}
