//! Randomized sequences of events against the decisions: no reachable state breaks a promise.
//!
//! Each property also runs with a deliberate break of a rule, which must be caught; the list of
//! breaks is in `docs/design/crash.md`.

use {
    coveproxy::{
        clock::Instant,
        connection::target::{AdapterReport, AdapterState, EngineOrder, EngineReport},
        errors::TargetError,
        process::{
            membership::{Heartbeat, Liveness, Membership, Rumor},
            ownership::{OwnerRow, Ownership, OwnershipAction, SessionLease, SessionRow},
            settings::MembershipSettings,
            target::{Admission, TargetAction, TargetState, Ticket, TicketId},
        },
        version::{AdapterVersion, Change, EngineSpec, SiteConfig, TargetRole, TargetSpec},
    },
    proptest::{
        prelude::*,
        test_runner::{Config, TestCaseError, TestError, TestRunner},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const SLOTS: usize = 2;
const BATCH: usize = 3;
const ADAPTERS: usize = 5;
const PIN_QUIET: Duration = Duration::from_millis(1_000);

/// One step of the world around a target's owner.
#[derive(Debug, Clone)]
enum Step {
    Arrive(usize),
    /// The engine finishes one of its requests, and the owner sees it or does not.
    Finish {
        at: usize,
        seen: bool,
    },
    /// The owner gives up on a request that the engine goes on with.
    Abandon(usize),
    /// The scheduler grants the oldest ask.
    Grant,
    /// The engine carries an order out; the reply may be lost.
    Carry {
        lost: bool,
        fails: bool,
    },
    Report,
    Restart,
    /// The former owner's request arrives at the engine.
    Foreign(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..ADAPTERS).prop_map(Step::Arrive),
        5 => (0..8usize, any::<bool>()).prop_map(|(at, seen)| Step::Finish { at, seen }),
        1 => (0..8usize).prop_map(Step::Abandon),
        4 => Just(Step::Grant),
        5 => (prop::bool::weighted(0.15), prop::bool::weighted(0.1))
            .prop_map(|(lost, fails)| Step::Carry { lost, fails }),
        4 => Just(Step::Report),
        1 => Just(Step::Restart),
        1 => (0..ADAPTERS).prop_map(Step::Foreign),
        4 => (1..800u64).prop_map(Step::Wait),
    ]
}

/// A rule broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Break {
    None,
    /// Every end counts as seen at the engine.
    EndsAlwaysSettled,
    /// A new owner takes all adapters for idle at once.
    NoPinQuiet,
    /// Reports count as made now, however old they are.
    ReportsAlwaysFresh,
}

/// An engine and its owner, stepped together.
struct World {
    broken: Break,
    now: Instant,
    started: Instant,
    state: TargetState,
    engine: BTreeMap<AdapterVersion, BTreeSet<u64>>,
    boot: u64,
    orders: Vec<EngineOrder>,
    asks: Vec<AdapterVersion>,
    running: BTreeMap<u64, AdapterVersion>,
    answered: BTreeSet<u64>,
    tickets: BTreeMap<u64, AdapterVersion>,
    next: u64,
    last_report: Option<(Instant, EngineReport)>,
}

fn model(number: usize) -> AdapterVersion {
    format!("a{number}@1").parse().unwrap()
}

fn spec(checks_fences: bool) -> TargetSpec {
    TargetSpec {
        address: "127.0.0.1:9".parse().unwrap(),
        hall: "a".into(),
        role: TargetRole::Engine(EngineSpec {
            base_model: "base".into(),
            adapter_slots: SLOTS,
            batch_slots: BATCH,
        }),
        checks_fences,
        leaving: false,
    }
}

impl World {
    fn new(broken: Break) -> Self {
        let now = Instant::now();
        let quiet = match broken {
            Break::NoPinQuiet => Duration::ZERO,
            _ => PIN_QUIET,
        };
        Self {
            broken,
            now,
            started: now,
            state: TargetState::new(spec(false), 1, 1, quiet, 4.0, now),
            engine: (0..SLOTS).map(|at| (model(at), BTreeSet::new())).collect(),
            boot: 1,
            orders: Vec::new(),
            asks: Vec::new(),
            running: BTreeMap::new(),
            answered: BTreeSet::new(),
            tickets: BTreeMap::new(),
            next: 1,
            last_report: None,
        }
    }

