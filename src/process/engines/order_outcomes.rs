//! Handling of order replies and engine reports.

use {
    super::{
        AllocatorAction, EngineAllocator, OrderPurpose, PlannedOrder, PromptCache, Residency,
        ResidentAdapter,
        engine_allocator::{MAX_REPORT_AGE, adapter_key},
        load_limiter::IDLE_STORE_LOAD_TIME,
    },
    crate::{
        clock::Instant,
        connection::datagram::PlacementState,
        formats::{OrderKind, OrderReply, TargetReport},
    },
    std::time::Duration,
};

/// Interval between probes of a load, as a share of its duration so far.
const PROBE_INTERVAL_SHARE: f64 = 0.08;

const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(14);

/// Loads that take longer are looked up in the engine's report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(1500);

/// Attempts to send one order before a report is requested.
const MAX_ATTEMPTS: u32 = 4;

/// Unanswered attempts of one order after which the engine counts as unresponsive.
const UNRESPONSIVE_ATTEMPTS: u32 = 2;

/// Time for which load requests to an unresponsive engine are rejected.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(2);

/// Interval before a missing report is requested again.
const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Load time of an adapter that the engine still caches.
const CACHED_LOAD_TIME: Duration = Duration::from_millis(27);

impl EngineAllocator {
    /// Handles the engine's report, or `None` if none arrived.
    pub fn on_report(
        &mut self,
        report: Option<TargetReport>,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        let requested_at = self.report_requested_at.take();
        let Some(report) = report else {
            self.report_due_at = Some(now + REPORT_RETRY_INTERVAL);
            return Vec::new();
        };
        if self.is_from_earlier_incarnation(&report) {
            self.report_due_at = Some(now + MAX_REPORT_AGE);
            return Vec::new();
        }
        let mut actions = match self.update_incarnation(report.started) {
            true => self.reset(now),
            false => Vec::new(),
        };
        // The report may not include an order that was sent in the meantime.
        if self.in_flight_order.is_some() || requested_at.is_none() {
            self.report_due_at = Some(now + MAX_REPORT_AGE);
            return actions;
        }
        self.sequence = Some(report.sequence);
        self.busy = report.busy;
        self.local_models.clone_from(&report.at_hand);
        // An unanswered order is void once the engine has accepted another one.
        self.unresolved_order = self
            .unresolved_order
            .take()
            .filter(|order| order.expected_sequence == report.sequence);
        self.model = report.models.first().map(|model| model.name.clone());
        let completed = self.apply_report(&report, now);
        self.update_adapter_capacity();
        self.drop_prompts_of_absent_adapters();
        if !report.busy && !report.coming.is_empty() {
            self.report_due_at = Some(now + LOAD_TIMEOUT);
        }
        let completed = completed
            .iter()
            .filter_map(|adapter| self.announce(adapter, now));
        actions.extend(completed);
        actions.extend(self.next_orders(now));
        actions
    }

    /// Handles the reply to the order in flight, or `None` if none arrived.
    pub fn on_order_end(
        &mut self,
        reply: Option<OrderReply>,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        let Some(order) = self.in_flight_order.take() else {
            return Vec::new();
        };
        if std::mem::take(&mut self.in_flight_order_is_stale) {
            return self.on_stale_order_end(order, reply, now);
        }
        match reply {
            Some(reply @ (OrderReply::Accepted | OrderReply::Done)) => match order.purpose {
                OrderPurpose::Change => self.on_order_accepted(&order, reply, now),
                OrderPurpose::Probe => self.on_probe_reply(&order, reply, now),
            },
            Some(_) => {
                self.revert_order(&order);
                self.discard_sequence(now);
                Vec::new()
            }
            None => self.on_unanswered(order, now),
        }
    }

    /// Sends an unanswered order again, up to `MAX_ATTEMPTS` attempts.
    ///
    /// An unanswered order can take effect until the engine accepts another one. Once the repeated order is
    /// accepted, the first one is void.
    pub(super) fn on_unanswered(
        &mut self,
        order: PlannedOrder,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        self.unanswered_orders.record(order.clone(), now);
        if order.purpose == OrderPurpose::Probe {
            self.postpone_probe(&order, now);
            return Vec::new();
        }
        self.unresolved_order = Some(order.clone());
        let mut actions = Vec::new();
        if order.attempt >= UNRESPONSIVE_ATTEMPTS {
            self.unresponsive_until = Some(now + UNRESPONSIVE_BACKOFF);
            actions.extend(self.reject_pending_loads());
        }
        if order.attempt >= MAX_ATTEMPTS {
            self.discard_sequence(now);
            return actions;
        }
        let retry = PlannedOrder {
            attempt: order.attempt + 1,
            ..order
        };
        self.in_flight_order = Some(retry.clone());
        actions.push(AllocatorAction::Order(retry));
        actions
    }

