use crate::process::{
    control::{ControlHandle, Input},
    target::TicketId,
};

/// A request's slot at its target, queued or running; released on drop.
pub struct RunPermit {
    control: ControlHandle,
    target: String,
    ticket: TicketId,
    settled: bool,
}

impl RunPermit {
    pub fn new(
        control: ControlHandle,
        target: &str,
        ticket: TicketId,
    ) -> Self {
        Self {
            control,
            target: target.to_string(),
            ticket,
            settled: true,
        }
    }

    /// Records that the request was sent: the target may run it until it is settled.
    pub fn mark_sent(&mut self) {
        self.settled = false;
    }

    /// Records that the request has ended at the target, or never started there.
    pub fn mark_settled(&mut self) {
        self.settled = true;
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        self.control.input(Input::End {
            target: std::mem::take(&mut self.target),
            ticket: self.ticket,
            settled: self.settled,
        });
    }
}
