use {
    super::{
        AnswerBody, ErrorCause, LocalAnswer, attempts::Attempts, exchange::CompleteAnswer,
        request_trace::millis,
    },
    crate::{
        formats::Formats,
        metrics::{OutcomeLabels, metrics},
        note,
        request::direct::CallRequest,
        timeline::Event,
    },
    http::Response,
    std::{sync::Arc, time::Duration},
};

/// Default retry delay for callers that were rejected.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Final answers to requests that no target has answered, or that are not sent again.
pub struct FinalAnswers {
    formats: Arc<dyn Formats>,
}

impl FinalAnswers {
    pub fn new(formats: Arc<dyn Formats>) -> Self {
        Self { formats }
    }

    /// Rejects a request that is known to crash targets, with an error that callers do not retry.
    pub fn reject_poison(
        &self,
        request: &CallRequest,
    ) -> Response<AnswerBody> {
        note!(
            Event::RequestRefused,
            id = request.id_text(),
            fingerprint = request.fingerprint(),
            route = request.route.name,
        );
        self.answer(request, LocalAnswer::new(ErrorCause::CrashesTargets))
    }

    /// Rejects a request that could not be charged to its customer's quota.
    pub fn reject_uncharged(
        &self,
        request: &CallRequest,
        answer: LocalAnswer,
    ) -> Response<AnswerBody> {
        let credential = request.credential.as_ref();
        let limit = credential.and_then(|credential| credential.customer.limit);
        note!(
            Event::RequestOverLimit,
            id = request.id_text(),
            cause = answer.cause.word(),
            route = request.route.name,
            customer = credential.map_or("-", |credential| &credential.customer.name),
            cost = limit.map_or(0.0, |limit| limit.cost(request.declared_tokens)),
            rate = limit.map_or(0.0, |limit| limit.rate),
            come_back_ms = answer.retry_after.map_or(-1.0, millis),
            waited_ms = millis(request.arrived.elapsed()),
        );
        let kind = request.route.kind.word();
        let outcome = answer.cause.word();
        let labels = OutcomeLabels { kind, outcome };
        metrics().requests.get_or_create(&labels).inc();
        self.answer(request, answer)
    }

    /// Returns the final answer to a request that no target takes.
    pub fn no_target(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
    ) -> Response<AnswerBody> {
        self.answer_unserved(
            request,
            attempts,
            unplaced_cause(request),
            DEFAULT_RETRY_AFTER,
        )
    }

    /// Returns the final answer to a request that is not sent, or not again.
    pub fn answer_unserved(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        cause: ErrorCause,
        retry_after: Duration,
    ) -> Response<AnswerBody> {
        if let Some(failure) = attempts.failure.take() {
            return relay(failure);
        }
        if attempts.history.runs > 0 {
            let answer = LocalAnswer::new(ErrorCause::AnswerLost);
            return self.answer(request, answer);
        }
        self.reject(request, cause, retry_after)
    }

    /// Returns the final answer to a request whose deadline has passed.
    pub fn answer_timeout(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
    ) -> Response<AnswerBody> {
        if let Some(failure) = attempts.failure.take() {
            return relay(failure);
        }
        let cause = match attempts.history.runs {
            0 => ErrorCause::DeadlineExceededUnsent,
            _ => ErrorCause::DeadlineExceeded,
        };
        self.answer(request, LocalAnswer::new(cause))
    }

    /// Rejects a request that has not run, with a time after which to retry.
    pub fn reject(
        &self,
        request: &CallRequest,
        cause: ErrorCause,
        retry_after: Duration,
    ) -> Response<AnswerBody> {
        self.answer(request, LocalAnswer::after(cause, retry_after))
    }

    /// Returns an answer of this host.
    pub fn answer(
        &self,
        request: &CallRequest,
        answer: LocalAnswer,
    ) -> Response<AnswerBody> {
        let names = self.formats.headers();
        answer.into_response(&names.request_id, request.id.as_ref())
    }
}

/// Returns why no target takes a request.
pub fn unplaced_cause(request: &CallRequest) -> ErrorCause {
    match request.generation {
        Some(_) => ErrorCause::NoAdapter,
        None => ErrorCause::NoTarget,
    }
}

/// Returns a target's complete answer as the answer to the caller.
pub fn relay(answer: CompleteAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::complete(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
