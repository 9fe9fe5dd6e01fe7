//! When the dispatcher leaves a request to another host, as this one reaches no target of its service.

use {
    super::{
        AnswerBody, Dispatcher, admission::charge_repeat, attempts::Attempts, outcome::Outcome,
        pending_request::PendingRequest,
    },
    crate::request::direct::CallRequest,
    http::Response,
};

impl Dispatcher {
    /// Answers a request for which nothing was done yet, while no target of its service is reached; `None` if it is to be tried
    /// here nevertheless.
    pub(super) async fn forward_unsent(
        &self,
        request: &CallRequest,
    ) -> Option<Response<AnswerBody>> {
        if request.is_forwarded {
            return Some(self.answers.decline_unreached(request));
        }
        let pending = PendingRequest::new(request, None);
        let response = self.forwarder.forward(request).await;
        pending.disarm();
        response
    }

    /// Sends the request to targets, or to another host once no target of its service is reached.
    pub(super) async fn try_or_forward(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
    ) -> Outcome {
        loop {
            if let Ok(outcome) = self.try_targets(request, attempts, None).await {
                return outcome;
            }
            if request.is_forwarded {
                return Outcome::Final(self.answers.decline_unreached(request));
            }
            let repeats = attempts.history.arrivals > 0;
            if repeats && charge_repeat(&self.table, request).is_none() {
                return Outcome::Final(self.answers.rejected_by_targets(request, attempts));
            }
            // A send counts as run until its end is known.
            attempts.history.runs += 1;
            let response = self.forwarder.forward(request).await;
            attempts.history.runs -= 1;
            match response {
                Some(response) => return Outcome::Forwarded(response),
                None => attempts.forwarding_failed = true,
            }
        }
    }

    /// Returns true if a request is to be served by another host from now on.
    pub(super) fn must_forward(
        &self,
        request: &CallRequest,
        attempts: &Attempts,
    ) -> bool {
        let may_run_elsewhere = attempts.history.runs == 0 || request.route.repeatable();
        let is_untouched = attempts.history.arrivals == 0;
        may_run_elsewhere
            && (is_untouched || !request.is_forwarded)
            && !attempts.forwarding_failed
            && self.table.borrow().is_unreached(&request.service.name)
    }
}