    fn step(
        &mut self,
        step: &Step,
    ) -> Result<(), TestCaseError> {
        let actions = match step {
            Step::Arrive(number) => self.arrive(*number),
            Step::Finish { at, seen } => self.finish(*at, *seen),
            Step::Abandon(at) => self.abandon(*at),
            Step::Grant => self.grant(),
            Step::Carry { lost, fails } => return self.carry(*lost, *fails),
            Step::Report => self.report(),
            Step::Restart => {
                self.boot += 1;
                self.engine.clear();
                Vec::new()
            }
            Step::Foreign(number) => {
                // A former owner sends nothing once the quiet time has passed.
                let quiet = self.now.duration_since(self.started) < PIN_QUIET;
                if let (true, Some(users)) = (quiet, self.engine.get_mut(&model(*number))) {
                    users.insert(1_000_000 + self.next);
                    self.next += 1;
                }
                Vec::new()
            }
            Step::Wait(ms) => {
                self.now += Duration::from_millis(*ms);
                self.state.on_tick(self.now)
            }
        };
        self.act(actions)
    }

    fn arrive(
        &mut self,
        number: usize,
    ) -> Vec<TargetAction> {
        let id = self.next;
        self.next += 1;
        self.tickets.insert(id, model(number));
        self.state.on_arrival(
            Ticket {
                id: TicketId(id),
                model: Some(model(number)),
                priority: (id % 3) as u8,
                worth: 1.0,
                arrived: self.now,
                deadline: self.now + Duration::from_secs(5),
                may_load: true,
            },
            self.now,
        )
    }

    fn pick(
        &self,
        at: usize,
    ) -> Option<u64> {
        let ids: Vec<u64> = self.running.keys().copied().collect();
        (!ids.is_empty()).then(|| ids[at % ids.len()])
    }

    fn finish(
        &mut self,
        at: usize,
        seen: bool,
    ) -> Vec<TargetAction> {
        let Some(id) = self.pick(at) else {
            return Vec::new();
        };
        if let Some(model) = self.running.remove(&id)
            && let Some(users) = self.engine.get_mut(&model)
        {
            users.remove(&id);
        }
        self.end(id, seen)
    }

    fn abandon(
        &mut self,
        at: usize,
    ) -> Vec<TargetAction> {
        let Some(id) = self.pick(at) else {
            return Vec::new();
        };
        self.running.remove(&id);
        self.end(id, false)
    }

    fn end(
        &mut self,
        id: u64,
        settled: bool,
    ) -> Vec<TargetAction> {
        let settled = settled || self.broken == Break::EndsAlwaysSettled;
        self.state.on_end(TicketId(id), settled, self.now)
    }

    fn grant(&mut self) -> Vec<TargetAction> {
        match self.asks.is_empty() {
            true => Vec::new(),
            false => {
                let model = self.asks.remove(0);
                self.state.on_grant(&model, self.now)
            }
        }
    }

    fn carry(
        &mut self,
        lost: bool,
        fails: bool,
    ) -> Result<(), TestCaseError> {
        if self.orders.is_empty() {
            return Ok(());
        }
        let order = self.orders.remove(0);
        let done = !fails && self.obey(&order)?;
        let outcome = match (done, lost) {
            (_, true) => Err(TargetError::CutShort("reply".into())),
            (true, false) => Ok(()),
            (false, false) => Err(TargetError::OrderFailed("x".into())),
        };
        let actions = self.state.on_order_end(&order, &outcome, self.now);
        self.act(actions)
    }

    /// The engine's side of an order, where the promise is checked.
    fn obey(
        &mut self,
        order: &EngineOrder,
    ) -> Result<bool, TestCaseError> {
        match order {
            EngineOrder::LoadAdapter { model } => {
                let room = self.engine.len() < SLOTS || self.engine.contains_key(model);
                if room {
                    self.engine.entry(model.clone()).or_default();
                }
                Ok(room)
            }
            EngineOrder::UnloadAdapter { model } => {
                let users = self.engine.remove(model).unwrap_or_default();
                prop_assert!(users.is_empty(), "{model} unloaded under {users:?}");
                Ok(true)
            }
            _ => Ok(true),
        }
    }

