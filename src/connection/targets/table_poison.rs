//! What the traffic thread reports of crashes, and of targets that survive.

use {
    super::{ControlRequest, TargetIncarnation, TargetTable},
    crate::{clock::Instant, request::poison::PoisonReport},
};

impl TargetTable {
    /// Reports to the control thread what speaks for or against requests and parts of prompts.
    pub fn report_poison(
        &self,
        report: PoisonReport,
    ) {
        let _ = self.control.send(ControlRequest::ReportPoison(report));
    }

    /// Reports which targets have survived the start of answers with suspected parts.
    pub fn report_survivors(
        &mut self,
        now: Instant,
    ) {
        let links = &self.links;
        let last_received = |incarnation: &TargetIncarnation| {
            let link = links.get(&incarnation.0);
            link.filter(|link| link.view.record.started == incarnation.1)?
                .last_received
        };
        for report in self.crashes.take_survivals(now, last_received) {
            self.report_poison(report);
        }
    }
}
