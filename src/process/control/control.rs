use {
    super::{Action, Input},
    crate::{
        clock::Instant,
        connection::platform::{HostState, ListedHost},
        process::{
            loads::{LoadDecision, LoadQueue},
            membership::{Heartbeat, Liveness, Membership, Rumor},
            ownership::{Ownership, SessionLease},
            settings::HostSettings,
            target::{Admission, TargetAction, TargetState},
        },
        request::{Refusal, RefusalCode},
        timeline::{Event, EventLog},
        version::SiteConfig,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Looks at the table that must fail in a row before it counts as out.
pub(super) const TABLE_FAILURES: u32 = 2;

/// Time between decisions on ownership.
const OWNERSHIP_PERIOD: Duration = Duration::from_millis(100);

/// All control state of one process; events go in, actions come out.
pub struct Control {
    pub(super) me: String,
    pub(super) session: u64,
    pub(super) settings: HostSettings,
    pub(super) started: Instant,
    pub(super) config: Arc<SiteConfig>,
    pub(super) membership: Membership,
    pub(super) ownership: Ownership,
    pub(super) targets: BTreeMap<String, TargetState>,
    pub(super) loads: LoadQueue,
    pub(super) lease: SessionLease,
    pub(super) lease_held: bool,
    pub(super) next_ownership: Instant,
    pub(super) table_failures: u32,
    pub(super) table_read: bool,
    pub(super) hosts_read: bool,
    pub(super) log: EventLog,
    pub(super) changed: bool,
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
                self.loads.on_request(id, ask, now);
                self.decide_loads(now)
            }
            Input::LoadGone { ask } => {
                self.loads.on_cancel(ask);
                Vec::new()
            }
            Input::LoadReleased { ask } => {
                self.loads.on_release(ask);
                self.decide_loads(now)
            }
            Input::HostList(hosts) => {
                self.on_host_list(hosts, now);
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
                self.ownership.on_transaction_failed(&target);
                Vec::new()
            }
            Input::Config(config) => self.on_config(config),
            Input::Heartbeat { heard, rumors } => self.on_heartbeat(&heard, &rumors, now),
            Input::ProbeFailed { host } => {
                let actions = self.membership.on_probe_failed(&host, now);
                actions.into_iter().map(Action::Membership).collect()
            }
            Input::HelperFailed { host } => {
                self.membership.on_indirect_probe_failed(&host, now);
                Vec::new()
            }
            Input::HelperReached { host } => {
                self.membership.on_indirect_probe_succeeded(&host);
                Vec::new()
            }
            Input::HandoverNoticed => vec![Action::ReadConfig],
            Input::Leave => self.on_leave(now),
        }
    }

    /// Whether another view should be published since the last call.
    pub fn take_changed(&mut self) -> bool {
        let news = self.membership.take_changes();
        for item in &news {
            self.note_news(&item.host, item.liveness);
        }
        let changed = self.changed || !news.is_empty();
        self.changed = false;
        changed
    }

    /// True while this process owns the target.
    pub fn owns(
        &self,
        target: &str,
    ) -> bool {
        self.targets.contains_key(target)
    }

    /// Rumors for one outgoing heartbeat.
    pub fn take_rumors(&mut self) -> Vec<Rumor> {
        self.membership.take_rumors()
    }

    pub fn table_reachable(&self) -> bool {
        self.table_failures < TABLE_FAILURES
    }

    /// Hosts that can't be heard may send to targets themselves while the table is out.
    pub(super) fn may_drop(
        &self,
        now: Instant,
    ) -> bool {
        let mut members = self.membership.members().values();
        let all_heard = members.all(|member| member.liveness < Liveness::Suspect);
        self.lease.is_valid(now) || all_heard
    }

    pub(super) fn on_tick(
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

    pub(super) fn note_lease(
        &mut self,
        now: Instant,
    ) {
        let holds = self.lease.is_valid(now);
        if self.lease_held && !holds {
            self.log.note(Event::SessionLapsed, &[]);
        }
        if !self.lease_held && holds {
            self.log.note(Event::SessionOpened, &[]);
        }
        self.changed |= holds != self.lease_held;
        self.lease_held = holds;
    }

    pub(super) fn decide_loads(
        &mut self,
        now: Instant,
    ) -> Vec<Action> {
        let answer = |decision| match decision {
            LoadDecision::Granted(ask) => Action::AnswerLoad { ask, granted: true },
            LoadDecision::Deferred(ask) => Action::AnswerLoad {
                ask,
                granted: false,
            },
        };
        self.loads.decide(now).into_iter().map(answer).collect()
    }

    pub(super) fn on_config(
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
        let held: Vec<String> = self.ownership.owned().keys().cloned().collect();
        let now = Instant::now();
        for target in held {
            actions.extend(self.open_target(&target, now));
        }
        actions
    }

    fn on_host_list(
        &mut self,
        hosts: Vec<ListedHost>,
        now: Instant,
    ) {
        self.hosts_read = true;
        self.membership.on_host_list(hosts, now);
        self.changed = true;
        for change in self.membership.take_listing_changes() {
            let listed_as = change.listed_as.map_or("missing", HostState::word);
            self.log.note(
                Event::HostListingChanged,
                &[("peer", &change.host), ("listed_as", &listed_as)],
            );
        }
    }

    pub(super) fn on_heartbeat(
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

    pub(super) fn on_leave(
        &mut self,
        now: Instant,
    ) -> Vec<Action> {
        self.membership.leave();
        self.changed = true;
        self.log.note(Event::HostStopping, &[]);
        self.decide_ownership(now)
    }

    pub(super) fn with(
        &mut self,
        target: &str,
        act: impl FnOnce(&mut TargetState) -> Vec<TargetAction>,
    ) -> Vec<Action> {
        match self.targets.get_mut(target) {
            Some(state) => named(target, act(state)),
            None => Vec::new(),
        }
    }

    pub(super) fn note_news(
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

fn not_owner() -> Admission {
    Admission::Refused(Refusal::elsewhere(RefusalCode::NotOwner))
}

pub(super) fn named(
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
