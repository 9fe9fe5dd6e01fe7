use {
    super::AnswerBody,
    http::{HeaderName, HeaderValue, Response, StatusCode, header},
    std::time::Duration,
};

/// Why a request gets an answer of this host's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnCause {
    /// No configuration is known yet.
    NotReady,
    NoRoute,
    /// No customer has the key that the request bears, or it bears none.
    UnknownKey,
    /// Its customer has used up what it may, over all hosts.
    OverLimit,
    /// Nobody who counts its customer's use answers; other hosts may reach one.
    Uncounted,
    BodyTooLarge,
    BodyTooSlow,
    /// The process stops.
    Stopping,
    /// What this host would serve it by is too old; other hosts may know more.
    Unconfirmed,
    /// Every target that could run it is full, or none is there.
    NoTarget,
    /// The adapter can't be loaded in time.
    NoAdapter,
    /// Targets turned it away, and it may not be sent again.
    TurnedAway,
    /// The time was over before it ran.
    TimeOverUnsent,
    /// The time was over, and it may have run.
    TimeOver,
    /// It may have run, and its answer is lost.
    AnswerLost,
    /// Targets end under it, so that it is sent to none any more.
    EndsTargets,
}

impl OwnCause {
    /// The cause in logs and in the body.
    pub fn word(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverLimit => "over_limit",
            Self::Uncounted => "uncounted",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::Stopping => "host_stopping",
            Self::Unconfirmed => "unconfirmed",
            Self::NoTarget => "no_target",
            Self::NoAdapter => "no_adapter",
            Self::TurnedAway => "turned_away",
            Self::TimeOverUnsent => "time_over_unsent",
            Self::TimeOver => "time_over",
            Self::AnswerLost => "answer_lost",
            Self::EndsTargets => "ends_targets",
        }
    }

    /// True if a request that gets this answer may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::TimeOver | Self::AnswerLost)
    }

    /// 408, 429 and 503 promise that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NotReady
            | Self::Stopping
            | Self::Unconfirmed
            | Self::Uncounted
            | Self::NoTarget
            | Self::NoAdapter
            | Self::TurnedAway
            | Self::TimeOverUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::TimeOver => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            // It has not run, but 503 would promise that it may be served later, and callers' libraries send 502 to
            // 504 again by themselves.
            Self::EndsTargets => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// An answer of this host's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnAnswer {
    pub cause: OwnCause,
    /// When the caller should come back, for requests that have not run.
    pub retry_after: Option<Duration>,
}

impl OwnAnswer {
    pub fn new(cause: OwnCause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    pub fn after(
        cause: OwnCause,
        retry_after: Duration,
    ) -> Self {
        Self {
            cause,
            retry_after: Some(retry_after),
        }
    }

    /// The answer on the wire; it names the request that it belongs to.
    pub fn into_response(
        self,
        id_name: &HeaderName,
        id: Option<&HeaderValue>,
    ) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.cause.word()));
        *response.status_mut() = self.cause.status();
        response.extensions_mut().insert(self.cause);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(id) = id {
            headers.insert(id_name.clone(), id.clone());
        }
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
