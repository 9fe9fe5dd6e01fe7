use {
    super::{
        AdapterDemand, AdapterMap, BrittleServices, ControlRequest, CrashTracker, FleetView,
        NoticeTracker, OriginReplies, PendingReplies, PrefillThroughput, QuotaTable, RepeatBudgets,
        ReplicaFreshness, RequestTokens, ServiceReach, StalenessBounds, StalenessMonitor,
        TargetLink, TargetView, UnplacedRequests,
    },
    crate::{
        clock::Instant,
        connection::datagram::{
            AdapterUsage, EngineLoad, EngineQuery, EngineStanding, PermitAnswer, PlaceGiven, Usage,
        },
        formats::TargetStart,
        request::{direct::Policy, pace::PauseRecord},
        version::routing::RoutingTable,
    },
    std::{
        collections::{HashMap, HashSet},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::Notify,
    xxhash_rust::xxh3::xxh3_64,
};

/// Hosts up to which adapter states and engine loads are broadcast; on larger sites holders are queried instead.
pub const MAX_BROADCAST_HOSTS: usize = 24;

/// Maximum adapters in one usage report.
const MAX_REPORTED_ADAPTERS: usize = 512;

/// Settings that do not change while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetTableSettings {
    pub budget_window: Duration,
    pub budget_ratio: f64,
    pub budget_extra: f64,
    /// True if no process of this host ran before.
    pub first_start: bool,
    pub policy: Policy,
    pub bounds: StalenessBounds,
}

/// All targets, as known to the requests of this host.
pub struct TargetTable {
    pub(super) settings: TargetTableSettings,
    pub view: Arc<FleetView>,
    pub links: HashMap<Arc<str>, TargetLink>,
    pub(super) by_service: HashMap<String, Vec<ServiceTarget>>,
    pub adapters: AdapterMap,
    pub demand: AdapterDemand,
    pub(super) prefill_throughputs: HashMap<String, PrefillThroughput>,
    /// Pauses of streams, by service.
    pub(super) pause_records: HashMap<String, PauseRecord>,
    /// Services whose engines are of unequal speed.
    pub(super) unequal_services: HashSet<String>,
    pub(super) budgets: RepeatBudgets,
    /// Requests that no engine could take, by service.
    pub(super) unplaced: HashMap<String, UnplacedRequests>,
    /// Requests that wait for an adapter.
    pub(super) adapter_waiters: HashMap<String, AdapterWaiters>,
    /// Wakes requests that wait for an engine's status.
    pub(super) engine_status_updates: Rc<Notify>,
    /// Freshness of the table replicas behind the view.
    pub(super) freshness: ReplicaFreshness,
    /// Wakes requests that wait for fresh replicas.
    pub(super) freshness_updates: Rc<Notify>,
    /// Wakes requests that watch the versions of their adapters.
    pub(super) version_updates: Rc<Notify>,
    pub(super) staleness_monitor: StalenessMonitor,
    /// Whether this host reaches targets, by service.
    pub(super) reach: HashMap<String, ServiceReach>,
    /// Wakes requests that wait for a change of reach.
    pub(super) reach_updates: Rc<Notify>,
    pub crashes: CrashTracker,
    pub notices: NoticeTracker,
    pub(super) brittle: BrittleServices,
    pub quotas: QuotaTable,
    /// Awaited concurrency slots at targets of plain services.
    pub pending_slots: PendingReplies<PlaceGiven>,
    /// Awaited permits to send to rate-limited targets.
    pub pending_permits: PendingReplies<PermitAnswer>,
    /// Searches for origins of streams.
    pub pending_origins: OriginReplies,
    pub(super) control: flume::Sender<ControlRequest>,
}

/// A target of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTarget {
    pub id: Arc<str>,
    /// Hash of the address for adapter placement, so that a restarted target keeps its adapters.
    pub(super) hash: u64,
}

/// The requests that wait for one adapter.
pub(super) struct AdapterWaiters {
    pub(super) count: u32,
    pub(super) priority: u8,
    pub(super) updates: Rc<Notify>,
}

impl TargetTable {
    pub fn new(
        settings: TargetTableSettings,
        control: flume::Sender<ControlRequest>,
    ) -> Self {
        Self {
            settings,
            view: Arc::default(),
            links: HashMap::new(),
            by_service: HashMap::new(),
            adapters: AdapterMap::default(),
            demand: AdapterDemand::default(),
            prefill_throughputs: HashMap::new(),
            pause_records: HashMap::new(),
            unequal_services: HashSet::new(),
            budgets: RepeatBudgets::new(&settings, Instant::now()),
            unplaced: HashMap::new(),
            adapter_waiters: HashMap::new(),
            engine_status_updates: Rc::default(),
            freshness: ReplicaFreshness::default(),
            freshness_updates: Rc::default(),
            version_updates: Rc::default(),
            staleness_monitor: StalenessMonitor::new(settings.bounds, Instant::now()),
            reach: HashMap::new(),
            reach_updates: Rc::default(),
            crashes: CrashTracker::default(),
            notices: NoticeTracker::new(control.clone()),
            brittle: BrittleServices::default(),
            quotas: QuotaTable::default(),
            pending_slots: PendingReplies::default(),
            pending_permits: PendingReplies::default(),
            pending_origins: OriginReplies::default(),
            control,
        }
    }

