//! What follows a send without an answer that can be relayed.

use {
    super::{
        AnswerBody, Dispatcher, ErrorCause, LocalAnswer, admission::wait_for_budget,
        attempts::Attempts, destination::Destination, final_answers::relay,
        poison_check::has_crashed_targets, request_trace::TraceStep,
    },
    crate::{
        clock::Instant,
        metrics::{WaitLabels, metrics},
        request::direct::{AdapterCopyState, AttemptEnd, CallRequest, NextStep, next_step},
    },
    http::Response,
    std::time::Duration,
};

/// Backoff before a request is sent again to an engine that is still loading its adapter.
const LOAD_BACKOFF: Duration = Duration::from_millis(25);

impl Dispatcher {
    /// Decides what follows a failed send; returns the final answer, or `None` if the request is to be sent again.
    pub(super) async fn handle_failed_send(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        destination: &Destination,
        end: AttemptEnd,
    ) -> Option<Response<AnswerBody>> {
        let now = Instant::now();
        let service = &request.service.name;
        let mut step = next_step(&request.route, &attempts.history, end, true);
        if end.is_unknown() && has_crashed_targets(&self.table, request) {
            step = next_step(&request.route, &attempts.history, end, false);
        }
        let repeats = step == NextStep::Resend { repeats: true };
        if repeats && !wait_for_budget(&self.table, request).await {
            self.table.borrow_mut().budget(service).on_rejected(now);
            step = next_step(&request.route, &attempts.history, end, false);
        }
        match step {
            NextStep::Resend { repeats } => {
                attempts.trace.add(TraceStep::Resent { repeats }, now);
                let labels = WaitLabels { cause: end.word() };
                metrics().resends.get_or_create(&labels).inc();
                if self.is_loading(request, destination, end) {
                    tokio::time::sleep(LOAD_BACKOFF).await;
                } else {
                    attempts.tried.push(destination.target.to_string());
                }
                None
            }
            NextStep::Reject => Some(self.answers.rejected_by_targets(request, attempts)),
            NextStep::ForwardFailure => attempts.failure.take().map(relay),
            NextStep::OutcomeUnknown => Some(match attempts.failure.take() {
                Some(failure) => relay(failure),
                None => self
                    .answers
                    .answer(request, LocalAnswer::new(ErrorCause::AnswerLost)),
            }),
        }
    }

    /// Returns true if the engine rejected the request because it was still loading the adapter.
    fn is_loading(
        &self,
        request: &CallRequest,
        destination: &Destination,
        end: AttemptEnd,
    ) -> bool {
        let adapter = request.generation.as_ref().and_then(|g| g.adapter());
        let Some(adapter) = adapter else {
            return false;
        };
        if !matches!(end, AttemptEnd::NotRun { .. }) {
            return false;
        }
        let table = self.table.borrow();
        let copy = table.adapters.get(adapter, &destination.target);
        copy.is_some_and(|copy| matches!(copy.state, AdapterCopyState::Loading { .. }))
    }

    pub(super) fn on_misdirected(
        &self,
        request: &CallRequest,
        destination: &Destination,
    ) {
        let Some(adapter) = request.generation.as_ref().and_then(|g| g.adapter()) else {
            return;
        };
        let mut table = self.table.borrow_mut();
        let copy = table.adapters.get(adapter, &destination.target);
        let loading =
            copy.is_some_and(|copy| matches!(copy.state, AdapterCopyState::Loading { .. }));
        if !loading {
            table.on_adapter_missing(adapter, &destination.target);
        }
    }
}
