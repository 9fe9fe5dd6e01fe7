use {
    super::AnswerBody,
    http::{HeaderName, HeaderValue, Response, StatusCode, header},
    std::time::Duration,
};

/// Reason for which this host answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorCause {
    /// No configuration is known yet.
    NotReady,
    NoRoute,
    /// The key is missing, or belongs to no customer.
    UnknownKey,
    /// The customer's quota, which is shared by all hosts, is used up.
    OverLimit,
    /// No host that counts the customer's quota answers; other hosts may reach one.
    QuotaUnavailable,
    BodyTooLarge,
    BodyTooSlow,
    /// There is no room for the request's body.
    NoMemory,
    /// The host is shutting down.
    Stopping,
    /// A table that is needed to serve the request is too stale on this host.
    StaleTables,
    /// This host reaches no target of the service, and may not forward the request.
    Unreached,
    /// All targets are full or closed, or there is none.
    NoTarget,
    /// The adapter can't be loaded in time.
    NoAdapter,
    /// The stream is taken up, and this host can't tell which version of the targets' software began it.
    VersionUnknown,
    /// The stream is taken up, and no target runs the version that began it.
    VersionGone,
    /// Targets rejected the request, and it may not be sent again.
    RejectedByTargets,
    /// The deadline passed before the request ran.
    DeadlineExceededUnsent,
    /// The deadline passed, and the request may have run.
    DeadlineExceeded,
    /// The host ends before the answer has come, and the request may have run.
    Interrupted,
    /// The request may have run, and its answer is lost.
    AnswerLost,
    /// The request crashes targets, and is no longer sent to any.
    CrashesTargets,
}

impl ErrorCause {
    /// Returns the code of the cause in logs and in the body.
    pub fn word(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::OverLimit => "over_limit",
            Self::QuotaUnavailable => "uncounted",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoMemory => "no_memory",
            Self::Stopping => "host_stopping",
            Self::StaleTables => "unconfirmed",
            Self::Unreached => "unreached",
            Self::NoTarget => "no_target",
            Self::NoAdapter => "no_adapter",
            Self::VersionUnknown => "version_unknown",
            Self::VersionGone => "version_gone",
            Self::RejectedByTargets => "turned_away",
            Self::DeadlineExceededUnsent => "time_over_unsent",
            Self::DeadlineExceeded => "time_over",
            Self::Interrupted => "host_stopped",
            Self::AnswerLost => "answer_lost",
            Self::CrashesTargets => "ends_targets",
        }
    }

    /// Returns true if a request that gets this answer may have run.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::DeadlineExceeded | Self::Interrupted | Self::AnswerLost
        )
    }

    /// Returns true if the cause is this host's state, and it has done nothing for the request: another host may serve it.
    pub fn is_of_host(self) -> bool {
        matches!(
            self,
            Self::NotReady
                | Self::NoMemory
                | Self::Stopping
                | Self::StaleTables
                | Self::Unreached
                | Self::VersionUnknown
        )
    }

    /// Returns the HTTP status; 408, 429 and 503 guarantee that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NotReady
            | Self::NoMemory
            | Self::Stopping
            | Self::StaleTables
            | Self::QuotaUnavailable
            | Self::Unreached
            | Self::NoTarget
            | Self::NoAdapter
            | Self::VersionUnknown
            | Self::VersionGone
            | Self::RejectedByTargets
            | Self::DeadlineExceededUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineExceeded | Self::Interrupted => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
            // The request has not run, but client libraries retry 502 to 504 by themselves.
            Self::CrashesTargets => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// An answer that this host gives itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LocalAnswer {
    pub cause: ErrorCause,
    /// Delay before a retry, for requests that have not run.
    pub retry_after: Option<Duration>,
}

impl LocalAnswer {
    pub fn new(cause: ErrorCause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    pub fn after(
        cause: ErrorCause,
        retry_after: Duration,
    ) -> Self {
        Self {
            cause,
            retry_after: Some(retry_after),
        }
    }

    /// Builds the HTTP response, with the id of the request.
    pub fn into_response(
        self,
        id_name: &HeaderName,
        id: Option<&HeaderValue>,
    ) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::complete(self.cause.word()));
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
