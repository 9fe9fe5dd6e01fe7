use {
    super::{
        AnswerBody, ErrorCause, LocalAnswer,
        attempts::Attempts,
        request_trace::millis,
        target_answer::CompleteAnswer,
        unplaced::{reason_of, record_rejection, retry_delay},
    },
    crate::{
        clock::Instant,
        connection::targets::TargetTable,
        formats::Formats,
        metrics::{OutcomeLabels, PoisonLabels, metrics},
        note,
        request::{
            direct::{CallRequest, RejectReason},
            poison::PoisonKey,
        },
        timeline::Event,
    },
    http::Response,
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// Retry delay for callers while this host stops; they should use another one.
pub const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Final answers to requests that no target has answered, or that are not sent again.
pub struct FinalAnswers {
    /// Counts the rejected requests.
    table: Rc<RefCell<TargetTable>>,
    formats: Arc<dyn Formats>,
}

impl FinalAnswers {
    pub fn new(
        table: Rc<RefCell<TargetTable>>,
        formats: Arc<dyn Formats>,
    ) -> Self {
        Self { table, formats }
    }

    /// Rejects a request of which a key is known to crash targets, with an error that callers do not retry.
    pub fn reject_poison(
        &self,
        request: &CallRequest,
        key: PoisonKey,
    ) -> Response<AnswerBody> {
        note!(
            Event::RequestRefused,
            id = request.id_text(),
            customer = request.customer_name().unwrap_or("-"),
            fingerprint = key,
            route = request.route.name,
        );
        let labels = PoisonLabels {
            key: key.kind_word(),
        };
        metrics().poison_rejections.get_or_create(&labels).inc();
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
            customer = request.customer_name().unwrap_or("-"),
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
        let retry_after = self.retry_delay(request);
        self.answer_unserved(request, attempts, unplaced_cause(request), retry_after)
    }

    /// Declines a request that another host has forwarded, as this host reaches no target of its service either.
    pub fn decline_unreached(
        &self,
        request: &CallRequest,
    ) -> Response<AnswerBody> {
        self.answer(request, LocalAnswer::new(ErrorCause::Unreached))
    }

    /// Returns the final answer to a request that targets have rejected, and that is not sent again.
    pub fn rejected_by_targets(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
    ) -> Response<AnswerBody> {
        let retry_after = self.retry_delay(request);
        let cause = ErrorCause::RejectedByTargets;
        self.answer_unserved(request, attempts, cause, retry_after)
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
        if let Some(reason) = reason_of(cause) {
            self.record_rejection(request, attempts, reason, Some(retry_after));
        }
        self.answer(request, LocalAnswer::after(cause, retry_after))
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
        if let Some(reason) = reason_of(cause) {
            self.record_rejection(request, attempts, reason, None);
        }
        self.answer(request, LocalAnswer::new(cause))
    }

    /// Returns the final answer to a request that still runs as the host ends.
    pub fn answer_stopped(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
    ) -> Response<AnswerBody> {
        if let Some(failure) = attempts.failure.take() {
            return relay(failure);
        }
        let answer = match attempts.history.runs {
            0 => LocalAnswer::after(ErrorCause::Stopping, STOPPING_RETRY_AFTER),
            _ => LocalAnswer::new(ErrorCause::Interrupted),
        };
        self.answer(request, answer)
    }

    /// Rejects a request that has not run, as no target can take it now, with a time after which to retry.
    pub fn reject_unplaced(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        reason: RejectReason,
        retry_after: Duration,
    ) -> Response<AnswerBody> {
        self.record_rejection(request, attempts, reason, Some(retry_after));
        self.answer(
            request,
            LocalAnswer::after(unplaced_cause(request), retry_after),
        )
    }

    fn record_rejection(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        reason: RejectReason,
        retry_after: Option<Duration>,
    ) {
        let mut table = self.table.borrow_mut();
        record_rejection(&mut table, request, attempts, reason, retry_after);
    }

    fn retry_delay(
        &self,
        request: &CallRequest,
    ) -> Duration {
        retry_delay(&mut self.table.borrow_mut(), request, Instant::now())
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
fn unplaced_cause(request: &CallRequest) -> ErrorCause {
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