    /// Rejects all pending loads, so that the waiting hosts try other engines.
    pub(super) fn reject_pending_loads(&mut self) -> Vec<AllocatorAction> {
        let mut actions = Vec::new();
        for (adapter, pending) in std::mem::take(&mut self.pending_loads) {
            let placement = self.pending_placement(&adapter, pending.version, PlacementState::Full);
            let reply = |host| AllocatorAction::Reply {
                host,
                placement: placement.clone(),
            };
            actions.extend(pending.waiting_requests.into_keys().map(reply));
        }
        actions
    }

    pub(super) fn postpone_probe(
        &mut self,
        order: &PlannedOrder,
        now: Instant,
    ) {
        let adapter = adapter_key(&order.model, order.adapter.as_deref().unwrap_or_default());
        let Some(resident) = self.adapters.get_mut(&adapter) else {
            return;
        };
        if let Residency::Loading { since, .. } = resident.state {
            let due = now + MIN_PROBE_INTERVAL;
            resident.state = Residency::Loading { since, due };
        }
    }

    /// Reverts the order in flight, which was not sent.
    pub fn on_order_cancelled(&mut self) {
        self.in_flight_order_is_stale = false;
        if let Some(order) = self.in_flight_order.take() {
            self.revert_order(&order);
        }
    }

    /// Handles the reply to a probe: marks the load as completed, or schedules the next probe.
    pub(super) fn on_probe_reply(
        &mut self,
        order: &PlannedOrder,
        reply: OrderReply,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        let adapter = adapter_key(&order.model, order.adapter.as_deref().unwrap_or_default());
        let mut actions = Vec::new();
        if let Some(resident) = self.adapters.get_mut(&adapter) {
            let since = match resident.state {
                Residency::Loading { since, .. } => since,
                _ => now,
            };
            let elapsed = now.saturating_duration_since(since);
            if reply == OrderReply::Done {
                resident.state = Residency::Loaded;
                // The hosts that waited for it send their requests now.
                resident.last_used = now;
                self.record_load_time(elapsed);
                actions.push(AllocatorAction::LoadCompleted {
                    adapter: adapter.clone(),
                    time: elapsed,
                });
                actions.extend(self.announce(&adapter, now));
            } else {
                let interval = elapsed
                    .mul_f64(PROBE_INTERVAL_SHARE)
                    .max(MIN_PROBE_INTERVAL);
                resident.state = Residency::Loading {
                    since,
                    due: now + interval,
                };
            }
        }
        actions.extend(self.next_orders(now));
        actions
    }

    /// Records a load time, unless it is so short that the adapter came from the engine's cache.
    pub(super) fn record_load_time(
        &mut self,
        time: Duration,
    ) {
        if time >= IDLE_STORE_LOAD_TIME.mul_f64(0.8) {
            self.shared.limiter.borrow_mut().on_load(time);
        }
    }

    pub(super) fn on_order_accepted(
        &mut self,
        order: &PlannedOrder,
        reply: OrderReply,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        // An earlier unanswered order expected another sequence and is void now.
        self.unresolved_order = None;
        let counts = reply == OrderReply::Accepted || order.kind == OrderKind::Unload;
        if counts {
            self.sequence = self.sequence.map(|sequence| sequence + 1);
        }
        let mut actions = Vec::new();
        match (&order.adapter, order.kind) {
            (None, OrderKind::Load) => {
                self.busy = reply == OrderReply::Accepted;
                if self.busy {
                    self.prompts = PromptCache::default();
                }
                self.report_due_at = Some(now + self.base_load_time(&order.model) + MAX_REPORT_AGE);
            }
            (None, OrderKind::Unload) => {
                self.prompts = PromptCache::default();
                self.discard_sequence(now);
            }
            (Some(adapter), OrderKind::Load) => {
                let key = adapter_key(&order.model, adapter);
                actions.extend(self.on_load_accepted(&key, order.version.unwrap_or(1), reply, now));
            }
            (Some(adapter), OrderKind::Unload) => {
                let key = adapter_key(&order.model, adapter);
                if reply == OrderReply::Done {
                    self.adapters.remove(&key);
                    self.drop_prompts_of(&key);
                } else {
                    // The unload waits for requests that this host does not know of.
                    self.busy = true;
                }
            }
        }
        actions.extend(self.next_orders(now));
        actions
    }

