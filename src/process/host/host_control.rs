use {
    super::{
        ControlAction, ControlEvent, TableName, control_notices::NoticeState,
        control_places::GivenPlaces, control_poison::PoisonState, control_quotas::ShardLedger,
        listed_target::ListedTarget, removed_targets::RemovedTargets,
        taker_selection::TakerSelection, unclaimed_engines::UnclaimedEngines,
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
            hosts::{HostIdentity, HostState, HostTable, HostTimings, PeerClocks},
            ownership::SessionLease,
            settings::NodeSettings,
            tables::{ReadSchedule, ReadTimings, TableCopy},
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

/// Time between two looks at everything.
const TICK: Duration = Duration::from_millis(50);

/// Time between two looks at the desks without news, at the least.
const DESK_PAUSE: Duration = Duration::from_millis(4);

/// Time between reports of how busy engines are; those that have not changed are left out.
const LOAD_PERIOD: Duration = Duration::from_millis(50);

/// Time between two views for requests, at the least.
const PUBLISH_PAUSE: Duration = Duration::from_millis(20);

/// The same for each target besides: a view of 3,000 targets takes 3 ms to make and to take over, so that
/// 50 a second would use up a small host's processor. At 800 targets it makes 60 ms, well below the
/// bounds of seconds that views are held against.
const PUBLISH_PAUSE_PER_TARGET: Duration = Duration::from_micros(50);

/// Requests are told of a younger copy once it is younger by this: a twentieth of the shortest bound
/// (2 s) at the cost of ten wakes a second at the most.
const CONFIRM_STEP: Duration = Duration::from_millis(100);

/// A target whose entry has vanished from the list is used for so long, as a share of the bound.
const VANISHED_SHARE: f64 = 0.55;

/// A copy of a table, and when this host reads it.
pub(super) struct KeptTable {
    pub copy: TableCopy,
    pub schedule: ReadSchedule,
    /// Whom this host asks for changes at this moment.
    pub pulling: Option<SocketAddr>,
}

impl KeptTable {
    pub fn confirmation(&self) -> TableFreshness {
        let confirmed_at = self.copy.right_at();
        let failed_at = self.schedule.failed_at();
        TableFreshness {
            confirmed_at,
            store_failed: failed_at.is_some_and(|at| confirmed_at.is_none_or(|right| right < at)),
        }
    }
}

/// All control state of one host; events go in, actions come out.
pub struct HostControl {
    pub(super) settings: NodeSettings,
    pub(super) formats: Arc<dyn Formats>,
    pub(super) hosts: HostTable,
    pub(super) clocks: PeerClocks,
    pub(super) declared: KeptTable,
    pub(super) listed: KeptTable,
    pub(super) holding: EngineAssignment,
    pub(super) desks: BTreeMap<String, EngineAllocator>,
    /// Orders of desks that were closed a moment ago, by engine: they may still reach it.
    pub(super) late_orders: HashMap<String, UnansweredOrders>,
    /// What the desks share.
    pub(super) shared: SharedAllocatorState,
    pub(super) targets: BTreeMap<String, ListedTarget>,
    /// Targets that are no longer used, since entries of theirs may come late.
    pub(super) ended_targets: RemovedTargets,
    /// The engines among them; `None` once targets or the configuration have changed.
    pub(super) engines: Option<Arc<BTreeMap<String, String>>>,
    /// Those that no other host claims that answers.
    pub(super) open_engines: UnclaimedEngines,
    pub(super) takers: TakerSelection,
    pub(super) routing: Arc<RoutingTable>,
    /// Of adapters that have more than one version, by `MODEL/ADAPTER`.
    pub(super) versions: Arc<HashMap<String, VersionHistory>>,
    /// Another view must be published.
    pub(super) changed: bool,
    /// How well what requests see is known to be right, as they were last told.
    told_confirmation: ReplicaFreshness,
    /// No other view is published before; many hosts may become known at the same moment.
    pub(super) next_publish: Instant,
    /// What requests see.
    published: Arc<FleetView>,
    /// Seeds that have nothing to hand over.
    pub(super) empty_seeds: BTreeSet<SocketAddr>,
    /// Engines held here, as all hosts were last told, and when they may be told again.
    pub(super) told_holds: Vec<String>,
    pub(super) next_holds: Instant,
    next_loads: Instant,
    pub(super) told_loads: PublishedLoads,
    /// Desks are not looked at before, without news.
    next_desks: Instant,
    next_tick: Instant,
    pub(super) started: Instant,
    /// Looks at the seeds that are over.
    pub(super) joins: usize,
    /// Hosts to ask for loans of the allowance of repeats, each once a round.
    pub(super) lenders: Vec<SocketAddr>,
    /// Hosts known over a long time, as requests were last told.
    pub(super) told_known_hosts: usize,
    /// Requests that end targets.
    pub(super) poison: PoisonState,
    /// The parts of customers' use that are counted here, by slot.
    pub(super) ledgers: BTreeMap<usize, ShardLedger>,
    /// Places at targets of the plain services that are given out here.
    pub(super) places: BTreeMap<String, GivenPlaces>,
    /// What targets say of themselves.
    pub(super) notices: NoticeState,
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
        };
        let mut hosts = HostTable::new(identity, HostTimings::default(), now);
        hosts.expect(settings.seed_peers());
        let lease = &settings.lease;
        let timings = LeaseTimings::new(lease.length, lease.renew, settings.bounds.lease_gap);
        let table = |bound| KeptTable {
            copy: TableCopy::default(),
            schedule: ReadSchedule::new(ReadTimings::within(bound), now),
            pulling: None,
        };
        Self {
            declared: table(settings.bounds.config.min(settings.bounds.version)),
            listed: table(settings.bounds.drain),
            hosts,
            clocks: PeerClocks::default(),
            holding: EngineAssignment::new(row, timings, now),
            settings,
            formats,
            desks: BTreeMap::new(),
            late_orders: HashMap::new(),
            shared: SharedAllocatorState::new(policy),
            targets: BTreeMap::new(),
            ended_targets: RemovedTargets::default(),
            engines: None,
            open_engines: UnclaimedEngines::default(),
            takers: TakerSelection::default(),
            routing: Arc::default(),
            versions: Arc::default(),
            changed: true,
            told_confirmation: ReplicaFreshness::default(),
            next_publish: now,
            published: Arc::default(),
            empty_seeds: BTreeSet::new(),
            told_holds: Vec::new(),
            next_holds: now,
            next_loads: now,
            told_loads: PublishedLoads::default(),
            next_desks: now,
            next_tick: now,
            started: now,
            joins: 0,
            lenders: Vec::new(),
            told_known_hosts: 0,
            poison: PoisonState::default(),
            ledgers: BTreeMap::new(),
            places: BTreeMap::new(),
            notices: NoticeState::default(),
        }
    }

    /// This host's lease, to be looked at right before each order.
    pub fn lease(&self) -> SessionLease {
        self.holding.lease().clone()
    }

    /// True if this host takes requests.
    pub fn is_ready(&self) -> bool {
        self.routing.version > 0 && !self.hosts.is_leaving()
    }

    /// Addresses for callers: the hosts that take requests.
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

    /// When something must be decided, if no event comes before; not before `now`.
    pub fn next_wake(
        &self,
        now: Instant,
    ) -> Instant {
        let tick = self.next_tick;
        // A desk that is due but may do nothing must not take the whole processor.
        let due = self.next_allocator_deadline().unwrap_or(tick);
        let due = due.max(self.next_desks);
        let publish = match self.changed {
            true => self.next_publish,
            false => tick,
        };
        due.min(tick).min(publish).max(now)
    }

    /// Takes one event in.
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
                asked,
                reply,
            } => self.on_changes_read(table, asked, reply, now),
            ControlEvent::TableRead { table, asked, rows } => {
                self.on_table_read(table, asked, rows, now)
            }
            ControlEvent::ChangesPulled {
                table,
                from,
                changes,
            } => self.on_changes_pulled(table, from, changes, now),
            ControlEvent::HostsPulled { from, hosts } => self.on_hosts_pulled(from, hosts, now),
            ControlEvent::Renewed { sent, commit } => self.on_renewed(sent, commit, now),
            ControlEvent::HoldersRead { term, rows } => self.on_holders_read(term, rows, now),
            ControlEvent::Taken {
                engines,
                term,
                commit,
            } => {
                self.on_taken(&engines, term, commit, now);
                Vec::new()
            }
            ControlEvent::OrderEnded { target, reply } => self.on_order_ended(&target, reply, now),
            ControlEvent::OrderWithheld { target } => {
                if let Some(desk) = self.desks.get_mut(&target) {
                    desk.on_order_cancelled();
                }
                Vec::new()
            }
            ControlEvent::Reported { target, report } => {
                self.with_allocator(&target, now, |desk| desk.on_report(report, now))
            }
            ControlEvent::PoisonRead { rows } => self.on_poison_read(rows, now),
            ControlEvent::SettingsRead(_) => Vec::new(),
            ControlEvent::Stop => self.on_stop(now),
        };
        if self.changed && now >= self.next_publish {
            self.changed = false;
            let targets = u32::try_from(self.targets.len()).unwrap_or(u32::MAX);
            self.next_publish = now + PUBLISH_PAUSE + PUBLISH_PAUSE_PER_TARGET * targets;
            self.told_confirmation = self.confirmation();
            self.published = Arc::new(self.view(now));
            actions.push(ControlAction::Publish(self.published.clone()));
        }
        actions
    }

    fn on_tick(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        self.next_desks = now + DESK_PAUSE;
        if now < self.next_tick {
            actions.extend(self.tick_allocators(now));
            return actions;
        }
        self.next_tick = now + TICK;
        actions.extend(self.join(now));
        actions.extend(self.tick_hosts(now));
        actions.extend(self.read_tables(now));
        self.drop_vanished(now);
        actions.extend(self.confirm());
        actions.extend(self.tick_engines(now));
        actions.extend(self.tick_poison(now));
        actions.extend(self.tick_notices(now));
        if now >= self.next_loads {
            self.next_loads = now + LOAD_PERIOD;
            actions.extend(self.publish_loads(now));
            self.set_gauges(now);
        }
        actions
    }

    fn confirmation(&self) -> ReplicaFreshness {
        ReplicaFreshness {
            declared: self.declared.confirmation(),
            targets: self.listed.confirmation(),
        }
    }

    /// Tells requests how well what they see is known to be right; a view that is to be published tells
    /// it, too, and a newer time must not come before its view.
    fn confirm(&mut self) -> Option<ControlAction> {
        let confirmation = self.confirmation();
        if self.changed || !is_news(&self.told_confirmation, &confirmation) {
            return None;
        }
        self.told_confirmation = confirmation;
        Some(ControlAction::Confirm(confirmation))
    }

    fn on_stop(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        self.hosts.leave();
        self.changed = true;
        self.tell_all(now)
    }

    /// This host, as it is told of to others.
    pub(super) fn my_rumor(
        &self,
        now: Instant,
    ) -> HostRumor {
        let holds = self.holding.held(now).map(|(target, _)| target.clone());
        self.hosts.my_rumor(
            holds.collect(),
            self.holding.lease_version(),
            self.is_ready(),
        )
    }

    /// How new this host's copies are.
    pub(super) fn freshness(
        &self,
        now: Instant,
    ) -> Freshness {
        let state = |copy: &TableCopy| CopyState {
            version: copy.version(),
            digest: copy.digest(),
            age_ms: copy
                .age(now)
                .map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
        };
        Freshness {
            declared: state(&self.declared.copy),
            targets: state(&self.listed.copy),
            told_us: self.uptime_us(now),
            poison: self.poison_digest(),
        }
    }

    /// Time since the start of this process, as other hosts are told it.
    fn uptime_us(
        &self,
        now: Instant,
    ) -> u64 {
        let uptime = now.saturating_duration_since(self.started);
        u64::try_from(uptime.as_micros()).unwrap_or(u64::MAX)
    }

    /// A ping from this host.
    pub(super) fn ping_message(
        &mut self,
        one_way: bool,
        now: Instant,
    ) -> Ping {
        Ping {
            sender: self.my_rumor(now),
            freshness: self.freshness(now),
            rumors: self.hosts.take_rumors(),
            one_way,
        }
    }

    pub(super) fn kept(
        &mut self,
        table: TableName,
    ) -> &mut KeptTable {
        match table {
            TableName::Declared => &mut self.declared,
            TableName::Targets => &mut self.listed,
        }
    }

    /// A target's entry has vanished: how long it is still used; `before` is the copy that still had it.
    ///
    /// It may have vanished right after that copy was right. Counted from the news alone, a target was used for
    /// 2.3 s with a bound of 2 s. In an outage entries lapse since targets can't renew them, and are back
    /// some time after the store's return: these count from the news. One read that failed is no outage: it
    /// is one only when the copy, too, is older than the bound.
    pub(super) fn vanished_until(
        &self,
        before: &TableFreshness,
        now: Instant,
    ) -> Instant {
        let bound = self.settings.bounds.drain;
        let until = now + bound.mul_f64(VANISHED_SHARE);
        let latest = before
            .confirmed_at
            .map(|at| at + bound.saturating_sub(SEND_MARGIN));
        let was_out = before.store_failed && latest.is_some_and(|latest| latest <= now);
        match latest {
            Some(latest) if !was_out => until.min(latest),
            _ => until,
        }
    }

    fn drop_vanished(
        &mut self,
        now: Instant,
    ) {
        let gone: Vec<String> = self
            .targets
            .iter()
            .filter(|(_, target)| target.vanished_until.is_some_and(|until| now >= until))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            note!(Event::TargetForgotten, target = id);
            if let Some(target) = self.targets.remove(&id) {
                self.ended_targets.note(id, target, now);
            }
            self.engines = None;
            self.changed = true;
        }
    }

    /// A target as requests are to see it. One that has not changed stays the same, so that they need not
    /// look at it.
    fn target_view(
        &self,
        id: &str,
        target: &ListedTarget,
        holder: Option<SocketAddr>,
    ) -> Arc<TargetView> {
        let seen = self.published.targets.get(id);
        let unchanged = seen.filter(|seen| is_as_seen(seen, target, holder));
        let changed = || {
            Arc::new(TargetView {
                record: target.record.clone(),
                holder,
                usable_until: target.vanished_until,
            })
        };
        unchanged.cloned().unwrap_or_else(changed)
    }

    fn view(
        &self,
        now: Instant,
    ) -> FleetView {
        let holders = self.holders(now);
        let own: HashSet<SocketAddr> = self.own_addresses().collect();
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
            hash_slot_holders: self.shard_holders(&holders),
            hosts: self.hosts.up_count(),
            known_hosts: self.hosts.known_count(),
            freshness: self.told_confirmation,
        }
    }
}

/// True if a view still says what is known of a target.
fn is_as_seen(
    seen: &TargetView,
    target: &ListedTarget,
    holder: Option<SocketAddr>,
) -> bool {
    Arc::ptr_eq(&seen.record, &target.record)
        && seen.holder == holder
        && seen.usable_until == target.vanished_until
}

fn is_news(
    told: &ReplicaFreshness,
    current: &ReplicaFreshness,
) -> bool {
    let differs = |told: &TableFreshness, current: &TableFreshness| {
        let step = match (told.confirmed_at, current.confirmed_at) {
            (Some(told), Some(current)) => current.saturating_duration_since(told),
            (None, Some(_)) => CONFIRM_STEP,
            _ => Duration::ZERO,
        };
        told.store_failed != current.store_failed || step >= CONFIRM_STEP
    };
    differs(&told.declared, &current.declared) || differs(&told.targets, &current.targets)
}