    pub fn policy(&self) -> Policy {
        self.settings.policy
    }

    pub fn routing(&self) -> &Arc<RoutingTable> {
        &self.view.routing
    }

    /// Returns true if a target's entry allows requests now.
    pub fn is_usable(
        &self,
        target: &str,
        now: Instant,
    ) -> bool {
        let usable_until = |link: &TargetLink| link.view.usable_until;
        let link = self.links.get(target);
        link.is_some_and(|link| usable_until(link).is_none_or(|until| now < until))
    }

    /// Returns the known incarnation of a target.
    pub fn incarnation(
        &self,
        target: &str,
    ) -> Option<TargetStart> {
        self.links.get(target)?.view.record.started
    }

    /// Returns true if the site is so large that loads are not broadcast, and holders are queried before each send.
    pub fn is_large_site(&self) -> bool {
        self.view.hosts > MAX_BROADCAST_HOSTS
    }

    /// Queries an engine's status from its holder; returns false if it has none.
    pub fn query(
        &self,
        query: EngineQuery,
    ) -> bool {
        let link = self.links.get(query.target.as_str());
        let Some(holder) = link.and_then(|link| link.view.holder) else {
            return false;
        };
        let _ = self
            .control
            .send(ControlRequest::QueryEngine { holder, query });
        true
    }

    /// Handles a holder's report of its engine's status.
    pub fn on_engine_status(
        &mut self,
        status: &EngineStanding,
        now: Instant,
    ) {
        self.on_engine_load(&status.load, now);
        self.on_cached_tokens(status, now);
        if let Some(placement) = &status.placement {
            self.on_placement(placement, now);
        }
        self.engine_status_updates.notify_waiters();
    }

    /// Returns the `Notify` that wakes waiters when a holder has reported its engine's status.
    pub fn engine_status_updates(&self) -> Rc<Notify> {
        self.engine_status_updates.clone()
    }

    pub fn targets_of(
        &self,
        service: &str,
    ) -> &[ServiceTarget] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the engines of a service that hold a base model.
    pub fn engines_of(
        &self,
        service: &str,
    ) -> Vec<Arc<str>> {
        let targets = self.targets_of(service).iter();
        targets
            .filter(|target| !self.links[&target.id].view.record.is_empty)
            .map(|target| target.id.clone())
            .collect()
    }