    pub(super) fn on_load_accepted(
        &mut self,
        adapter: &str,
        version: u64,
        reply: OrderReply,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        let time = match self.cache.contains(adapter, version) {
            true => CACHED_LOAD_TIME,
            // Probed from the earliest completion time on, as late probes overestimate load times.
            false => IDLE_STORE_LOAD_TIME,
        };
        self.cache.record(adapter, version);
        if reply == OrderReply::Accepted {
            // Parts that were read with another version of its weights cannot be reused.
            self.drop_prompts_of(adapter);
        }
        let Some(resident) = self.adapters.get_mut(adapter) else {
            return Vec::new();
        };
        resident.state = match reply {
            OrderReply::Done => Residency::Loaded,
            _ => Residency::Loading {
                since: now,
                due: now + time,
            },
        };
        self.announce(adapter, now).into_iter().collect()
    }

    /// Returns the load time of a base model from the weight store.
    fn base_load_time(
        &self,
        model: &str,
    ) -> Duration {
        let model = self.spec.model(model);
        model.map_or(LOAD_TIMEOUT, |model| model.load_time)
    }

    /// Reverts the expected effect of an order that was not carried out.
    pub(super) fn revert_order(
        &mut self,
        order: &PlannedOrder,
    ) {
        let Some(adapter) = &order.adapter else {
            return;
        };
        if order.purpose == OrderPurpose::Probe {
            return;
        }
        let key = adapter_key(&order.model, adapter);
        match order.kind {
            OrderKind::Load => {
                self.adapters.remove(&key);
            }
            OrderKind::Unload => {
                if let Some(resident) = self.adapters.get_mut(&key) {
                    resident.state = Residency::Loaded;
                }
            }
        }
    }

    /// Discards the sequence, and schedules a report recent enough to include the last order.
    pub(super) fn discard_sequence(
        &mut self,
        now: Instant,
    ) {
        self.sequence = None;
        self.report_due_at = Some(now + MAX_REPORT_AGE);
    }

    /// Applies a report, and keeps the recorded usage of adapters that stay. Returns those whose loads have completed.
    pub(super) fn apply_report(
        &mut self,
        report: &TargetReport,
        now: Instant,
    ) -> Vec<String> {
        let mut completed = Vec::new();
        let mut previous = std::mem::take(&mut self.adapters);
        for model in &report.models {
            for reported in &model.adapters {
                let key = adapter_key(&model.name, &reported.name);
                self.cache.record(&key, reported.version);
                let mut resident = previous.remove(&key).unwrap_or_else(|| {
                    ResidentAdapter::new(reported.version, Residency::Loaded, now)
                });
                resident.version = reported.version;
                if matches!(resident.state, Residency::Loading { .. }) {
                    resident.last_used = now;
                    completed.push(key.clone());
                }
                if resident.state != Residency::Unloading {
                    resident.state = Residency::Loaded;
                }
                self.adapters.insert(key, resident);
            }
        }
        for (model, name, version) in &report.coming {
            let key = adapter_key(model, name);
            let loading = Residency::Loading {
                since: now,
                due: now + IDLE_STORE_LOAD_TIME,
            };
            let mut resident = self
                .adapters
                .remove(&key)
                .or_else(|| previous.remove(&key))
                .unwrap_or_else(|| {
                    // Ordered by a previous holder. Counts towards the limit, as it may come from the weight store.
                    let mut resident = ResidentAdapter::new(*version, loading, now);
                    resident.from_store = !self.cache.contains(&key, *version);
                    resident
                });
            resident.version = *version;
            if !matches!(resident.state, Residency::Loading { .. }) {
                resident.state = loading;
            }
            self.adapters.insert(key, resident);
        }
        completed
    }

    pub(super) fn update_adapter_capacity(&mut self) {
        let model = self.model.as_deref().and_then(|name| self.spec.model(name));
        self.adapter_capacity = model.map_or(0, |model| self.spec.adapter_room(model));
    }
}
