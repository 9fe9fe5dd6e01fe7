use {
    super::{Action, HostView, Input, OwnerView, View},
    crate::{
        connection::{
            peer::wire,
            platform::{HostState, Row, RowScan},
            target::{EngineOrder, EngineReport},
        },
        errors::TargetError,
        process::{
            loads::{LoadDecision, LoadQueue},
            membership::{Heartbeat, Liveness, Membership, Rumor},
            ownership::{OWNER_PREFIX, OwnerChange, OwnerRow, Ownership, SessionLease},
            settings::HostSettings,
            target::{Admission, TargetAction, TargetState},
        },
        request::{Refusal, RefusalCode},
        timeline::{Event, EventLog},
        version::SiteConfig,
    },
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Looks at the table that must fail in a row before it counts as out.
const TABLE_FAILURES: u32 = 2;

/// Time between decisions on ownership.
const OWNERSHIP_PERIOD: Duration = Duration::from_millis(100);

/// Ownership decisions wait this many probe periods after the start, to hear of the others.
const SETTLE_PROBES: u32 = 5;

/// All control state of one process; events go in, actions come out.
pub struct Control {
    me: String,
    session: u64,
    settings: HostSettings,
    started: Instant,
    pub(super) config: Arc<SiteConfig>,
    pub(super) membership: Membership,
    pub(super) ownership: Ownership,
    pub(super) targets: BTreeMap<String, TargetState>,
    pub(super) loads: LoadQueue,
    lease: SessionLease,
    lease_held: bool,
    next_ownership: Instant,
    table_failures: u32,
    table_read: bool,
    hosts_read: bool,
    log: EventLog,
    changed: bool,
}

impl Control {
    pub fn new(
        settings: HostSettings,
        session: u64,
        lease: SessionLease,
        log: EventLog,
        now: Instant,
    ) -> Self {
        let wait = settings.lease.length + settings.lease.margin;
        Self {
            me: settings.name.clone(),
            session,
            started: now,
            config: Arc::default(),
            membership: Membership::new(&settings.name, session, settings.membership.clone()),
            ownership: Ownership::new(&settings.name, session, wait),
            targets: BTreeMap::new(),
            loads: LoadQueue::new(settings.loads.at_once, settings.loads.timeout * 2),
            lease,
            lease_held: false,
            next_ownership: now,
            table_failures: TABLE_FAILURES,
            table_read: false,
            hosts_read: false,
            log,
            changed: true,
            settings,
        }
    }

    /// Takes one event in.
    pub fn on(
        &mut self,
        input: Input,
        now: Instant,
    ) -> Vec<Action> {
        match input {
            Input::Tick => self.on_tick(now),
            Input::Arrival { target, ticket } => match self.targets.get_mut(&target) {
                Some(state) => named(&target, state.on_arrival(ticket, now)),
                None => vec![Action::Answer {
                    ticket: ticket.id,
                    admission: not_owner(),
                }],
            },
            Input::End {
                target,
                ticket,
                settled,
            } => self.with(&target, |state| state.on_end(ticket, settled, now)),
            Input::Contact { target, reached } => self.on_contact(&target, reached, now),
            Input::AdapterMissing { target, model } => {
                self.with(&target, |state| state.on_adapter_missing(&model, now))
            }
            Input::FencedOff { target } => self.on_fenced_off(&target),
            Input::Report {
                target,
                made,
                report,
            } => self.on_report(&target, made, report, now),
            Input::OrderEnd {
                target,
                fence,
                order,
                outcome,
            } => self.on_order_end(&target, fence, &order, &outcome, now),
            Input::LoadAnswer {
                target,
                model,
                granted,
            } => self.with(&target, |state| match granted {
                true => state.on_grant(&model, now),
                false => state.on_not_granted(&model, now),
            }),
            Input::LoadAsked { id, ask } => {
                self.loads.on_ask(id, ask, now);
                self.decide_loads(now)
            }
            Input::LoadGone { ask } => {
                self.loads.on_gone(ask);
                Vec::new()
            }
            Input::LoadReleased { ask } => {
                self.loads.on_release(ask);
                self.decide_loads(now)
            }
            Input::HostList(hosts) => {
                self.hosts_read = true;
                self.membership.on_host_list(hosts, now);
                self.changed = true;
                Vec::new()
            }
            Input::Rows { scan, term } => self.on_rows(scan, term, now),
            Input::TableFailed => {
                self.on_table_failed();
                Vec::new()
            }
            Input::SessionRead {
                host,
                version,
                row,
                asked,
            } => {
                self.ownership
                    .on_session_read(&host, version, row, asked, now);
                Vec::new()
            }
            Input::OwnerRow {
                target,
                version,
                row,
                term,
            } => self.on_owner_row(&target, version, row, term, now),
            Input::OwnerFailed { target } => {
                self.ownership.on_failed(&target);
                Vec::new()
            }
            Input::Config(config) => self.on_config(config),
            Input::Heartbeat { heard, rumors } => self.on_heartbeat(&heard, &rumors, now),
            Input::ProbeFailed { host } => {
                let actions = self.membership.on_probe_failed(&host, now);
                actions.into_iter().map(Action::Membership).collect()
            }
            Input::HelperFailed { host } => {
                self.membership.on_helper_failed(&host, now);
                Vec::new()
            }
            Input::HelperReached { host } => {
                self.membership.on_helper_reached(&host);
                Vec::new()
            }
            Input::HandoverNoticed => vec![Action::ReadConfig],
            Input::Leave => self.on_leave(now),
        }
    }

    /// Whether another view should be published since the last call.
    pub fn take_changed(&mut self) -> bool {
        let news = self.membership.take_news();
        for item in &news {
            self.note_news(&item.host, item.liveness);
        }
        let changed = self.changed || !news.is_empty();
        self.changed = false;
        changed
    }

    /// What traffic threads should see.
    pub fn view(&self) -> View {
        let owners = self
            .config
            .targets
            .keys()
            .filter_map(|target| {
                let (host, fence) = self.ownership.owner(target)?;
                let host = host.to_string();
                Some((target.clone(), OwnerView { host, fence }))
            })
            .collect();
        let eligible = self.membership.eligible();
        View {
            me: self.me.clone(),
            config: self.config.clone(),
            owners,
            hosts: self.host_views(),
            eligible: eligible.into_iter().map(str::to_string).collect(),
            leaving: self.membership.is_leaving(),
            table_reachable: self.table_reachable(),
            table_out_for_all: self.table_out_for_all(),
            ready: self.hosts_read && self.config.revision > 0,
        }
    }

    /// What this host says of itself in a heartbeat.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            host: self.me.clone(),
            incarnation: self.membership.incarnation(),
            session: self.session,
            leaving: self.membership.is_leaving(),
            table_reachable: self.table_reachable(),
            config_revision: self.config.revision,
        }
    }

    /// True while this process owns the target.
    pub fn owns(
        &self,
        target: &str,
    ) -> bool {
        self.targets.contains_key(target)
    }

    /// What this host owns and runs.
    pub fn status(
        &self,
        now: Instant,
    ) -> wire::StatusReply {
        let scheduler = self.view().scheduler() == Some(self.me.as_str());
        wire::StatusReply {
            host: self.me.clone(),
            hall: self.settings.hall.clone(),
            incarnation: self.membership.incarnation(),
            config_revision: self.config.revision,
            table_reachable: self.table_reachable(),
            lease_valid: self.lease.holds(now),
            load_scheduler: scheduler,
            targets: self.targets.iter().map(target_status).collect(),
        }
    }

    pub fn revision(&self) -> u64 {
        self.config.revision
    }

    /// What another host lacks that knows the configuration up to revision `known`.
    pub fn snapshot(
        &self,
        known: u64,
    ) -> wire::SnapshotReply {
        let config = match self.config.revision > known {
            true => serde_json::to_vec(self.config.as_ref()).expect("configurations serialize"),
            false => Vec::new(),
        };
        let owner = |(target, fence, row): (&String, u64, &OwnerRow)| wire::OwnerEntry {
            target: target.clone(),
            host: row.host.clone(),
            session: row.session,
            fence,
        };
        wire::SnapshotReply {
            config: config.into(),
            owners: self.ownership.rows().map(owner).collect(),
        }
    }

    /// Rumors for one outgoing heartbeat.
    pub fn take_rumors(&mut self) -> Vec<Rumor> {
        self.membership.take_rumors()
    }

    pub fn table_reachable(&self) -> bool {
        self.table_failures < TABLE_FAILURES
    }

    fn table_out_for_all(&self) -> bool {
        let others = self.membership.another_reaches_table() || self.membership.is_alone();
        !others && !self.table_reachable()
    }

    /// Hosts that can't be heard may send to targets themselves while the table is out.
    fn may_drop(
        &self,
        now: Instant,
    ) -> bool {
        let mut members = self.membership.members().values();
        let all_heard = members.all(|member| member.liveness < Liveness::Suspect);
        self.lease.holds(now) || all_heard
    }

    fn on_tick(
        &mut self,
        now: Instant,
    ) -> Vec<Action> {
        self.note_lease(now);
        let probes = self.membership.on_tick(now);
        let mut actions: Vec<Action> = probes.into_iter().map(Action::Membership).collect();
        let may_drop = self.may_drop(now);
        for (target, state) in &mut self.targets {
            state.set_may_drop(may_drop);
            actions.extend(named(target, state.on_tick(now)));
        }
        actions.extend(self.decide_loads(now));
        if now >= self.next_ownership {
            self.next_ownership = now + OWNERSHIP_PERIOD;
            actions.extend(self.decide_ownership(now));
        }
        actions
    }

    fn note_lease(
        &mut self,
        now: Instant,
    ) {
        let holds = self.lease.holds(now);
        if self.lease_held && !holds {
            self.log.note(Event::SessionLapsed, &[]);
        }
        if !self.lease_held && holds {
            self.log.note(Event::SessionOpened, &[]);
        }
        self.changed |= holds != self.lease_held;
        self.lease_held = holds;
    }

    fn decide_loads(
        &mut self,
        now: Instant,
    ) -> Vec<Action> {
        let answer = |decision| match decision {
            LoadDecision::Granted(ask) => Action::AnswerLoad { ask, granted: true },
            LoadDecision::NotYet(ask) => Action::AnswerLoad {
                ask,
                granted: false,
            },
        };
        self.loads.decide(now).into_iter().map(answer).collect()
    }

    fn decide_ownership(
        &mut self,
        now: Instant,
    ) -> Vec<Action> {
        let settle = self.settings.membership.probe * SETTLE_PROBES;
        let settled = now.saturating_duration_since(self.started) >= settle;
        let known = self.hosts_read && self.table_read && self.table_reachable();
        if !settled || !known || !self.lease.holds(now) {
            return Vec::new();
        }
        let term = self.lease.term();
        let actions = self
            .ownership
            .decide(&self.config, &self.membership, term, now);
        actions.into_iter().map(Action::Ownership).collect()
    }

    fn on_contact(
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

    fn note_health(
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

    fn on_report(
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

    fn on_order_end(
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

    fn note_order(
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

    fn on_fenced_off(
        &mut self,
        target: &str,
    ) -> Vec<Action> {
        self.log.note(Event::OrderFencedOff, &[("target", &target)]);
        match self.ownership.on_fenced_off(target) {
            Some(change) => self.on_owner_change(target, change, Instant::now()),
            None => Vec::new(),
        }
    }

    fn on_rows(
        &mut self,
        scan: RowScan,
        term: u64,
        now: Instant,
    ) -> Vec<Action> {
        if !self.table_reachable() {
            self.log.note(Event::TableBack, &[]);
            self.changed = true;
        }
        self.table_failures = 0;
        self.table_read = true;
        let mut actions = Vec::new();
        for row in scan.rows {
            actions.extend(self.on_table_row(row, term, now));
        }
        actions
    }

    fn on_table_row(
        &mut self,
        row: Row,
        term: u64,
        now: Instant,
    ) -> Vec<Action> {
        let Some(target) = row.key.strip_prefix(OWNER_PREFIX) else {
            return Vec::new();
        };
        if row.deleted {
            return match self.ownership.forget(target) {
                Some(change) => self.on_owner_change(target, change, now),
                None => Vec::new(),
            };
        }
        match serde_json::from_str::<OwnerRow>(&row.value) {
            Ok(owner) => self.on_owner_row(target, row.version, owner, term, now),
            Err(_) => Vec::new(),
        }
    }

    fn on_table_failed(&mut self) {
        self.table_failures += 1;
        if self.table_failures == TABLE_FAILURES {
            self.log.note(Event::TableUnreachable, &[]);
            self.changed = true;
        }
    }

    fn on_owner_row(
        &mut self,
        target: &str,
        version: u64,
        row: OwnerRow,
        term: u64,
        now: Instant,
    ) -> Vec<Action> {
        self.changed = true;
        let to = row.host.clone();
        let change = self.ownership.on_row(target, version, row, term, now);
        let mut actions = Vec::new();
        if change == Some(OwnerChange::Lost) && !self.membership.is_gone(&to) {
            actions.push(Action::NoticeHandover {
                host: to,
                target: target.to_string(),
                fence: version,
            });
        }
        if let Some(change) = change {
            actions.extend(self.on_owner_change(target, change, now));
        }
        actions
    }

    fn on_owner_change(
        &mut self,
        target: &str,
        change: OwnerChange,
        now: Instant,
    ) -> Vec<Action> {
        self.changed = true;
        match change {
            OwnerChange::Gained => self.open_target(target, now),
            OwnerChange::Lost => {
                self.log.note(Event::TargetLost, &[("target", &target)]);
                match self.targets.remove(target) {
                    Some(mut state) => named(target, state.give_up()),
                    None => Vec::new(),
                }
            }
        }
    }

    /// Opens the state of a target that this process owns and that is declared.
    fn open_target(
        &mut self,
        target: &str,
        now: Instant,
    ) -> Vec<Action> {
        let held = self.ownership.held().get(target);
        let spec = self.config.targets.get(target);
        let (Some(held), Some(spec)) = (held, spec) else {
            return Vec::new();
        };
        let known = self.targets.get(target).map(TargetState::fence);
        if known == Some(held.fence) {
            return Vec::new();
        }
        let fence = held.fence;
        let state = TargetState::new(
            spec.clone(),
            fence,
            held.term,
            self.settings.lease.pin_quiet,
            self.settings.policy.queue_factor,
            now,
        );
        self.log.note(
            Event::TargetTaken,
            &[("target", &target), ("fence", &fence)],
        );
        let raises = spec.checks_fences && spec.engine().is_some();
        let old = self.targets.insert(target.to_string(), state);
        let mut actions = match old {
            Some(mut old) => named(target, old.give_up()),
            None => Vec::new(),
        };
        if raises {
            actions.push(Action::Order {
                target: target.to_string(),
                fence,
                term: held.term,
                order: EngineOrder::Raise,
            });
        }
        actions
    }

    fn on_config(
        &mut self,
        config: Arc<SiteConfig>,
    ) -> Vec<Action> {
        if config.revision <= self.config.revision {
            return Vec::new();
        }
        self.log
            .note(Event::ConfigApplied, &[("revision", &config.revision)]);
        self.config = config.clone();
        self.changed = true;
        let mut actions = Vec::new();
        let gone: Vec<String> = self
            .targets
            .keys()
            .filter(|target| !config.targets.contains_key(*target))
            .cloned()
            .collect();
        for target in gone {
            if let Some(mut state) = self.targets.remove(&target) {
                actions.extend(named(&target, state.give_up()));
            }
        }
        for (target, state) in &mut self.targets {
            if let Some(spec) = config.targets.get(target) {
                actions.extend(named(target, state.set_spec(spec.clone())));
            }
        }
        let held: Vec<String> = self.ownership.held().keys().cloned().collect();
        let now = Instant::now();
        for target in held {
            actions.extend(self.open_target(&target, now));
        }
        actions
    }

    fn on_heartbeat(
        &mut self,
        heard: &Heartbeat,
        rumors: &[Rumor],
        now: Instant,
    ) -> Vec<Action> {
        self.membership.on_heartbeat(heard, now);
        for rumor in rumors {
            if self.membership.on_rumor(rumor, now) {
                self.log.note(Event::SelfRefuted, &[]);
            }
        }
        if heard.config_revision <= self.config.revision {
            return Vec::new();
        }
        let host = heard.host.clone();
        match self.table_reachable() {
            true => vec![Action::ReadConfig],
            false => vec![Action::FetchSnapshot { host }],
        }
    }

    fn on_leave(
        &mut self,
        now: Instant,
    ) -> Vec<Action> {
        self.membership.leave();
        self.changed = true;
        self.log.note(Event::HostStopping, &[]);
        self.decide_ownership(now)
    }

    fn with(
        &mut self,
        target: &str,
        act: impl FnOnce(&mut TargetState) -> Vec<TargetAction>,
    ) -> Vec<Action> {
        match self.targets.get_mut(target) {
            Some(state) => named(target, act(state)),
            None => Vec::new(),
        }
    }

    fn host_views(&self) -> BTreeMap<String, HostView> {
        let view = |(name, member): (&String, &crate::process::membership::Member)| {
            let heard = member.liveness < Liveness::Leaving;
            let stays = member.listed.state == HostState::Live;
            let host = HostView {
                hall: member.listed.hall.clone(),
                caller_address: member.listed.caller_address,
                peer_address: member.listed.peer_address,
                liveness: member.liveness,
                takes_callers: heard && stays,
                config_revision: member.config_revision,
            };
            (name.clone(), host)
        };
        self.membership.members().iter().map(view).collect()
    }

    fn note_news(
        &mut self,
        host: &str,
        liveness: Liveness,
    ) {
        let event = match liveness {
            Liveness::Alive => Event::PeerAlive,
            Liveness::Leaving => Event::PeerLeaving,
            Liveness::Suspect => Event::PeerSuspect,
            Liveness::Dead => Event::PeerDead,
        };
        self.log.note(event, &[("peer", &host)]);
        if liveness == Liveness::Dead {
            self.loads.on_host_gone(host);
        }
    }
}

fn target_status((name, state): (&String, &TargetState)) -> wire::TargetStatus {
    let adapters = state
        .slots()
        .iter()
        .map(|(model, slot)| wire::AdapterStatus {
            adapter: model.adapter().to_string(),
            version: model.version().to_string(),
            state: slot.state.word().to_string(),
            running: slot.running.max(slot.reported),
        })
        .collect();
    wire::TargetStatus {
        target: name.clone(),
        fence: state.fence(),
        running: state.running() as u32,
        waiting: state.waiting() as u32,
        adapters,
    }
}

fn not_owner() -> Admission {
    Admission::Refused(Refusal::elsewhere(RefusalCode::NotOwner))
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

fn named(
    target: &str,
    actions: Vec<TargetAction>,
) -> Vec<Action> {
    let target = || target.to_string();
    let name = |action| match action {
        TargetAction::Answer { ticket, admission } => Action::Answer { ticket, admission },
        TargetAction::AskLoad { model, score, .. } => Action::AskLoad {
            target: target(),
            model,
            score,
        },
        TargetAction::ReleaseLoad { model } => Action::ReleaseLoad {
            target: target(),
            model,
        },
        TargetAction::Order { fence, term, order } => Action::Order {
            target: target(),
            fence,
            term,
            order,
        },
    };
    actions.into_iter().map(name).collect()
}
