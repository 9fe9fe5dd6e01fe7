//! What an engine's report tells its owner.

use {
    super::{AdapterSlot, SlotState, TargetAction, TargetState},
    crate::{
        clock::Instant,
        connection::target::{AdapterState, EngineOrder, EngineReport},
        version::AdapterVersion,
    },
    std::collections::BTreeSet,
};

impl TargetState {
    /// The engine's report, made at `made`; true when the engine has restarted.
    pub fn on_report(
        &mut self,
        report: &EngineReport,
        made: Instant,
        now: Instant,
    ) -> (bool, Vec<TargetAction>) {
        self.health.on_success();
        if self.last_report.is_some_and(|last| made < last) {
            return (false, Vec::new());
        }
        let restarted = self.boot.is_some_and(|boot| boot != report.boot);
        if restarted {
            self.slots.clear();
        }
        self.boot = Some(report.boot);
        self.last_report = Some(made);
        self.raised |= report.fence >= self.fence;
        for adapter in &report.adapters {
            self.see_adapter(adapter, made, now);
        }
        self.forget_missing(report, made);
        let own = self.running.len() as u32;
        self.foreign_running = (report.running + report.waiting).saturating_sub(own);
        if made >= self.unknown_until {
            self.foreign_running = 0;
        }
        let mut actions = self.progress(now);
        if !self.is_raised() {
            actions.push(self.order(EngineOrder::Raise));
        }
        (restarted, actions)
    }

    pub(super) fn see_adapter(
        &mut self,
        adapter: &crate::connection::target::AdapterReport,
        made: Instant,
        now: Instant,
    ) {
        let unknown_until = self.unknown_until;
        let slot = self.slots.entry(adapter.model.clone()).or_insert_with(|| {
            let mut slot = AdapterSlot::new(SlotState::Unsure, now);
            slot.unknown_until = Some(unknown_until);
            // Older than any order, so that the report may settle its state.
            slot.since = made;
            slot
        });
        slot.reported = adapter.running;
        if adapter.running > 0 {
            slot.last_used = now;
        }
        let quiet = slot.unknown_until.is_some_and(|until| made >= until);
        if quiet && adapter.running == 0 {
            slot.unknown_until = None;
        }
        // A report made before the last order says nothing about its outcome.
        if slot.state == SlotState::Unsure && made >= slot.since {
            slot.state = match adapter.state {
                AdapterState::Ready => SlotState::Ready,
                AdapterState::Loading => SlotState::Unsure,
            };
        }
    }

    /// An adapter that a report made after its last change leaves out is not there.
    pub(super) fn forget_missing(
        &mut self,
        report: &EngineReport,
        made: Instant,
    ) {
        let listed: BTreeSet<&AdapterVersion> = report
            .adapters
            .iter()
            .map(|adapter| &adapter.model)
            .collect();
        self.slots.retain(|model, slot| {
            let settled = matches!(slot.state, SlotState::Ready | SlotState::Unsure);
            listed.contains(model) || !settled || made < slot.since
        });
    }
}
