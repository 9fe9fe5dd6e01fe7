//! What an owner decides on loads and drops at one target.

use {
    super::{
        AdapterSlot, SlotState, TargetAction, TargetState, choose_drop, target_state::LOAD_PAUSE,
    },
    crate::{
        clock::Instant,
        connection::target::EngineOrder,
        errors::TargetError,
        request::{Refusal, RefusalCode},
        version::AdapterVersion,
    },
    std::time::Duration,
};

/// Told to those whose load failed.
const RETRY_AFTER_FAILED_LOAD: Duration = Duration::from_secs(1);

/// An order whose outcome no report has told by then counts as failed for those who wait.
const UNSURE_LIMIT: Duration = Duration::from_millis(1_500);

impl TargetState {
    /// The site-wide permission to load has come.
    pub fn on_grant(
        &mut self,
        model: &AdapterVersion,
        now: Instant,
    ) -> Vec<TargetAction> {
        self.asked.remove(model);
        let wanted = self.waiting.wants(model) && !self.slots.contains_key(model);
        if !wanted {
            return vec![release(model)];
        }
        self.granted.insert(model.clone());
        self.progress(now)
    }

    /// The permission did not come in time; the ask is made anew with today's score.
    pub fn on_not_granted(
        &mut self,
        model: &AdapterVersion,
        now: Instant,
    ) -> Vec<TargetAction> {
        self.asked.remove(model);
        self.progress(now)
    }

    /// An order has ended.
    pub fn on_order_end(
        &mut self,
        order: &EngineOrder,
        outcome: &Result<(), TargetError>,
        now: Instant,
    ) -> Vec<TargetAction> {
        match order {
            EngineOrder::LoadAdapter { model } => self.on_load_end(model, outcome, now),
            EngineOrder::UnloadAdapter { model } => self.on_drop_end(model, outcome, now),
            EngineOrder::Raise => {
                self.raised |= outcome.is_ok();
                self.progress(now)
            }
            _ => Vec::new(),
        }
    }

    /// Turns permissions into orders: a drop first where the engine is full.
    pub(super) fn use_grants(
        &mut self,
        now: Instant,
    ) -> Vec<TargetAction> {
        let mut actions = Vec::new();
        for model in self.granted.clone() {
            if !self.waiting.wants(&model) {
                self.granted.remove(&model);
                actions.push(release(&model));
                continue;
            }
            if self.slots.len() < self.adapter_room() {
                self.granted.remove(&model);
                let slot = AdapterSlot::new(SlotState::Loading, now);
                self.slots.insert(model.clone(), slot);
                actions.push(self.order(EngineOrder::LoadAdapter { model }));
                continue;
            }
            let dropping = self
                .slots
                .values()
                .any(|slot| slot.state == SlotState::Dropping);
            if dropping {
                continue;
            }
            match self.drop_one(now) {
                Some(drop) => actions.push(drop),
                // Others wait for the permission; it is asked for again when a slot is idle.
                None => {
                    self.granted.remove(&model);
                    actions.push(release(&model));
                }
            }
        }
        actions
    }

    pub(super) fn drop_one(
        &mut self,
        now: Instant,
    ) -> Option<TargetAction> {
        if !self.may_drop {
            return None;
        }
        let waiting = &self.waiting;
        let model = choose_drop(&self.slots, |model| waiting.wants(model), now)?;
        let slot = self.slots.get_mut(&model)?;
        slot.state = SlotState::Dropping;
        slot.since = now;
        Some(self.order(EngineOrder::UnloadAdapter { model }))
    }

    pub(super) fn ask_loads(
        &mut self,
        now: Instant,
    ) -> Vec<TargetAction> {
        if !self.could_make_room() {
            return Vec::new();
        }
        let demand = self.waiting.demand(now);
        let mut actions = Vec::new();
        for (model, demand) in demand {
            let busy = self.slots.contains_key(&model)
                || self.granted.contains(&model)
                || self.paused_loads.contains_key(&model)
                || !self.asked.insert(model.clone());
            if !busy {
                actions.push(TargetAction::AskLoad {
                    model,
                    score: demand.score,
                    patience: demand.latest_deadline.saturating_duration_since(now),
                });
            }
        }
        actions
    }

