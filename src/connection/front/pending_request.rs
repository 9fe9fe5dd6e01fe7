use {
    super::{admission::QuotaCharge, attempts::Attempts, request_trace::millis},
    crate::{clock::Instant, note, request::direct::CallRequest, timeline::Event},
};

/// Logs that the caller has gone, if dropped before the final answer.
pub struct PendingRequest {
    id: String,
    arrived: Instant,
    served: bool,
    pub attempts: Attempts,
    charged: Option<QuotaCharge>,
}

impl PendingRequest {
    pub fn new(
        request: &CallRequest,
        charged: Option<QuotaCharge>,
    ) -> Self {
        Self {
            id: request.id_text().to_string(),
            arrived: request.arrived,
            served: false,
            attempts: Attempts::default(),
            charged,
        }
    }

    /// Returns the attempts and the charge, as the final answer is known.
    pub fn disarm(mut self) -> (Attempts, Option<QuotaCharge>) {
        self.served = true;
        (std::mem::take(&mut self.attempts), self.charged.take())
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.served {
            let history = &self.attempts.history;
            let may_have_run = history.arrivals > 0 || history.runs > 0;
            settle_charge(self.charged.take(), may_have_run);
            self.attempts.trace.log(&self.id, Instant::now());
            note!(
                Event::RequestCallerGone,
                id = self.id,
                after_ms = millis(self.arrived.elapsed())
            );
        }
    }
}

/// Makes the charge for a request final if the request may have run, and refunds it otherwise.
pub fn settle_charge(
    charged: Option<QuotaCharge>,
    may_have_run: bool,
) {
    if let Some(mut charged) = charged.filter(|_| may_have_run) {
        charged.commit();
    }
}
