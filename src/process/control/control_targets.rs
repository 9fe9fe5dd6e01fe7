//! Control state: what targets answer to requests, orders and looks.

use {
    super::{Action, Control, control::named},
    crate::{
        clock::Instant,
        connection::target::{EngineOrder, EngineReport},
        errors::TargetError,
        timeline::Event,
    },
};

impl Control {
    pub(super) fn on_contact(
        &mut self,
        target: &str,
        reached: bool,
        now: Instant,
    ) -> Vec<Action> {
        let Some(state) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        let failed_before = state.is_failing();
        state.on_contact(reached, now);
        let fails = state.is_failing();
        self.note_health(target, failed_before, fails);
        Vec::new()
    }

    pub(super) fn note_health(
        &self,
        target: &str,
        before: bool,
        now: bool,
    ) {
        match (before, now) {
            (false, true) => self
                .log
                .note(Event::TargetUnreachable, &[("target", &target)]),
            (true, false) => self.log.note(Event::TargetBack, &[("target", &target)]),
            _ => {}
        }
    }

    pub(super) fn on_report(
        &mut self,
        target: &str,
        made: Instant,
        report: Result<EngineReport, TargetError>,
        now: Instant,
    ) -> Vec<Action> {
        let Some(state) = self.targets.get_mut(target) else {
            return Vec::new();
        };
        let report = match report {
            Ok(report) => report,
            Err(_) => return self.on_contact(target, false, now),
        };
        let failed_before = state.is_failing();
        let (restarted, actions) = state.on_report(&report, made, now);
        if restarted {
            self.log
                .note(Event::TargetRestarted, &[("target", &target)]);
        }
        self.note_health(target, failed_before, false);
        named(target, actions)
    }

    pub(super) fn on_order_end(
        &mut self,
        target: &str,
        fence: u64,
        order: &EngineOrder,
        outcome: &Result<(), TargetError>,
        now: Instant,
    ) -> Vec<Action> {
        let current = self.targets.get(target).is_some_and(|s| s.fence() == fence);
        if !current {
            return release_of(target, order);
        }
        self.note_order(target, order, outcome);
        if *outcome == Err(TargetError::FencedOff) {
            let mut actions = release_of(target, order);
            actions.extend(self.on_fenced_off(target));
            return actions;
        }
        self.with(target, |state| state.on_order_end(order, outcome, now))
    }

    pub(super) fn note_order(
        &self,
        target: &str,
        order: &EngineOrder,
        outcome: &Result<(), TargetError>,
    ) {
        let (model, done, failed) = match order {
            EngineOrder::LoadAdapter { model } => (model, Event::LoadDone, Event::LoadFailed),
            EngineOrder::UnloadAdapter { model } => (model, Event::DropDone, Event::DropFailed),
            _ => return,
        };
        match outcome {
            Ok(()) => self
                .log
                .note(done, &[("target", &target), ("adapter", model)]),
            Err(error) => self.log.note(
                failed,
                &[("target", &target), ("adapter", model), ("error", error)],
            ),
        }
    }
}

/// A permission must come back even when the target has another owner by now.
fn release_of(
    target: &str,
    order: &EngineOrder,
) -> Vec<Action> {
    match order {
        EngineOrder::LoadAdapter { model } => vec![Action::ReleaseLoad {
            target: target.to_string(),
            model: model.clone(),
        }],
        _ => Vec::new(),
    }
}
