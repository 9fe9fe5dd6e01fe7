use {
    super::{
        AllocatorAction, EngineCacheEstimate, EngineLoads, EngineUsage, EngineUtilization,
        LoadRejection, PendingLoadRank, PlannedOrder, PromptCache, Residency, ResidentAdapter,
        SharedBaseLoadLimiter, SharedEnginePool, SharedLoadLimiter, UnansweredOrders,
        pending_load::PendingLoad,
    },
    crate::{
        clock::Instant,
        connection::datagram::{
            EngineQuery, Placement, PlacementState, PromptSegment, Usage, Want,
        },
        formats::{OrderKind, TargetStart},
        request::direct::{Policy, PromptChain},
        version::routing::EngineSpec,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Maximum concurrent adapter loads per engine, as set by the platform.
pub(super) const MAX_CONCURRENT_LOADS: usize = 4;

/// Maximum queue time; beyond it the adapter is better loaded at another engine.
const MAX_COMPLETION_TIME: Duration = Duration::from_millis(900);

/// Estimated number of adapters that an engine caches, per slot.
pub const CACHED_ADAPTERS_PER_SLOT: usize = 6;

/// Interval between reports while the engine is busy.
const BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum age of a report on arrival.
pub(super) const MAX_REPORT_AGE: Duration = Duration::from_millis(250);

/// State shared by the engine allocators of a host, all on one thread.
#[derive(Debug, Clone, Default)]
pub struct SharedAllocatorState {
    /// Limits adapter loads from the weight store.
    pub limiter: SharedLoadLimiter,
    /// Limits base model loads from the weight store.
    pub base_loads: SharedBaseLoadLimiter,
    /// Utilization of the engines.
    pub pool: SharedEnginePool,
    /// Enabled mechanisms.
    pub policy: Policy,
}

impl SharedAllocatorState {
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Removes an engine that this host no longer holds.
    pub fn remove_engine(
        &self,
        target: &str,
    ) {
        self.limiter.borrow_mut().remove_engine(target);
        self.pool.borrow_mut().remove_engine(target);
    }
}

/// Decides the orders to one engine.
///
/// At most one order is in flight, and each names the sequence number that it expects.
pub struct EngineAllocator {
    pub(super) target: String,
    pub(super) spec: EngineSpec,
    /// Last known incarnation of the engine.
    pub(super) incarnation: Option<TargetStart>,
    /// Base model that the engine holds.
    pub(super) model: Option<String>,
    pub(super) adapters: BTreeMap<String, ResidentAdapter>,
    /// Slots for adapters that the base model leaves.
    pub(super) adapter_capacity: usize,
    pub(super) pending_loads: HashMap<String, PendingLoad>,
    pub(super) cache: EngineCacheEstimate,
    /// Prompt parts that the engine keeps.
    pub(super) prompts: PromptCache,
    pub(super) shared: SharedAllocatorState,
    /// Base models that the engine has in its memory or on its disk.
    pub(super) local_models: Vec<String>,
    /// Newest versions of adapters that have several.
    pub(super) newest_versions: HashMap<String, u64>,
    /// Orders that the engine has accepted; `None` until a report arrives.
    pub(super) sequence: Option<u64>,
    /// Order whose reply is pending.
    pub(super) in_flight_order: Option<PlannedOrder>,
    /// Unanswered order that may take effect while the sequence is unchanged.
    pub(super) unresolved_order: Option<PlannedOrder>,
    /// True if the engine has restarted while the reply was pending.
    pub(super) in_flight_order_is_stale: bool,
    /// Unanswered orders that may take effect after a restart of the engine.
    pub(super) unanswered_orders: UnansweredOrders,
    pub(super) report_requested_at: Option<Instant>,
    pub(super) report_due_at: Option<Instant>,
    pub(super) base_load_not_before: Instant,
    /// Load requests are rejected until then, as the engine leaves orders unanswered.
    pub(super) unresponsive_until: Option<Instant>,
    /// The engine rejects orders: it is loading a base model, or an unload or a replacement waits for requests.
    pub(super) busy: bool,
    pub(super) usage: EngineUsage,
}

impl EngineAllocator {
    pub fn new(
        target: &str,
        spec: EngineSpec,
        shared: SharedAllocatorState,
        now: Instant,
    ) -> Self {
        let cache = EngineCacheEstimate::new(spec.adapter_slots * CACHED_ADAPTERS_PER_SLOT);
        Self {
            target: target.to_string(),
            spec,
            incarnation: None,
            model: None,
            adapters: BTreeMap::new(),
            adapter_capacity: 0,
            pending_loads: HashMap::new(),
            cache,
            prompts: PromptCache::default(),
            shared,
            local_models: Vec::new(),
            newest_versions: HashMap::new(),
            sequence: None,
            in_flight_order: None,
            unresolved_order: None,
            in_flight_order_is_stale: false,
            unanswered_orders: UnansweredOrders::default(),
            report_requested_at: None,
            report_due_at: Some(now),
            base_load_not_before: now,
            unresponsive_until: None,
            busy: false,
            usage: EngineUsage::default(),
        }
    }

    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Updates the sizes given by the configuration.
    pub fn set_spec(
        &mut self,
        spec: EngineSpec,
    ) {
        self.spec = spec;
        self.update_adapter_capacity();
    }

    pub fn adapters(&self) -> &BTreeMap<String, ResidentAdapter> {
        &self.adapters
    }

    pub fn usage(&self) -> &EngineUsage {
        &self.usage
    }

    /// Returns the rank of the most urgent pending load.
    pub fn first_pending(&self) -> Option<PendingLoadRank> {
        self.pending_loads.values().map(PendingLoad::rank).min()
    }

    /// Returns the next time at which `on_tick` has something to do.
    ///
    /// While no order can be sent, loads are not probed and only the next report counts.
    pub fn next_deadline(&self) -> Option<Instant> {
        if self.in_flight_order.is_some() || self.report_requested_at.is_some() {
            return None;
        }
        let may_order = self.sequence.is_some() && !self.busy;
        let probe_times = self
            .adapters
            .values()
            .filter_map(|resident| match resident.state {
                Residency::Loading { due, .. } if may_order => Some(due),
                _ => None,
            });
        probe_times.chain(self.report_due_at).min()
    }

    /// Records a newer version of the adapter `MODEL/NAME`.
    pub fn on_newest_version(
        &mut self,
        adapter: &str,
        version: u64,
    ) {
        let newest = self
            .newest_versions
            .entry(adapter.to_string())
            .or_insert(version);
        *newest = (*newest).max(version);
    }

    /// Handles a host's load request.
    pub fn on_want(
        &mut self,
        host: SocketAddr,
        want: &Want,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        let version = self.requested_version(want);
        let Some(resident) = self.adapters.get_mut(&want.adapter) else {
            return self.enqueue_load(host, want, version, now);
        };
        resident.interested_hosts.insert(host);
        resident.last_used = now;
        if resident.version < version || resident.state == Residency::Unloading {
            return self.enqueue_load(host, want, version, now);
        }
        vec![self.reply(host, &want.adapter, now)]
    }

    /// Answers a host's query for an adapter, and counts the request that the host may send.
    pub fn on_query(
        &mut self,
        host: SocketAddr,
        query: &EngineQuery,
        now: Instant,
    ) -> Option<Placement> {
        match self.cached_tokens(&query.segments) {
            0 => self.usage.on_query(host, query, now),
            cached => {
                let reduced = EngineQuery {
                    prompt_tokens: query.prompt_tokens.saturating_sub(cached),
                    ..query.clone()
                };
                self.usage.on_query(host, &reduced, now);
            }
        }
        let adapter = query.adapter.as_str();
        if adapter.is_empty() {
            return None;
        }
        if let Some(resident) = self.adapters.get_mut(adapter) {
            resident.interested_hosts.insert(host);
            resident.last_used = now;
            return Some(self.placement(adapter, now));
        }
        let mut placement = self.placement(adapter, now);
        if let Some(pending) = self.pending_loads.get(adapter) {
            placement.version = pending.version;
            placement.state = PlacementState::Coming as i32;
            placement.due_ms = millis(self.completion_time());
        } else if self.cache.contains(adapter, self.newest_version(adapter)) {
            placement.version = self.newest_version(adapter);
            placement.state = PlacementState::Remembered as i32;
        } else {
            placement.due_ms = millis(self.completion_time());
        }
        Some(placement)
    }

    /// Returns the leading tokens of a prompt that the engine need not read again.
    pub fn cached_tokens(
        &self,
        segments: &[PromptSegment],
    ) -> u32 {
        self.prompts.cached_tokens(segments)
    }

    /// Drops the prompt parts of an adapter.
    pub(super) fn drop_prompts_of(
        &mut self,
        adapter: &str,
    ) {
        let dropped = PromptChain::root_of(adapter);
        self.prompts.retain_roots(|root| root != dropped);
    }

    /// Drops the prompt parts of models and adapters that the engine no longer holds.
    pub(super) fn drop_prompts_of_absent_adapters(&mut self) {
        if self.prompts.is_empty() {
            return;
        }
        let held = self.adapters.keys().chain(&self.model);
        let held: Vec<u64> = held.map(|name| PromptChain::root_of(name)).collect();
        self.prompts.retain_roots(|root| held.contains(&root));
    }

    /// Schedules a report if an adapter that should be loaded is missing at the engine.
    pub fn on_missing_adapter(
        &mut self,
        adapter: &str,
        now: Instant,
    ) {
        let Some(resident) = self.adapters.get(adapter) else {
            return;
        };
        if resident.state == Residency::Loaded {
            self.report_due_at.get_or_insert(now);
        }
    }

    /// Records a host's usage report.
    pub fn on_usage(
        &mut self,
        host: SocketAddr,
        usage: &Usage,
        now: Instant,
    ) {
        self.usage.on_usage(host, usage, now);
        for prompt in &usage.prompts {
            self.prompts.record(prompt);
        }
        let running = u64::from(self.usage.running_tokens());
        let capacity = self.spec.memory_tokens.saturating_sub(running);
        self.prompts.shrink_to(capacity);
        for (adapter, resident) in &mut self.adapters {
            match usage.adapters.iter().find(|used| used.adapter == *adapter) {
                Some(used) => resident.on_usage(host, used.in_flight, used.started, now),
                None => resident.on_unused(host),
            }
        }
    }

    /// Removes a lost host and its requests.
    pub fn on_host_gone(
        &mut self,
        host: SocketAddr,
    ) {
        self.usage.on_host_gone(host);
        for resident in self.adapters.values_mut() {
            resident.on_host_gone(host);
        }
    }

    /// Returns the actions that are due.
    pub fn on_tick(
        &mut self,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        self.next_orders(now)
    }

    /// Publishes this engine's loads and utilization to the other allocators of the host.
    pub(super) fn publish_state(&self) {
        let adapters = self.adapters.values();
        let loads = EngineLoads {
            in_progress: adapters
                .filter(|resident| resident.is_loading_from_store())
                .count(),
            queued: self
                .pending_loads
                .values()
                .filter(|pending| !pending.has_other_copy)
                .count(),
        };
        self.shared.limiter.borrow_mut().set(&self.target, loads);
        let utilization = EngineUtilization {
            running: self.usage.running(),
            slots: self.spec.slots,
        };
        let mut pool = self.shared.pool.borrow_mut();
        for model in &self.spec.models {
            let holds = self.model.as_ref() == Some(&model.name);
            pool.set(&model.name, &self.target, holds.then_some(utilization));
        }
    }

    /// Returns an announcement of an adapter's placement.
    pub(super) fn announce(
        &self,
        adapter: &str,
        now: Instant,
    ) -> Option<AllocatorAction> {
        let resident = self.adapters.get(adapter)?;
        Some(AllocatorAction::Announce {
            interested_hosts: resident.interested_hosts.iter().copied().collect(),
            placement: self.placement(adapter, now),
        })
    }

    /// Queues a load, or rejects it if it has no prospect of completing in time.
    pub(super) fn enqueue_load(
        &mut self,
        host: SocketAddr,
        want: &Want,
        version: u64,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        let is_new = !self.pending_loads.contains_key(&want.adapter);
        let promised_by = now + self.completion_time();
        let pending = self
            .pending_loads
            .entry(want.adapter.clone())
            .or_insert(PendingLoad {
                version,
                has_other_copy: want.spare,
                priority: want.priority,
                requested_at: now,
                promised_by,
                waiting_requests: BTreeMap::new(),
            });
        pending.version = pending.version.max(version);
        pending.priority = pending.priority.min(want.priority);
        pending.has_other_copy &= want.spare;
        pending.waiting_requests.insert(host, want.waiting.max(1));
        let overdue = pending.is_overdue(now);
        let mut actions = self.next_orders(now);
        if self.pending_loads.contains_key(&want.adapter) {
            // Still queued: waits for other orders or for a slot.
            let reason = if overdue {
                Some(LoadRejection::Overdue)
            } else if is_new && self.exceeds_load_deadline(want) {
                Some(LoadRejection::QueueTooLong)
            } else {
                self.rejection_reason(want, now)
            };
            let state = match reason {
                None => PlacementState::Coming,
                Some(_) => PlacementState::Full,
            };
            if let Some(reason) = reason {
                self.pending_loads.remove(&want.adapter);
                self.publish_state();
                let adapter = want.adapter.clone();
                actions.push(AllocatorAction::LoadRejected { adapter, reason });
            }
            let placement = self.pending_placement(&want.adapter, version, state);
            actions.push(AllocatorAction::Reply { host, placement });
        }
        actions
    }

    /// Returns the placement of an adapter that is queued or can't be loaded.
    pub(super) fn pending_placement(
        &self,
        adapter: &str,
        version: u64,
        state: PlacementState,
    ) -> Placement {
        Placement {
            target: self.target.clone(),
            adapter: adapter.to_string(),
            version,
            state: state as i32,
            due_ms: millis(self.completion_time()),
            uses: 0,
        }
    }

    /// Returns the expected time until a load requested now has completed.
    pub(super) fn completion_time(&self) -> Duration {
        let of_host = self.shared.limiter.borrow().completion_time();
        let loading = self.adapters.values();
        let loading =
            loading.filter(|resident| matches!(resident.state, Residency::Loading { .. }));
        let here =
            (loading.count() + self.pending_loads.len()) as f64 / MAX_CONCURRENT_LOADS as f64;
        let load_time = self.shared.limiter.borrow().load_time();
        of_host.max(load_time.mul_f64(here.max(1.0)))
    }

    /// Returns true if loads are queued and this one would complete after the request's load deadline.
    fn exceeds_load_deadline(
        &self,
        want: &Want,
    ) -> bool {
        let completion_time = self.completion_time();
        let load_time = self.shared.limiter.borrow().load_time();
        let load_deadline = Duration::from_millis(u64::from(want.patience_ms));
        completion_time > load_time && completion_time > load_deadline.min(MAX_COMPLETION_TIME)
    }

    /// Returns the reason why a queued adapter can't be loaded soon, or `None` if it can.
    fn rejection_reason(
        &self,
        want: &Want,
        now: Instant,
    ) -> Option<LoadRejection> {
        let adapter = want.adapter.as_str();
        let model = self.model.as_deref();
        let fits = model.and_then(|model| adapter_name(adapter, model));
        if want.spare && self.shared.limiter.borrow().is_busy() {
            Some(LoadRejection::StoreBusy)
        } else if self.sequence.is_none() {
            Some(LoadRejection::StateUnknown)
        } else if fits.is_none() {
            Some(LoadRejection::NoBaseModel)
        } else if self.busy {
            Some(LoadRejection::EngineBusy)
        } else if self.is_unresponsive(now) {
            Some(LoadRejection::Unresponsive)
        } else if !self.has_slot(adapter, now) {
            Some(LoadRejection::NoFreeSlot)
        } else {
            None
        }
    }

    /// Returns true if the adapter has a slot without requests in flight, or can get one.
    fn has_slot(
        &self,
        adapter: &str,
        now: Instant,
    ) -> bool {
        match self.adapters.get(adapter) {
            Some(resident) => resident.in_flight() == 0,
            None => self.free_slots(now) > 0 || self.eviction_candidate(now).is_some(),
        }
    }

    /// Returns true while the engine counts as unresponsive.
    pub(super) fn is_unresponsive(
        &self,
        now: Instant,
    ) -> bool {
        self.unresponsive_until.is_some_and(|until| now < until)
    }

    /// Returns the next order that can be sent, or the report request that must precede it.
    pub(super) fn next_orders(
        &mut self,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        self.publish_state();
        let actions = self.decide_orders(now);
        self.publish_state();
        actions
    }

    pub(super) fn decide_orders(
        &mut self,
        now: Instant,
    ) -> Vec<AllocatorAction> {
        let mut actions = Vec::new();
        if self.in_flight_order.is_some() {
            return actions;
        }
        if let Some(due) = self.report_due_at
            && now >= due
            && self.report_requested_at.is_none()
        {
            self.report_due_at = None;
            self.report_requested_at = Some(now);
            actions.push(AllocatorAction::RequestReport);
        }
        if self.report_requested_at.is_some() {
            return actions;
        }
        let Some(sequence) = self.sequence else {
            self.report_due_at.get_or_insert(now + MAX_REPORT_AGE);
            return actions;
        };
        if self.busy {
            self.report_due_at.get_or_insert(now + BUSY_REPORT_INTERVAL);
            return actions;
        }
        if let Some(order) = self.choose_order(sequence, now) {
            if order.kind == OrderKind::Unload {
                // Hosts are notified before the engine, and send no more requests for the adapter.
                actions.extend(self.announce_order(&order, now));
            }
            self.in_flight_order = Some(order.clone());
            actions.push(AllocatorAction::Order(order));
        }
        actions
    }

    pub(super) fn announce_order(
        &self,
        order: &PlannedOrder,
        now: Instant,
    ) -> Option<AllocatorAction> {
        let adapter = order.adapter.as_deref()?;
        self.announce(&adapter_key(&order.model, adapter), now)
    }

    pub(super) fn requested_version(
        &self,
        want: &Want,
    ) -> u64 {
        self.newest_version(&want.adapter).max(want.version)
    }

    pub(super) fn newest_version(
        &self,
        adapter: &str,
    ) -> u64 {
        self.newest_versions.get(adapter).copied().unwrap_or(1)
    }

    /// Returns a reply to a host with an adapter's placement.
    pub(super) fn reply(
        &self,
        host: SocketAddr,
        adapter: &str,
        now: Instant,
    ) -> AllocatorAction {
        AllocatorAction::Reply {
            host,
            placement: self.placement(adapter, now),
        }
    }

    pub(super) fn placement(
        &self,
        adapter: &str,
        now: Instant,
    ) -> Placement {
        let resident = self.adapters.get(adapter);
        let (state, due) = match resident.map(|resident| resident.state) {
            Some(Residency::Loaded) => (PlacementState::Ready, Duration::ZERO),
            Some(Residency::Loading { due, .. }) => {
                (PlacementState::Coming, due.saturating_duration_since(now))
            }
            Some(Residency::Unloading) | None => (PlacementState::Absent, Duration::ZERO),
        };
        Placement {
            target: self.target.clone(),
            adapter: adapter.to_string(),
            version: resident.map_or(0, |resident| resident.version),
            state: state as i32,
            due_ms: millis(due),
            uses: resident.map_or(0, |resident| resident.recent_starts(now).round() as u32),
        }
    }
}

/// Formats an adapter as `MODEL/NAME`, as in requests.
pub(super) fn adapter_key(
    model: &str,
    adapter: &str,
) -> String {
    format!("{model}/{adapter}")
}

pub(super) fn adapter_name<'a>(
    key: &'a str,
    model: &str,
) -> Option<&'a str> {
    key.strip_prefix(model)?.strip_prefix('/')
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
