//! Selection of the next order to an engine.

use {
    super::{
        EngineAllocator, OrderPurpose, PlannedOrder, Residency, ResidentAdapter,
        engine_allocator::{MAX_CONCURRENT_LOADS, adapter_key, adapter_name},
        load_limiter::IDLE_STORE_LOAD_TIME,
    },
    crate::{clock::Instant, formats::OrderKind},
    std::time::Duration,
};

/// Minimum idle time before an adapter is unloaded: two usage report periods, as one report may be lost.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);

/// Minimum interval between two orders of a base model.
const BASE_LOAD_RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl EngineAllocator {
    pub(super) fn choose_order(
        &mut self,
        sequence: u64,
        now: Instant,
    ) -> Option<PlannedOrder> {
        let Some(model) = self.model.clone() else {
            return self.choose_base_load(sequence, now);
        };
        if let Some(order) = self.choose_probe(&model, sequence, now) {
            return Some(order);
        }
        if let Some(order) = self.choose_load(&model, sequence, now) {
            return Some(order);
        }
        self.choose_unload(&model, sequence, now)
    }

    /// Chooses the first base model that fits an empty engine, if it is locally available or another engine is needed.
    pub(super) fn choose_base_load(
        &mut self,
        sequence: u64,
        now: Instant,
    ) -> Option<PlannedOrder> {
        if now < self.base_load_not_before {
            return None;
        }
        let fits = self
            .spec
            .models
            .iter()
            .find(|model| model.weights_mb <= self.spec.weights_mb)?;
        let is_local = self.local_models.contains(&fits.name);
        if !is_local && !self.shared.pool.borrow().needs_another_engine(&fits.name) {
            return None;
        }
        let rate = self.spec.loads_per_second;
        if !is_local && !self.shared.base_loads.borrow_mut().admit(rate, now) {
            return None;
        }
        self.base_load_not_before = now + BASE_LOAD_RETRY_INTERVAL;
        Some(PlannedOrder {
            purpose: OrderPurpose::Change,
            kind: OrderKind::Load,
            model: fits.name.clone(),
            adapter: None,
            version: None,
            expected_sequence: sequence,
            reason: "empty",
            attempt: 1,
        })
    }

    /// Chooses a probe for the load that has been due the longest.
    pub(super) fn choose_probe(
        &self,
        model: &str,
        sequence: u64,
        now: Instant,
    ) -> Option<PlannedOrder> {
        let due = |resident: &ResidentAdapter| match resident.state {
            Residency::Loading { due, .. } if due <= now => Some(due),
            _ => None,
        };
        let (adapter, resident, _) = self
            .adapters
            .iter()
            .filter_map(|(adapter, resident)| Some((adapter, resident, due(resident)?)))
            .min_by_key(|(_, _, due)| *due)?;
        Some(PlannedOrder {
            purpose: OrderPurpose::Probe,
            kind: OrderKind::Load,
            model: model.to_string(),
            adapter: Some(adapter_name(adapter, model)?.to_string()),
            version: Some(resident.version),
            expected_sequence: sequence,
            reason: "look",
            attempt: 1,
        })
    }

    /// Chooses the highest-ranked pending load for which there is a slot.
    pub(super) fn choose_load(
        &mut self,
        model: &str,
        sequence: u64,
        now: Instant,
    ) -> Option<PlannedOrder> {
        let loading = self
            .adapters
            .values()
            .filter(|resident| matches!(resident.state, Residency::Loading { .. }))
            .count();
        if loading + usize::from(self.unresolved_order.is_some()) >= MAX_CONCURRENT_LOADS {
            return None;
        }
        let free = self.free_slots(now);
        let policy = self.shared.policy;
        let is_store_limited = policy.limits_loads && !self.shared.limiter.borrow().has_room();
        let next = self
            .pending_loads
            .iter()
            .filter(|(adapter, _)| adapter_name(adapter, model).is_some())
            .filter(|(adapter, pending)| {
                let is_local = self.cache.contains(adapter, pending.version);
                !is_store_limited || (policy.uses_engine_memory && is_local)
            })
            .filter(|(adapter, _)| match self.adapters.get(*adapter) {
                Some(resident) => resident.in_flight() == 0 && resident.state == Residency::Loaded,
                None => free > 0,
            })
            .min_by_key(|(_, pending)| match policy.ranks_wishes {
                true => pending.rank(),
                false => pending.rank_by_age(),
            })
            .map(|(adapter, _)| adapter.clone())?;
        let name = adapter_name(&next, model)?.to_string();
        let pending = self.pending_loads.remove(&next)?;
        let mut resident = ResidentAdapter::new(
            pending.version,
            Residency::Loading {
                since: now,
                due: now + IDLE_STORE_LOAD_TIME,
            },
            now,
        );
        resident
            .interested_hosts
            .extend(pending.waiting_requests.into_keys());
        resident.from_store = !self.cache.contains(&next, pending.version);
        let reason = match !resident.from_store {
            true => "held_lately",
            false if pending.has_other_copy => "spare",
            false => "missing",
        };
        self.adapters.insert(next, resident);
        Some(PlannedOrder {
            purpose: OrderPurpose::Change,
            kind: OrderKind::Load,
            model: model.to_string(),
            adapter: Some(name),
            version: Some(pending.version),
            expected_sequence: sequence,
            reason,
            attempt: 1,
        })
    }

    /// Chooses an idle outdated version, or the least used idle adapter if slots are short.
    pub(super) fn choose_unload(
        &mut self,
        model: &str,
        sequence: u64,
        now: Instant,
    ) -> Option<PlannedOrder> {
        let short = self.free_slots(now) < self.pending_loads.len().min(MAX_CONCURRENT_LOADS);
        let (candidate, reason) = match self.idle_outdated_adapter(now) {
            Some(outdated) => (outdated, "old_version"),
            None if short => (self.eviction_candidate(now)?, "room"),
            None => return None,
        };
        let name = adapter_name(&candidate, model)?.to_string();
        self.adapters.get_mut(&candidate)?.state = Residency::Unloading;
        Some(PlannedOrder {
            purpose: OrderPurpose::Change,
            kind: OrderKind::Unload,
            model: model.to_string(),
            adapter: Some(name),
            version: None,
            expected_sequence: sequence,
            reason,
            attempt: 1,
        })
    }

    /// Returns the slots that are neither occupied nor may be taken by an unanswered order.
    pub(super) fn free_slots(
        &self,
        now: Instant,
    ) -> usize {
        let unresolved = usize::from(self.unresolved_order.as_ref().is_some_and(|order| {
            let adapter = order.adapter.as_deref().unwrap_or_default();
            order.kind == OrderKind::Load
                && !self
                    .adapters
                    .contains_key(&adapter_key(&order.model, adapter))
        }));
        let unanswered = self.sequence.map_or(0, |sequence| {
            self.unanswered_orders.reserved_slots(sequence, now)
        });
        self.adapter_capacity
            .saturating_sub(self.adapters.len() + unresolved + unanswered)
    }

    /// Returns the idle adapter with the fewest recent requests.
    pub(super) fn eviction_candidate(
        &self,
        now: Instant,
    ) -> Option<String> {
        self.adapters
            .iter()
            .filter(|(_, resident)| self.is_idle(resident, now))
            .min_by(|(_, a), (_, b)| {
                let starts = a.recent_starts(now).total_cmp(&b.recent_starts(now));
                starts.then(a.last_used.cmp(&b.last_used))
            })
            .map(|(adapter, _)| adapter.clone())
    }

    pub(super) fn idle_outdated_adapter(
        &self,
        now: Instant,
    ) -> Option<String> {
        self.adapters
            .iter()
            .find(|(adapter, resident)| {
                let newest = self
                    .newest_versions
                    .get(*adapter)
                    .copied()
                    .unwrap_or_default();
                resident.version < newest && self.is_idle(resident, now)
            })
            .map(|(adapter, _)| adapter.clone())
    }

    pub(super) fn is_idle(
        &self,
        resident: &ResidentAdapter,
        now: Instant,
    ) -> bool {
        resident.state == Residency::Loaded
            && resident.in_flight() == 0
            && now.saturating_duration_since(resident.last_used) >= MIN_IDLE_TIME
    }
}