    /// Returns the mean running tokens of these engines.
    pub fn mean_running_tokens<'a>(
        &self,
        targets: impl Iterator<Item = &'a Arc<str>>,
    ) -> f64 {
        let mut count = 0;
        let mut tokens = 0;
        for target in targets {
            count += 1;
            tokens += self.links[target].running_tokens();
        }
        tokens as f64 / f64::from(count.max(1))
    }

    /// Replaces the view and updates the links.
    pub fn set_view(
        &mut self,
        view: Arc<FleetView>,
    ) {
        let mut needs_regrouping = self.drop_links(&view);
        for (id, target) in &view.targets {
            needs_regrouping |= self.set_target(id, target);
        }
        self.set_freshness(view.freshness);
        self.budgets.set_hosts(view.known_hosts);
        let has_new_versions = !Arc::ptr_eq(&self.view.versions, &view.versions);
        self.view = view;
        if has_new_versions {
            self.version_updates.notify_waiters();
        }
        if needs_regrouping {
            self.group_by_service();
        }
        for waiters in self.adapter_waiters.values() {
            waiters.updates.notify_waiters();
        }
    }

    /// Drops the links of targets that are gone; returns true if there are any.
    fn drop_links(
        &mut self,
        view: &FleetView,
    ) -> bool {
        let gone: Vec<Arc<str>> = self
            .links
            .keys()
            .filter(|id| !view.targets.contains_key(&***id))
            .cloned()
            .collect();
        for id in &gone {
            self.links.remove(id);
            self.adapters.forget_target(id);
        }
        !gone.is_empty()
    }

    /// Updates one target's link; returns true if the target is new or its record has changed.
    fn set_target(
        &mut self,
        id: &str,
        target: &Arc<TargetView>,
    ) -> bool {
        let Some(link) = self.links.get_mut(id) else {
            let id: Arc<str> = id.into();
            self.adapters.assume_held(&id, &target.record.models);
            self.links
                .insert(id.clone(), TargetLink::new(target.clone()));
            // Another host may have told of its notices before the list brought it.
            self.record_brittleness(&id, target.record.started, Instant::now());
            return true;
        };
        if Arc::ptr_eq(&link.view, target) {
            return false;
        }
        if !link.is_same_incarnation(target) {
            // Adapters, connections, loads and failures belong to the previous incarnation.
            *link = TargetLink::new_incarnation(target.clone());
            self.adapters.forget_target(id);
            self.adapters.assume_held(id, &target.record.models);
            return true;
        }
        let needs_regrouping = !Arc::ptr_eq(&link.view.record, &target.record);
        link.set_view(target.clone());
        needs_regrouping
    }

    /// Groups the targets by service. This is costly for thousands of targets, so it is done only when a target's
    /// record has changed, not for each view.
    fn group_by_service(&mut self) {
        self.by_service.clear();
        for (id, link) in &self.links {
            let record = &link.view.record;
            let address = record.address.to_string();
            let target = ServiceTarget {
                id: id.clone(),
                hash: xxh3_64(address.as_bytes()),
            };
            match self.by_service.get_mut(&record.service) {
                Some(targets) => targets.push(target),
                None => {
                    self.by_service.insert(record.service.clone(), vec![target]);
                }
            }
        }
        for targets in self.by_service.values_mut() {
            targets.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        }
    }

    /// Handles a holder's report of its engine's load.
    pub fn on_engine_load(
        &mut self,
        load: &EngineLoad,
        now: Instant,
    ) {
        if let Some(link) = self.links.get_mut(load.target.as_str()) {
            link.on_load(load, now);
        }
    }

    /// Returns the prefill throughput of a service's engines.
    pub fn prefill_throughput(
        &mut self,
        service: &str,
    ) -> &mut PrefillThroughput {
        if !self.prefill_throughputs.contains_key(service) {
            self.prefill_throughputs
                .insert(service.to_string(), PrefillThroughput::default());
        }
        self.prefill_throughputs
            .get_mut(service)
            .expect("inserted above")
    }

    /// Sends the usage reports that are due to holders.
    pub fn report_usage(
        &mut self,
        now: Instant,
    ) {
        for (id, link) in &mut self.links {
            if link.take_due_report(now) {
                report_usage_to_holder(&self.control, id, link, now);
            }
        }
    }

    /// Reports to the holder at once that an engine has read a prompt, where other hosts predict pauses from that.
    pub fn report_prefill_done(
        &mut self,
        target: &str,
    ) {
        let Some(link) = self.links.get_mut(target) else {
            return;
        };
        if self.unequal_services.contains(&link.view.record.service) {
            report_usage_to_holder(&self.control, target, link, Instant::now());
        }
    }

    /// Counts a request that is sent to a target.
    ///
    /// If set by the policy, and on large sites, usage is reported to the holder at once, so that other hosts do not
    /// choose the same engine and the adapter is not evicted as unused.
    pub fn start_request(
        &mut self,
        target: &str,
        adapter: Option<&str>,
        tokens: RequestTokens,
    ) {
        let reports_at_once = self.settings.policy.tells_sends_at_once || self.is_large_site();
        let Some(link) = self.links.get_mut(target) else {
            return;
        };
        link.start(adapter, tokens);
        if reports_at_once {
            report_usage_to_holder(&self.control, target, link, Instant::now());
        }
    }
}

/// Reports this host's usage of an engine to its holder.
fn report_usage_to_holder(
    control: &flume::Sender<ControlRequest>,
    target: &str,
    link: &mut TargetLink,
    now: Instant,
) {
    let Some(holder) = link.view.holder else {
        return;
    };
    link.on_reported(now);
    let mut adapters = Vec::new();
    for (adapter, count) in &mut link.adapter_usage {
        adapters.push(AdapterUsage {
            adapter: adapter.clone(),
            in_flight: count.in_flight,
            started: count.started,
        });
        count.started = 0;
    }
    adapters.truncate(MAX_REPORTED_ADAPTERS);
    link.adapter_usage.retain(|_, count| count.in_flight > 0);
    let usage = Usage {
        target: target.to_string(),
        adapters,
        in_flight: link.in_flight,
        tokens: u32::try_from(link.tokens).unwrap_or(u32::MAX),
        unread_tokens: u32::try_from(link.unread_tokens).unwrap_or(u32::MAX),
        prompts: link.sent_prompts.take_report(),
        pace: link.pace_samples.take(),
    };
    let _ = control.send(ControlRequest::ReportUsage { holder, usage });
}