    /// Reports are as old as the report before was new.
    fn report(&mut self) -> Vec<TargetAction> {
        let adapter = |(model, users): (&AdapterVersion, &BTreeSet<u64>)| AdapterReport {
            model: model.clone(),
            state: AdapterState::Ready,
            running: users.len() as u32,
        };
        let fresh = EngineReport {
            boot: self.boot,
            age_ms: 0,
            base_model: "base".into(),
            role: "mixed".into(),
            running: self.engine.values().map(|users| users.len() as u32).sum(),
            waiting: 0,
            fence: 1,
            adapters: self.engine.iter().map(adapter).collect(),
        };
        let Some((made, report)) = self.last_report.replace((self.now, fresh)) else {
            return Vec::new();
        };
        let made = match self.broken {
            Break::ReportsAlwaysFresh => self.now,
            _ => made,
        };
        self.state.on_report(&report, made, self.now).1
    }

    fn act(
        &mut self,
        actions: Vec<TargetAction>,
    ) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                TargetAction::Answer { ticket, admission } => {
                    let first = self.answered.insert(ticket.0);
                    prop_assert!(first, "{ticket:?} answered twice");
                    if let Admission::Run { .. } = admission {
                        self.send(ticket.0)?;
                    }
                }
                TargetAction::AskLoad { model, .. } => self.asks.push(model),
                TargetAction::ReleaseLoad { .. } => {}
                TargetAction::Order { order, .. } => self.orders.push(order),
            }
        }
        prop_assert!(self.state.running() <= BATCH, "the batch overflows");
        Ok(())
    }

    /// A request goes to the engine, which refuses it if the adapter is not there.
    fn send(
        &mut self,
        id: u64,
    ) -> Result<(), TestCaseError> {
        let model = self.tickets[&id].clone();
        match self.engine.get_mut(&model) {
            Some(users) => {
                users.insert(id);
                self.running.insert(id, model);
                Ok(())
            }
            None => {
                let actions = self.state.on_adapter_missing(&model, self.now);
                self.act(actions)?;
                let actions = self.end(id, true);
                self.act(actions)
            }
        }
    }

    /// Lets the world come to rest: every request must have an answer by its deadline.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..80 {
            self.now += Duration::from_millis(100);
            let actions = self.state.on_tick(self.now);
            self.act(actions)?;
            for step in [
                Step::Report,
                Step::Grant,
                Step::Finish { at: 0, seen: true },
            ] {
                self.step(&step)?;
            }
            self.carry(false, false)?;
        }
        prop_assert_eq!(self.state.waiting(), 0, "a request waits for ever");
        Ok(())
    }
}

fn target_property(
    broken: Break,
    cases: u32,
) -> Result<(), TestError<Vec<Step>>> {
    let mut runner = runner(cases);
    let steps = prop::collection::vec(step(), 1..120);
    runner.run(&steps, |steps| {
        let mut world = World::new(broken);
        for step in &steps {
            world.step(step)?;
        }
        world.settle()
    })
}

/// The same cases on every run; a failure is shrunk and printed.
fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let rng = proptest::test_runner::TestRng::deterministic_rng(
        proptest::test_runner::RngAlgorithm::ChaCha,
    );
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn no_sequence_unloads_in_use_or_answers_twice() {
    if let Err(failure) = target_property(Break::None, 3_000) {
        panic!("{failure}");
    }
}

/// Each broken rule is caught by the same property.
#[rstest::rstest]
#[case(Break::EndsAlwaysSettled)]
#[case(Break::NoPinQuiet)]
#[case(Break::ReportsAlwaysFresh)]
fn broken_rules_are_caught(#[case] broken: Break) {
    let caught = target_property(broken, 3_000);
    assert!(caught.is_err(), "{broken:?} went unnoticed");
}

/// What happens to two hosts that both might own a target.
#[derive(Debug, Clone)]
enum LeaseStep {
    /// A host renews its session.
    Renew(usize),
    /// A host looks at the table.
    Look(usize),
    /// A host decides, and what it wants is committed.
    Decide(usize),
    /// A host decides, is paused, and commits only after the other has moved on.
    DecideLate(usize),
    CommitLate(usize),
    /// A host believes the other dead, or alive.
    Believe {
        host: usize,
        dead: bool,
    },
    /// A host gives an order, if it thinks that it may.
    Order(usize),
    Wait(u64),
}

