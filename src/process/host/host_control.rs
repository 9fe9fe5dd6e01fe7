use {
    super::{
        ControlAction, ControlEvent, TableName, control_notices::NoticeState,
        control_origins::OriginState, control_places::AllocatedSlots, control_poison::PoisonState,
        control_quotas::ShardLedger, listed_target::ListedTarget, removed_targets::RemovedTargets,
        returned_targets::ReturnedTargets, taker_selection::TakerSelection,
        unclaimed_engines::UnclaimedEngines,
    },
    crate::{
        clock::Instant,
        connection::{
            datagram::{CopyState, Freshness, HostRumor, Ping},
            targets::{
                FleetView, ReplicaFreshness, SEND_MARGIN, TableFreshness, TargetView,
                VersionHistory,
            },
        },
        formats::Formats,
        note,
        process::{
            engines::{EngineAllocator, PublishedLoads, SharedAllocatorState, UnansweredOrders},
            holding::{EngineAssignment, HostRow, LeaseTimings},
            hosts::{
                FailureDetectionTimings, HoldingsSpread, HostIdentity, HostState, HostTable,
                PeerClocks,
            },
            ownership::SessionLease,
            settings::NodeSettings,
            tables::{ReadSchedule, ReadTimings, TableReplica},
        },
        timeline::Event,
        version::routing::RoutingTable,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Interval of the periodic work other than that of the allocators.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two runs of the allocators that no event caused.
const ALLOCATOR_INTERVAL: Duration = Duration::from_millis(4);

/// Interval at which the loads of engines are published; unchanged ones are left out.
const LOAD_PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two published views.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// Added to the minimum for each target, as the cost of a view grows with the number of targets.
const PUBLISH_INTERVAL_PER_TARGET: Duration = Duration::from_micros(50);

/// Minimum advance of a replica's freshness that is published without a new view.
const MIN_FRESHNESS_STEP: Duration = Duration::from_millis(100);

/// Share of the drain bound for which a target is used after its entry has vanished.
const VANISHED_USE_FRACTION: f64 = 0.55;

/// A replica of a table and the schedule by which this host reads it.
pub(super) struct ReplicatedTable {
    pub replica: TableReplica,
    pub schedule: ReadSchedule,
    /// The host from which changes are being pulled, if any.
    pub pulling_from: Option<SocketAddr>,
}

impl ReplicatedTable {
    pub fn replica_freshness(&self) -> TableFreshness {
        let confirmed_at = self.replica.confirmed_at();
        let failed_at = self.schedule.failed_at();
        TableFreshness {
            confirmed_at,
            store_failed: failed_at.is_some_and(|at| confirmed_at.is_none_or(|right| right < at)),
        }
    }
}

/// All control state of one host. It takes events, returns actions and does no I/O.
pub struct HostControl {
    pub(super) settings: NodeSettings,
    pub(super) formats: Arc<dyn Formats>,
    pub(super) hosts: HostTable,
    pub(super) clocks: PeerClocks,
    pub(super) declared: ReplicatedTable,
    pub(super) listed: ReplicatedTable,
    pub(super) assignment: EngineAssignment,
    pub(super) allocators: BTreeMap<String, EngineAllocator>,
    /// Unanswered orders of removed allocators, by engine; they may still reach the engine.
    pub(super) unanswered_orders: HashMap<String, UnansweredOrders>,
    /// State that the allocators share.
    pub(super) shared: SharedAllocatorState,
    pub(super) targets: BTreeMap<String, ListedTarget>,
    /// Targets that are no longer used, retained to recognize entries that arrive late.
    pub(super) removed_targets: RemovedTargets,
    /// Targets known as gone that a restored store lists again.
    pub(super) returned_targets: ReturnedTargets,
    /// The engines among the targets; `None` once targets or the configuration have changed.
    pub(super) engines: Option<Arc<BTreeMap<String, String>>>,
    /// Engines that no responsive host holds.
    pub(super) open_engines: UnclaimedEngines,
    pub(super) takers: TakerSelection,
    pub(super) routing: Arc<RoutingTable>,
    /// Versions of adapters that have more than one, by `MODEL/ADAPTER`.
    pub(super) versions: Arc<HashMap<String, VersionHistory>>,
    /// A new view must be published.
    pub(super) changed: bool,
    /// The replica freshness that was last published to requests.
    published_freshness: ReplicaFreshness,
    /// Earliest time of the next view; limits the views when many hosts become known at once.
    pub(super) next_publish: Instant,
    /// The view that requests use.
    published: Arc<FleetView>,
    /// Seeds that know no ready host.
    pub(super) seeds_without_ready_hosts: BTreeSet<SocketAddr>,
    /// Engines held here, as last published to all hosts.
    pub(super) published_holdings: Vec<String>,
    /// Spreads the list of the engines held here on a large site.
    pub(super) holdings: HoldingsSpread,
    /// A read of the store has confirmed a replica, and the other hosts have not been notified.
    pub(super) unannounced_read: bool,
    /// Earliest time at which the held engines are published again.
    pub(super) next_holdings_publish: Instant,
    next_load_publish: Instant,
    pub(super) published_loads: PublishedLoads,
    /// Earliest time of the next run of the allocators that no event causes.
    next_allocator_run: Instant,
    next_tick: Instant,
    pub(super) started: Instant,
    /// Completed rounds of queries to the seeds.
    pub(super) completed_seed_queries: usize,
    /// Hosts still to be asked in this round to lend repeat budget.
    pub(super) lenders: Vec<SocketAddr>,
    /// Number of known hosts that was last published to requests.
    pub(super) published_known_hosts: usize,
    /// Requests that crash targets.
    pub(super) poison: PoisonState,
    /// Shards of the customers' quotas that are counted here, by hash slot.
    pub(super) ledgers: BTreeMap<usize, ShardLedger>,
    /// Concurrency slots at targets of plain services that are allocated here, by service.
    pub(super) allocated_slots: BTreeMap<String, AllocatedSlots>,
    /// Notices that targets publish of themselves.
    pub(super) notices: NoticeState,
    /// Versions at which streams began.
    pub(super) origins: OriginState,
}

impl HostControl {
    pub fn new(
        settings: NodeSettings,
        formats: Arc<dyn Formats>,
        process: u64,
        now: Instant,
    ) -> Self {
        let policy = settings.policy;
        let identity = HostIdentity {
            peer: settings.listen.peers,
            name: settings.name.clone(),
            hall: settings.hall.clone(),
            front: settings.listen.front,
            process,
            link_mbps: settings.link_mbps.unwrap_or_default() as u32,
        };
        let row = HostRow {
            peer: identity.peer,
            name: identity.name.clone(),
            hall: identity.hall.clone(),
            front: identity.front,
            process,
            settled_era: 0,
        };
        let holdings = HoldingsSpread::new(identity.peer, identity.link_mbps, now);
        let mut hosts = HostTable::new(identity, FailureDetectionTimings::default(), now);
        hosts.expect(settings.seed_peers());
        let lease = &settings.lease;
        let timings = LeaseTimings::new(lease.length, lease.renew, settings.bounds.lease_gap);
        let table = |bound| ReplicatedTable {
            replica: TableReplica::default(),
            schedule: ReadSchedule::new(ReadTimings::within(bound), now),
            pulling_from: None,
        };
        Self {
            declared: table(settings.bounds.config.min(settings.bounds.version)),
            listed: table(settings.bounds.drain),
            hosts,
            clocks: PeerClocks::default(),
            assignment: EngineAssignment::new(row, timings, now),
            origins: OriginState::new(settings.first_start),
            settings,
            formats,
            allocators: BTreeMap::new(),
            unanswered_orders: HashMap::new(),
            shared: SharedAllocatorState::new(policy),
            targets: BTreeMap::new(),
            removed_targets: RemovedTargets::default(),
            returned_targets: ReturnedTargets::default(),
            engines: None,
            open_engines: UnclaimedEngines::default(),
            takers: TakerSelection::default(),
            routing: Arc::default(),
            versions: Arc::default(),
            changed: true,
            published_freshness: ReplicaFreshness::default(),
            next_publish: now,
            published: Arc::default(),
            seeds_without_ready_hosts: BTreeSet::new(),
            published_holdings: Vec::new(),
            holdings,
            unannounced_read: false,
            next_holdings_publish: now,
            next_load_publish: now,
            published_loads: PublishedLoads::default(),
            next_allocator_run: now,
            next_tick: now,
            started: now,
            completed_seed_queries: 0,
            lenders: Vec::new(),
            published_known_hosts: 0,
            poison: PoisonState::default(),
            ledgers: BTreeMap::new(),
            allocated_slots: BTreeMap::new(),
            notices: NoticeState::default(),
        }
    }

    /// Returns this host's lease, which is checked right before each order is sent.
    pub fn lease(&self) -> SessionLease {
        self.assignment.lease().clone()
    }

    /// Returns true if this host accepts requests.
    pub fn is_ready(&self) -> bool {
        self.routing.version > 0 && !self.hosts.is_leaving()
    }

    /// Returns the front addresses of the hosts that accept requests, sorted.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .hosts
            .hosts()
            .filter(|host| host.ready && host.state == HostState::Alive)
            .map(|host| host.identity.front)
            .collect();
        if self.is_ready() {
            addresses.push(self.settings.listen.front);
        }
        addresses.sort_unstable();
        addresses
    }

    /// Returns where the other hosts that are not leaving take forwarded requests.
    fn other_hosts(&self) -> Vec<SocketAddr> {
        let port = self.settings.listen.forwards.port();
        self.hosts
            .hosts()
            .filter(|host| host.state == HostState::Alive)
            .map(|host| SocketAddr::new(host.identity.peer.ip(), port))
            .collect()
    }

    /// Returns when the next tick is due, at the earliest `now`.
    pub fn next_wake(
        &self,
        now: Instant,
    ) -> Instant {
        let tick = self.next_tick;
        // An allocator that stays due without an order to give must not cause a busy loop.
        let due = self.next_allocator_deadline().unwrap_or(tick);
        let due = due.max(self.next_allocator_run);
        let publish = match self.changed {
            true => self.next_publish,
            false => tick,
        };
        due.min(tick).min(publish).max(now)
    }

    /// Handles one event and returns the actions that follow from it.
    pub fn on(
        &mut self,
        event: ControlEvent,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = match event {
            ControlEvent::Tick => self.on_tick(now),
            ControlEvent::Message {
                from,
                message,
                arrived_after,
            } => self.on_message(from, message, arrived_after, now),
            ControlEvent::Request(request) => self.on_request(request, now),
            ControlEvent::ChangesRead {
                table,
                requested_at,
                reply,
            } => self.on_changes_read(table, requested_at, reply, now),
            ControlEvent::TableRead {
                table,
                requested_at,
                rows,
            } => self.on_table_read(table, requested_at, rows, now),
            ControlEvent::ChangesPulled {
                table,
                from,
                changes,
            } => self.on_changes_pulled(table, from, changes, now),
            ControlEvent::HostsPulled { from, hosts } => self.on_hosts_pulled(from, hosts, now),
            ControlEvent::Renewed { sent, commit } => self.on_renewed(sent, commit, now),
            ControlEvent::HoldersRead { term, rows } => self.on_holders_read(term, rows, now),
            ControlEvent::EnginesTaken {
                engines,
                term,
                commit,
            } => self.on_taken(&engines, term, commit, now),
            ControlEvent::LeasesChecked { commit } => self.on_leases_checked(commit, now),
            ControlEvent::OrderEnded { target, reply } => self.on_order_ended(&target, reply, now),
            ControlEvent::OrderCancelled { target } => {
                if let Some(allocator) = self.allocators.get_mut(&target) {
                    allocator.on_order_cancelled();
                }
                Vec::new()
            }
            ControlEvent::ReportReceived { target, report } => {
                self.with_allocator(&target, now, |allocator| allocator.on_report(report, now))
            }
            ControlEvent::PoisonRead { rows } => self.on_poison_read(rows, now),
            ControlEvent::OriginsRead { rows } => self.on_origins_read(rows, now),
            ControlEvent::OriginsWritten { commit } => self.on_origins_written(commit, now),
            ControlEvent::SettingsRead(_) => Vec::new(),
            ControlEvent::Stop => self.on_stop(now),
        };
        if self.changed && now >= self.next_publish {
            self.changed = false;
            let targets = u32::try_from(self.targets.len()).unwrap_or(u32::MAX);
            self.next_publish = now + PUBLISH_INTERVAL + PUBLISH_INTERVAL_PER_TARGET * targets;
            self.published_freshness = self.replica_freshness();
            self.note_software(now);
            self.published = Arc::new(self.view(now));
            actions.push(ControlAction::PublishView(self.published.clone()));
        }
        actions
    }

    fn on_tick(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        self.next_allocator_run = now + ALLOCATOR_INTERVAL;
        if now < self.next_tick {
            actions.extend(self.tick_allocators(now));
            return actions;
        }
        self.next_tick = now + TICK_INTERVAL;
        actions.extend(self.query_seeds(now));
        actions.extend(self.tick_hosts(now));
        actions.extend(self.start_table_reads(now));
        self.remove_vanished(now);
        actions.extend(self.list_returned(now));
        actions.extend(self.take_freshness_update());
        actions.extend(self.announce_read(now));
        actions.extend(self.tick_engines(now));
        actions.extend(self.tick_poison(now));
        actions.extend(self.tick_origin_rows(now));
        actions.extend(self.tick_notices(now));
        if now >= self.next_load_publish {
            self.next_load_publish = now + LOAD_PUBLISH_INTERVAL;
            actions.extend(self.publish_loads(now));
            self.set_gauges(now);
        }
        actions
    }

    fn replica_freshness(&self) -> ReplicaFreshness {
        ReplicaFreshness {
            declared: self.declared.replica_freshness(),
            targets: self.listed.replica_freshness(),
        }
    }

    /// Returns the replica freshness to publish if it has advanced enough. While a view is pending it
    /// returns `None`: the view holds the freshness, which must not be published before it.
    fn take_freshness_update(&mut self) -> Option<ControlAction> {
        let replica_freshness = self.replica_freshness();
        if self.changed || !has_advanced(&self.published_freshness, &replica_freshness) {
            return None;
        }
        self.published_freshness = replica_freshness;
        Some(ControlAction::PublishFreshness(replica_freshness))
    }

    fn on_stop(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        self.hosts.leave();
        self.changed = true;
        let mut actions = self.hand_over_origins(now);
        actions.extend(self.notify_all_hosts(now));
        actions
    }

    /// Returns the rumor of this host that is sent to others.
    pub(super) fn local_rumor(
        &self,
        now: Instant,
    ) -> HostRumor {
        let (holds, holds_version) = match self.hosts.lists_holdings() {
            true => (self.local_holdings(now), 0),
            false => (Vec::new(), self.holdings.version()),
        };
        let lease_version = self.assignment.lease_version();
        let rumor = self
            .hosts
            .local_rumor(holds, lease_version, self.is_ready());
        HostRumor {
            holds_version,
            ..rumor
        }
    }

    /// Returns the versions and ages of this host's replicas.
    pub(super) fn freshness(
        &self,
        now: Instant,
    ) -> Freshness {
        let state = |replica: &TableReplica| CopyState {
            version: replica.version().to_bits(),
            digest: replica.digest(),
            age_ms: replica
                .staleness(now)
                .map(|staleness| u32::try_from(staleness.as_millis()).unwrap_or(u32::MAX)),
        };
        Freshness {
            declared: state(&self.declared.replica),
            targets: state(&self.listed.replica),
            told_us: self.uptime_us(now),
            poison: self.poison_digest(),
        }
    }

    /// Returns the time since the start of this process, in microseconds.
    fn uptime_us(
        &self,
        now: Instant,
    ) -> u64 {
        let uptime = now.saturating_duration_since(self.started);
        u64::try_from(uptime.as_micros()).unwrap_or(u64::MAX)
    }

    /// Builds a ping from this host.
    pub(super) fn ping_message(
        &mut self,
        one_way: bool,
        now: Instant,
    ) -> Ping {
        Ping {
            sender: self.local_rumor(now),
            freshness: self.freshness(now),
            rumors: self.hosts.take_rumors(),
            one_way,
        }
    }

    /// Builds a one-way ping from this host. On a large site it contains no rumors: it is sent to hundreds of hosts,
    /// and the regular pings spread rumors fast enough.
    pub(super) fn notification(
        &mut self,
        now: Instant,
    ) -> Ping {
        match self.hosts.lists_holdings() {
            true => self.ping_message(true, now),
            false => Ping {
                sender: self.local_rumor(now),
                freshness: self.freshness(now),
                rumors: Vec::new(),
                one_way: true,
            },
        }
    }

    pub(super) fn table_mut(
        &mut self,
        table: TableName,
    ) -> &mut ReplicatedTable {
        match table {
            TableName::Declared => &mut self.declared,
            TableName::Targets => &mut self.listed,
        }
    }

    /// Returns how long a target is still used after its entry has vanished. `before` is the freshness of
    /// the replica that still had the entry.
    ///
    /// The entry may have vanished right after that replica was confirmed, so the drain bound counts from
    /// there. During a store outage entries expire because targets can't renew them; after it, the time
    /// counts from `now`. A failed read counts as an outage only if the replica is older than the bound.
    pub(super) fn usable_until(
        &self,
        before: &TableFreshness,
        now: Instant,
    ) -> Instant {
        let bound = self.settings.bounds.drain;
        let until = now + bound.mul_f64(VANISHED_USE_FRACTION);
        let latest = before
            .confirmed_at
            .map(|at| at + bound.saturating_sub(SEND_MARGIN));
        let was_out = before.store_failed && latest.is_some_and(|latest| latest <= now);
        match latest {
            Some(latest) if !was_out => until.min(latest),
            _ => until,
        }
    }

    fn remove_vanished(
        &mut self,
        now: Instant,
    ) {
        let gone: Vec<String> = self
            .targets
            .iter()
            .filter(|(_, target)| target.usable_until.is_some_and(|until| now >= until))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            note!(Event::TargetForgotten, target = id);
            if let Some(target) = self.targets.remove(&id) {
                self.removed_targets.insert(id, target, now);
            }
            self.engines = None;
            self.changed = true;
        }
    }

    /// Returns a target as requests see it. An unchanged target keeps its `Arc`, so that requests can skip it.
    fn target_view(
        &self,
        id: &str,
        target: &ListedTarget,
        holder: Option<SocketAddr>,
    ) -> Arc<TargetView> {
        let seen = self.published.targets.get(id);
        let unchanged = seen.filter(|seen| is_view_current(seen, target, holder));
        let changed = || {
            Arc::new(TargetView {
                record: target.record.clone(),
                holder,
                usable_until: target.usable_until,
            })
        };
        unchanged.cloned().unwrap_or_else(changed)
    }

    fn view(
        &self,
        now: Instant,
    ) -> FleetView {
        let holders = self.holders(now);
        let own: HashSet<SocketAddr> = self.host_addresses().collect();
        let targets = self
            .targets
            .iter()
            .filter(|(_, target)| !own.contains(&target.record.address))
            .filter(|(id, target)| {
                target.is_usable() && !self.notices.has_announced_leaving(id, target)
            })
            .map(|(id, target)| {
                let holder = holders.get(id.as_str()).copied();
                (id.clone(), self.target_view(id, target, holder))
            });
        FleetView {
            routing: self.routing.clone(),
            targets: targets.collect(),
            versions: self.versions.clone(),
            withheld_software: self.withheld_software(),
            hash_slot_holders: self.shard_holders(&holders),
            other_hosts: self.other_hosts(),
            hosts: self.hosts.reachable_count(),
            known_hosts: self.hosts.known_count(),
            freshness: self.published_freshness,
        }
    }
}

/// Returns true if a published view of a target is current.
fn is_view_current(
    seen: &TargetView,
    target: &ListedTarget,
    holder: Option<SocketAddr>,
) -> bool {
    Arc::ptr_eq(&seen.record, &target.record)
        && seen.holder == holder
        && seen.usable_until == target.usable_until
}

fn has_advanced(
    published: &ReplicaFreshness,
    current: &ReplicaFreshness,
) -> bool {
    let differs = |published: &TableFreshness, current: &TableFreshness| {
        let step = match (published.confirmed_at, current.confirmed_at) {
            (Some(published), Some(current)) => current.saturating_duration_since(published),
            (None, Some(_)) => MIN_FRESHNESS_STEP,
            _ => Duration::ZERO,
        };
        published.store_failed != current.store_failed || step >= MIN_FRESHNESS_STEP
    };
    differs(&published.declared, &current.declared) || differs(&published.targets, &current.targets)
}