    /// A permission is asked for only when it could be used, as the others wait for it.
    pub(super) fn could_make_room(&self) -> bool {
        let idle = self
            .slots
            .iter()
            .any(|(model, slot)| slot.is_idle() && !self.waiting.wants(model));
        idle && self.may_drop || self.slots.len() < self.adapter_room()
    }

    pub(super) fn adapter_room(&self) -> usize {
        self.spec.engine().map_or(0, |engine| engine.adapter_slots)
    }

    pub(super) fn on_load_end(
        &mut self,
        model: &AdapterVersion,
        outcome: &Result<(), TargetError>,
        now: Instant,
    ) -> Vec<TargetAction> {
        let mut actions = vec![release(model)];
        let loading = self
            .slots
            .get(model)
            .is_some_and(|slot| slot.state == SlotState::Loading);
        match outcome {
            Ok(()) if loading => self.set_state(model, SlotState::Ready, now),
            Ok(()) => {}
            Err(error) if loading && !is_certain(error) => {
                self.set_state(model, SlotState::Unsure, now);
                // A lost reply is settled by the next report; a load that hangs is not waited for.
                if matches!(error, TargetError::TimedOut(_)) {
                    actions.extend(self.refuse_load(model, now));
                }
            }
            Err(_) => {
                if loading {
                    self.slots.remove(model);
                }
                actions.extend(self.refuse_load(model, now));
            }
        }
        actions.extend(self.progress(now));
        actions
    }

    /// Adapters that are waited for and whose last order no report has settled in time.
    pub(super) fn unsettled(
        &self,
        now: Instant,
    ) -> Vec<AdapterVersion> {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Unsure)
            .filter(|(_, slot)| now.saturating_duration_since(slot.since) >= UNSURE_LIMIT)
            .filter(|(model, _)| self.waiting.wants(model))
            .map(|(model, _)| model.clone())
            .collect()
    }

    /// Those who wait for a load that failed hear so at once.
    pub(super) fn refuse_load(
        &mut self,
        model: &AdapterVersion,
        now: Instant,
    ) -> Vec<TargetAction> {
        self.paused_loads.insert(model.clone(), now + LOAD_PAUSE);
        self.refuse_if(|ticket| {
            let waits = ticket.model.as_ref() == Some(model);
            waits.then(|| {
                let mut refusal = Refusal::elsewhere(RefusalCode::LoadFailed);
                refusal.retry_after = RETRY_AFTER_FAILED_LOAD;
                refusal
            })
        })
    }

    pub(super) fn on_drop_end(
        &mut self,
        model: &AdapterVersion,
        outcome: &Result<(), TargetError>,
        now: Instant,
    ) -> Vec<TargetAction> {
        let dropping = self
            .slots
            .get(model)
            .is_some_and(|slot| slot.state == SlotState::Dropping);
        if dropping {
            match outcome {
                Ok(()) => drop(self.slots.remove(model)),
                Err(_) => self.set_state(model, SlotState::Unsure, now),
            }
        }
        self.progress(now)
    }

    pub(super) fn set_state(
        &mut self,
        model: &AdapterVersion,
        state: SlotState,
        now: Instant,
    ) {
        if let Some(slot) = self.slots.get_mut(model) {
            slot.state = state;
            slot.since = now;
        }
    }
}

/// True when a failed order surely left nothing behind.
fn is_certain(error: &TargetError) -> bool {
    matches!(
        error,
        TargetError::NotReached(_) | TargetError::OrderFailed(_) | TargetError::FencedOff
    )
}

fn release(model: &AdapterVersion) -> TargetAction {
    TargetAction::ReleaseLoad {
        model: model.clone(),
    }
}