fn lease_step() -> impl Strategy<Value = LeaseStep> {
    let host = || 0..2usize;
    prop_oneof![
        5 => host().prop_map(LeaseStep::Renew),
        5 => host().prop_map(LeaseStep::Look),
        5 => host().prop_map(LeaseStep::Decide),
        1 => host().prop_map(LeaseStep::DecideLate),
        1 => host().prop_map(LeaseStep::CommitLate),
        3 => (host(), any::<bool>()).prop_map(|(host, dead)| LeaseStep::Believe { host, dead }),
        5 => host().prop_map(LeaseStep::Order),
        5 => (1..900u64).prop_map(LeaseStep::Wait),
    ]
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum LeaseBreak {
    None,
    /// The taker does not wait for the lease to lapse.
    NoWait,
    /// The owner does not look at its lease before an order.
    NoLookAtLease,
    /// A lease that is held again after a lapse counts as never lapsed.
    NoTerms,
    /// Rows are written without a condition.
    NoCondition,
}

const LEASE: Duration = Duration::from_millis(1_500);
const MARGIN: Duration = Duration::from_millis(300);

/// Two hosts, one target that obeys any order, and the table.
struct Pair {
    broken: LeaseBreak,
    now: Instant,
    version: u64,
    row: Option<(u64, OwnerRow)>,
    sessions: [(u64, SessionRow); 2],
    lease: [SessionLease; 2],
    ownership: [Ownership; 2],
    membership: [Membership; 2],
    late: [Option<OwnershipAction>; 2],
    config: SiteConfig,
    /// Hosts and times of orders, to see that they never cross.
    last_order: Option<(usize, u64, Instant)>,
}

const NAMES: [&str; 2] = ["h0", "h1"];

impl Pair {
    fn new(broken: LeaseBreak) -> Self {
        let now = Instant::now();
        let wait = match broken {
            LeaseBreak::NoWait => Duration::ZERO,
            _ => LEASE + MARGIN,
        };
        let change = Change::SetTarget {
            name: "t".into(),
            spec: spec(false),
        };
        let session = |number| SessionRow {
            session: number,
            ended: false,
        };
        Self {
            broken,
            now,
            version: 10,
            row: None,
            sessions: [(1, session(1)), (2, session(2))],
            lease: [SessionLease::new(LEASE), SessionLease::new(LEASE)],
            ownership: [
                Ownership::new(NAMES[0], 1, wait),
                Ownership::new(NAMES[1], 2, wait),
            ],
            membership: [pair_member(0, now), pair_member(1, now)],
            late: [None, None],
            config: SiteConfig::default().with(&[change]).unwrap(),
            last_order: None,
        }
    }

    fn step(
        &mut self,
        step: &LeaseStep,
    ) -> Result<(), TestCaseError> {
        match step {
            LeaseStep::Renew(host) => {
                self.version += 1;
                self.sessions[*host].0 = self.version;
                self.lease[*host].record_renewal(self.now, self.now);
            }
            LeaseStep::Look(host) => self.look(*host),
            LeaseStep::Decide(host) => {
                for action in self.decide(*host) {
                    self.commit(*host, action);
                }
            }
            LeaseStep::DecideLate(host) => self.late[*host] = self.decide(*host).pop(),
            LeaseStep::CommitLate(host) => {
                if let Some(action) = self.late[*host].take() {
                    self.commit(*host, action);
                }
            }
            LeaseStep::Believe { host, dead } => self.believe(*host, *dead),
            LeaseStep::Order(host) => return self.order(*host),
            LeaseStep::Wait(ms) => self.now += Duration::from_millis(*ms),
        }
        Ok(())
    }

    fn look(
        &mut self,
        host: usize,
    ) {
        if let Some((version, row)) = self.row.clone() {
            let term = self.lease[host].term();
            self.ownership[host].on_row("t", version, row, term, self.now);
        }
        let other = 1 - host;
        let (version, row) = self.sessions[other].clone();
        let (asked, now) = (self.now, self.now);
        self.ownership[host].on_session_read(NAMES[other], version, Some(row), asked, now);
    }

    fn decide(
        &mut self,
        host: usize,
    ) -> Vec<OwnershipAction> {
        if !self.holds(host) {
            return Vec::new();
        }
        let membership = &self.membership[host];
        let term = self.lease[host].term();
        self.ownership[host].decide(&self.config, membership, term, self.now)
    }

    fn holds(
        &self,
        host: usize,
    ) -> bool {
        self.lease[host].is_valid(self.now)
    }

    fn commit(
        &mut self,
        host: usize,
        action: OwnershipAction,
    ) {
        let (expected_version, row) = match action {
            OwnershipAction::Take {
                expected_version, ..
            } => {
                let session = host as u64 + 1;
                let name = NAMES[host].to_string();
                (
                    expected_version,
                    OwnerRow {
                        host: name,
                        session,
                        era: 0,
                    },
                )
            }
            OwnershipAction::HandOver {
                expected_version,
                to,
                session,
                ..
            } => {
                let row = OwnerRow {
                    host: to,
                    session,
                    era: 0,
                };
                (expected_version, row)
            }
            OwnershipAction::WatchSession { .. } => return,
        };
        let found = self.row.as_ref().map_or(0, |(version, _)| *version);
        if found != expected_version && self.broken != LeaseBreak::NoCondition {
            return self.ownership[host].on_transaction_failed("t");
        }
        self.version += 1;
        self.row = Some((self.version, row.clone()));
        let term = self.lease[host].term();
        self.ownership[host].on_row("t", self.version, row, term, self.now);
    }

    fn believe(
        &mut self,
        host: usize,
        dead: bool,
    ) {
        let other = NAMES[1 - host];
        let incarnation = self.membership[host].members()[other].incarnation + 1;
        let liveness = if dead {
            Liveness::Dead
        } else {
            Liveness::Alive
        };
        let rumor = Rumor {
            host: other.into(),
            incarnation,
            liveness,
        };
        self.membership[host].on_rumor(&rumor, self.now);
    }

    /// An order of an older fence must never come after one of a newer.
    fn order(
        &mut self,
        host: usize,
    ) -> Result<(), TestCaseError> {
        let Some(held) = self.ownership[host].owned().get("t").cloned() else {
            return Ok(());
        };
        let may = match self.broken {
            LeaseBreak::NoLookAtLease => true,
            LeaseBreak::NoTerms => self.holds(host),
            _ => self.lease[host].is_valid_in(held.term, self.now),
        };
        if !may {
            return Ok(());
        }
        if let Some((last, fence, _)) = self.last_order {
            prop_assert!(
                held.fence >= fence,
                "host {host} orders with fence {} after host {last} with {fence}",
                held.fence
            );
        }
        self.last_order = Some((host, held.fence, self.now));
        Ok(())
    }
}

/// A host that knows the other, and a third that leaves and so takes no role.
fn pair_member(
    host: usize,
    now: Instant,
) -> Membership {
    let settings = MembershipSettings {
        probe: Duration::from_millis(100),
        probe_timeout: Duration::from_millis(100),
        suspect: Duration::from_millis(300),
    };
    let mut membership = Membership::new(NAMES[host], 1, settings);
    let others = [NAMES[1 - host], "h2"];
    let names = [NAMES[host], others[0], others[1]];
    let address = "127.0.0.1:9".parse().unwrap();
    let listed = names.map(|name| coveproxy::connection::platform::ListedHost {
        name: name.into(),
        hall: "a".into(),
        caller_address: address,
        peer_address: address,
        admin_address: address,
        state: coveproxy::connection::platform::HostState::Live,
    });
    membership.on_host_list(listed.to_vec(), now);
    for (name, leaving) in [(others[0], false), ("h2", true)] {
        let heard = Heartbeat {
            host: name.into(),
            incarnation: 1,
            session: 2 - host as u64,
            leaving,
            table_reachable: true,
            config_revision: 1,
        };
        membership.on_heartbeat(&heard, now);
    }
    membership
}

fn lease_property(
    broken: LeaseBreak,
    cases: u32,
) -> Result<(), TestError<Vec<LeaseStep>>> {
    let steps = prop::collection::vec(lease_step(), 1..150);
    runner(cases).run(&steps, |steps| {
        let mut pair = Pair::new(broken);
        steps.iter().try_for_each(|step| pair.step(step))
    })
}

#[test]
fn orders_of_two_owners_never_cross() {
    if let Err(failure) = lease_property(LeaseBreak::None, 5_000) {
        panic!("{failure}");
    }
}

#[rstest::rstest]
#[case(LeaseBreak::NoWait)]
#[case(LeaseBreak::NoLookAtLease)]
#[case(LeaseBreak::NoTerms)]
#[case(LeaseBreak::NoCondition)]
fn broken_lease_rules_are_caught(#[case] broken: LeaseBreak) {
    let caught = lease_property(broken, 5_000);
    assert!(caught.is_err(), "{broken:?} went unnoticed");
}
