use crate::process::{
    control::{ControlHandle, Input},
    target::TicketId,
};

/// A request's place at its target, waiting or running; given back when dropped.
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

    /// From here on the target may run the request until its end is seen.
    pub fn sent(&mut self) {
        self.settled = false;
    }

    /// The request's end at the target was seen, or it never began there.
    pub fn settled(&mut self) {
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
