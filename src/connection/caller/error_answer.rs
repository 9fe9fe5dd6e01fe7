use {
    crate::{
        errors::RequestError,
        request::{HEADER_ATTEMPT, HEADER_OUTCOME, HEADER_REQUEST_ID, Refusal},
    },
    axum::{
        Json,
        http::{HeaderMap, HeaderValue, StatusCode, header::RETRY_AFTER},
        response::{IntoResponse, Response},
    },
    serde_json::{Value, json},
    std::time::Duration,
};

/// The attempt number that says that no earlier attempt can have run.
const FIRST_ATTEMPT: &[u8] = b"1";

/// What became of a request, as its caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Answered,
    NotRun,
    Unknown,
}

impl Outcome {
    /// The word in headers and bodies.
    pub fn word(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// An error in the form that OpenAI's clients understand.
#[derive(Debug, Clone)]
pub struct ErrorAnswer {
    pub status: StatusCode,
    pub code: &'static str,
    pub message: String,
    pub outcome: Outcome,
    pub request_id: String,
    pub retry_after: Duration,
}

impl ErrorAnswer {
    /// A request that was refused before it was routed.
    ///
    /// Of a later attempt only this send was not run: an earlier one may have been.
    pub fn from_request_error(
        error: &RequestError,
        request_id: &str,
        headers: &HeaderMap,
    ) -> Self {
        let first = headers
            .get(HEADER_ATTEMPT)
            .is_none_or(|attempt| attempt.as_bytes() == FIRST_ATTEMPT);
        let (code, status) = error.code();
        Self {
            status,
            code,
            message: error.to_string(),
            outcome: match first {
                true => Outcome::NotRun,
                false => Outcome::Unknown,
            },
            request_id: request_id.to_string(),
            retry_after: match error {
                RequestError::RateExceeded(_) | RequestError::NotReady => Duration::from_secs(1),
                _ => Duration::ZERO,
            },
        }
    }

    /// A request that got no answer.
    pub fn from_refusal(
        refusal: &Refusal,
        outcome: Outcome,
        request_id: &str,
    ) -> Self {
        let what = match outcome {
            Outcome::NotRun => "the request was not run",
            _ => "whether the request ran is not known",
        };
        let code = refusal.code.word();
        Self {
            status: refusal.code.status(),
            code,
            message: format!("{what}: {code}"),
            outcome,
            request_id: request_id.to_string(),
            retry_after: refusal.retry_after,
        }
    }

    /// The body.
    pub fn to_json(&self) -> Value {
        let kind = match self.status.is_client_error() {
            true => "invalid_request_error",
            false => "server_error",
        };
        json!({
            "error": {
                "message": self.message,
                "type": kind,
                "param": null,
                "code": self.code,
                "outcome": self.outcome.word(),
                "request_id": self.request_id,
                "retry_after_ms": self.retry_after.as_millis() as u64,
            }
        })
    }
}

impl IntoResponse for ErrorAnswer {
    fn into_response(self) -> Response {
        let mut response = (self.status, Json(self.to_json())).into_response();
        let headers = response.headers_mut();
        if let Ok(id) = HeaderValue::from_str(&self.request_id) {
            headers.insert(HEADER_REQUEST_ID, id);
        }
        let outcome = HeaderValue::from_static(self.outcome.word());
        headers.insert(HEADER_OUTCOME, outcome);
        if !self.retry_after.is_zero() {
            let seconds = self.retry_after.as_secs_f64().ceil() as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
