//! Leases and holder rows of engines, against a store that loses replies, writes late and rejects calls, with hosts that
//! pause and restart.

use {
    coveproxy::{
        clock::Instant,
        formats::{Commit, Row, RowBatch, RowKey, RowWrite, StoreVersion, Transaction},
        process::holding::{
            AssignmentAction, EngineAssignment, HOLDING_TABLE, HeldEngine, HolderRow, HostRow,
            KnownLease, LeaseTimings, TakenEngine, engine_key, host_key,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

const GAP: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(50);
const ENGINES: usize = 4;

/// More than fit into one transaction at each of three hosts.
const MANY_ENGINES: usize = 180;

/// More than `MAX_REREADING_HOSTS`.
const MANY_HOSTS: usize = 110;

/// Age of the oldest copy that the store comes back from, and the time between two copies.
const OLDEST_COPY: Duration = Duration::from_secs(7);
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// Limit of the store.
const MAX_TRANSACTION_ENTRIES: usize = 100;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(host: usize) -> SocketAddr {
    format!("10.0.0.{}:7000", host + 1).parse().unwrap()
}

/// A store with conditional writes, and one version for all rows.
#[derive(Clone, Default)]
struct Store {
    rows: BTreeMap<String, (u64, Vec<u8>)>,
    version: u64,
    era: u32,
}

impl Store {
    fn commit(
        &mut self,
        transaction: &Transaction,
    ) -> Commit {
        let entries = transaction.expected.len() + transaction.writes.len();
        assert!(entries <= MAX_TRANSACTION_ENTRIES, "{entries} entries");
        let version = |row: &RowKey| self.rows.get(&*row.key).map_or(0, |(version, _)| *version);
        let holds = transaction
            .expected
            .iter()
            .all(|expected| version(&expected.row) == expected.version.number);
        if !holds {
            let named = transaction
                .expected
                .iter()
                .map(|expected| &expected.row.key);
            let found = named.filter_map(|key| self.row(key)).collect();
            return Commit::Conflict {
                rows: found,
                version: self.version(),
            };
        }
        self.version += 1;
        for write in &transaction.writes {
            assert_eq!(&*write.row.table, HOLDING_TABLE);
            let value = write.value.clone().unwrap();
            self.rows
                .insert(write.row.key.to_string(), (self.version, value));
        }
        Commit::Done {
            version: self.version(),
        }
    }

    fn version(&self) -> StoreVersion {
        StoreVersion::new(self.era, self.version)
    }

    /// Comes back from an older copy.
    fn restore(
        &mut self,
        copy: &Store,
    ) {
        self.rows.clone_from(&copy.rows);
        self.version = copy.version;
        self.era += 1;
    }

    fn row(
        &self,
        key: &str,
    ) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row {
            key: key.into(),
            version: StoreVersion::new(self.era, *version),
            value: Some(value.as_slice().into()),
        })
    }

    fn all(&self) -> RowBatch {
        RowBatch {
            rows: self.rows.keys().filter_map(|key| self.row(key)).collect(),
            version: self.version(),
            more: false,
        }
    }
}

/// A read of the whole table.
fn batch(rows: Vec<Row>) -> RowBatch {
    RowBatch {
        rows,
        version: 9.into(),
        more: false,
    }
}

/// An event that is due at a time.
enum Event {
    /// A call that the store answers, unless the reply is lost.
    Call {
        host: usize,
        generation: u64,
        action: AssignmentAction,
        sent: Instant,
        term: u64,
        reply: bool,
    },
    Reply {
        host: usize,
        generation: u64,
        action: AssignmentAction,
        sent: Instant,
        term: u64,
        outcome: Option<Result<Commit, RowBatch>>,
    },
}

struct Host {
    holding: Option<EngineAssignment>,
    generation: u64,
    paused_until: Instant,
    partitioned_until: Instant,
    starts_at: Instant,
}

struct World {
    rng: StdRng,
    now: Instant,
    store: Store,
    /// What the store held a while ago, the oldest first.
    copies: VecDeque<(Instant, Store)>,
    hosts: Vec<Host>,
    events: Vec<(Instant, Event)>,
    engines: BTreeMap<String, String>,
    /// Last lease version published by each host, and when.
    published_leases: HashMap<usize, (StoreVersion, Instant)>,
    /// Hosts tell one another of their renewals.
    publishes: bool,
    last_order: HashMap<String, (usize, Instant, u64)>,
    orders: usize,
    takeovers: usize,
    /// Transactions that change holders.
    takes: usize,
    /// Percentage of calls whose reply is lost.
    lost: u32,
    /// The hosts have agreed on which of them take engines.
    agreed: bool,
    /// Up to this number of hosts, the table is read again after the first renewal.
    max_rereading_hosts: usize,
    /// Reads of the table and all transactions.
    calls: (usize, usize),
}

impl World {
    fn new(
        seed: u64,
        hosts: usize,
        lost: u32,
    ) -> Self {
        let now = Instant::now();
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            store: Store::default(),
            copies: VecDeque::new(),
            hosts: Vec::new(),
            events: Vec::new(),
            engines: BTreeMap::new(),
            published_leases: HashMap::new(),
            publishes: true,
            last_order: HashMap::new(),
            orders: 0,
            takeovers: 0,
            takes: 0,
            lost,
            agreed: true,
            max_rereading_hosts: 100,
            calls: (0, 0),
        };
        world.set_engines(ENGINES);
        for at in 0..hosts {
            world.hosts.push(Host {
                holding: None,
                generation: at as u64,
                paused_until: now,
                partitioned_until: now,
                starts_at: now,
            });
        }
        world
    }

    fn set_engines(
        &mut self,
        engines: usize,
    ) {
        let engines = (0..engines).map(|at| (format!("engine-{at}"), format!("key-{at}")));
        self.engines = engines.collect();
    }

    fn start(
        &mut self,
        host: usize,
    ) {
        let row = HostRow {
            peer: address(host),
            name: format!("host-{host}"),
            hall: "a".to_string(),
            front: address(host),
            process: self.rng.random(),
            settled_era: 0,
        };
        let timings = LeaseTimings {
            max_rereading_hosts: self.max_rereading_hosts,
            ..LeaseTimings::new(ms(9_000), ms(2_500), GAP)
        };
        self.hosts[host].holding = Some(EngineAssignment::new(row, timings, self.now));
        self.hosts[host].generation += 100;
    }

    fn is_up(
        &self,
        host: usize,
    ) -> bool {
        self.hosts[host].holding.is_some() && self.hosts[host].paused_until <= self.now
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        self.keep_copy();
        for host in 0..self.hosts.len() {
            if self.hosts[host].holding.is_none() && self.hosts[host].starts_at <= self.now {
                self.start(host);
            }
            if self.is_up(host) {
                self.tick(host);
            }
        }
    }

    /// Sends orders by what the host believes at this moment; they arrive a little later.
    fn tick(
        &mut self,
        host: usize,
    ) {
        let up: Vec<SocketAddr> = (0..self.hosts.len())
            .filter(|other| self.is_up(*other))
            .map(address)
            .collect();
        let now = self.now;
        let engines = self.engines.clone();
        let mut leases: HashMap<SocketAddr, KnownLease> = HashMap::new();
        let mut claimed: BTreeSet<&str> = BTreeSet::new();
        for other in (0..self.hosts.len()).filter(|other| *other != host) {
            let Some((version, known_since)) = self.published_leases.get(&other).copied() else {
                continue;
            };
            let lease = KnownLease {
                version,
                known_since,
            };
            leases.insert(address(other), lease);
            let Some(holding) = self.hosts[other].holding.as_ref() else {
                continue;
            };
            if self.is_up(other) {
                let held = engines.keys();
                claimed.extend(
                    held.filter(|engine| holding.held_engine(engine, now).is_some())
                        .map(String::as_str),
                );
            }
        }
        let holding = self.hosts[host].holding.as_mut().unwrap();
        let lease_of = |peer: SocketAddr| leases.get(&peer).copied();
        let takers = match self.agreed {
            true => up,
            false => Vec::new(),
        };
        let unclaimed = || {
            let mut unclaimed = engines.clone();
            unclaimed.retain(|engine, _| !claimed.contains(engine.as_str()));
            Arc::new(unclaimed)
        };
        let actions = holding.decide(&engines, &takers, true, unclaimed, lease_of, now);
        let version = holding.lease_version();
        let term = holding.lease().term();
        let ordered: Vec<(String, HeldEngine)> = engines
            .keys()
            .filter_map(|engine| Some((engine.clone(), holding.held_engine(engine, now)?)))
            .collect();
        let is_new = self
            .published_leases
            .get(&host)
            .map(|(published_leases, _)| *published_leases)
            != Some(version);
        if is_new && self.publishes {
            self.published_leases.insert(host, (version, now));
        }
        for (engine, held) in ordered {
            self.order(host, &engine, held);
        }
        for action in actions {
            self.send(host, action, term);
        }
    }

    fn order(
        &mut self,
        host: usize,
        engine: &str,
        held: HeldEngine,
    ) {
        let arrives = self.now + ms(self.rng.random_range(0..100));
        if let Some((last, at, fence)) = self.last_order.get(engine) {
            if *last != host {
                self.takeovers += 1;
                assert!(
                    arrives >= *at + GAP,
                    "orders of two holders of {engine} are only {:?} apart",
                    arrives.saturating_duration_since(*at)
                );
                assert!(held.fence > *fence, "{engine}: two holders share a fence");
            }
            assert!(held.fence >= *fence, "{engine}: the fence decreased");
        }
        self.orders += 1;
        self.last_order
            .insert(engine.to_string(), (host, arrives, held.fence));
    }

    fn send(
        &mut self,
        host: usize,
        action: AssignmentAction,
        term: u64,
    ) {
        self.takes += usize::from(matches!(action, AssignmentAction::Take { .. }));
        match action {
            AssignmentAction::ReadTable => self.calls.0 += 1,
            _ => self.calls.1 += 1,
        }
        let generation = self.hosts[host].generation;
        let (now, sent) = (self.now, self.now);
        if self.hosts[host].partitioned_until > now {
            let reply = Event::Reply {
                host,
                generation,
                action,
                sent,
                term,
                outcome: None,
            };
            self.events.push((now + ms(900), reply));
            return;
        }
        let lost = self.rng.random_range(0..100) < self.lost;
        if lost && self.rng.random_range(0..4) == 0 {
            let reply = Event::Reply {
                host,
                generation,
                action,
                sent,
                term,
                outcome: Some(Ok(Commit::TurnedAway)),
            };
            self.events.push((now + ms(4), reply));
            return;
        }
        let late = lost && self.rng.random_bool(0.5);
        let delay = match late {
            true => ms(self.rng.random_range(500..6_000)),
            false => ms(self.rng.random_range(4..40)),
        };
        if lost {
            let reply = Event::Reply {
                host,
                generation,
                action: action.clone(),
                sent,
                term,
                outcome: None,
            };
            self.events.push((now + ms(900), reply));
        }
        let call = Event::Call {
            host,
            generation,
            action,
            sent,
            term,
            reply: !lost,
        };
        self.events.push((now + delay, call));
    }

    fn deliver(&mut self) {
        loop {
            let next = (0..self.events.len())
                .filter(|at| self.events[*at].0 <= self.now)
                .min_by_key(|at| self.events[*at].0);
            let Some(next) = next else {
                return;
            };
            let (at, events) = self.events.swap_remove(next);
            self.handle(at, events);
        }
    }

    fn handle(
        &mut self,
        at: Instant,
        events: Event,
    ) {
        match events {
            Event::Call {
                host,
                generation,
                action,
                sent,
                term,
                reply,
            } => {
                let outcome = match &action {
                    AssignmentAction::Renew { transaction }
                    | AssignmentAction::CheckLeases { transaction }
                    | AssignmentAction::Take { transaction, .. } => {
                        Ok(self.store.commit(transaction))
                    }
                    AssignmentAction::ReadTable => Err(self.store.all()),
                };
                if reply {
                    let reply = Event::Reply {
                        host,
                        generation,
                        action,
                        sent,
                        term,
                        outcome: Some(outcome),
                    };
                    self.events.push((at + ms(2), reply));
                }
            }
            Event::Reply {
                host, generation, ..
            } if self.hosts[host].generation != generation
                || self.hosts[host].holding.is_none() => {}
            Event::Reply { host, .. } if !self.is_up(host) => {
                // It reads the reply when it resumes.
                let wakes = self.hosts[host].paused_until;
                self.events.push((wakes, events));
            }
            Event::Reply {
                host,
                action,
                sent,
                term,
                outcome,
                ..
            } => self.reply(host, action, sent, term, outcome),
        }
    }

    fn reply(
        &mut self,
        host: usize,
        action: AssignmentAction,
        sent: Instant,
        term: u64,
        outcome: Option<Result<Commit, RowBatch>>,
    ) {
        let now = self.now;
        let holding = self.hosts[host].holding.as_mut().unwrap();
        let version = match &outcome {
            Some(Ok(commit)) => commit.version(),
            Some(Err(batch)) => Some(batch.version),
            None => None,
        };
        if let Some(version) = version {
            holding.on_era(version.era, now);
        }
        let is_outdated = version.is_some_and(|version| holding.is_of_earlier_era(version));
        let outcome = outcome.filter(|_| !is_outdated);
        match (action, outcome) {
            (AssignmentAction::Renew { .. }, Some(Ok(Commit::Done { version }))) => {
                holding.on_renewed(sent, Some(version), now);
            }
            (AssignmentAction::Renew { .. }, Some(Ok(Commit::Conflict { rows, .. }))) => {
                holding.on_renewal_conflict(&rows, now);
            }
            (AssignmentAction::Renew { .. }, _) => holding.on_renewed(sent, None, now),
            (AssignmentAction::ReadTable, Some(Err(batch))) => {
                holding.on_table_read(Some(&batch), term, now);
            }
            (AssignmentAction::ReadTable, _) => holding.on_table_read(None, term, now),
            (AssignmentAction::CheckLeases { .. }, Some(Ok(Commit::Conflict { rows, .. }))) => {
                holding.on_leases_checked(Some(&rows), now);
            }
            (AssignmentAction::CheckLeases { .. }, Some(Ok(Commit::Done { .. }))) => {
                holding.on_leases_checked(Some(&[]), now);
            }
            (AssignmentAction::CheckLeases { .. }, _) => holding.on_leases_checked(None, now),
            (AssignmentAction::Take { engines, .. }, Some(Ok(Commit::Done { version }))) => {
                holding.on_taken(&engines, version, term, now);
            }
            (AssignmentAction::Take { engines, .. }, Some(Ok(Commit::Conflict { rows, .. }))) => {
                holding.on_take_conflict(&engines, &rows, now);
            }
            (AssignmentAction::Take { engines, .. }, Some(Ok(Commit::TurnedAway))) => {
                holding.on_take_rejected(&engines, now);
            }
            (AssignmentAction::Take { .. }, _) => holding.on_take_outcome_unknown(now),
        }
    }

    fn keep_copy(&mut self) {
        let now = self.now;
        if self
            .copies
            .back()
            .is_none_or(|(at, _)| now >= *at + COPY_INTERVAL)
        {
            self.copies.push_back((now, self.store.clone()));
        }
        self.copies.retain(|(at, _)| now < *at + OLDEST_COPY);
    }

    /// The store is away for a moment, and comes back from one of its copies.
    fn restore_store(&mut self) {
        let copy = self.rng.random_range(0..self.copies.len());
        let (_, copy) = self.copies[copy].clone();
        self.store.restore(&copy);
        let back = self.now + ms(self.rng.random_range(0..3_000));
        for host in &mut self.hosts {
            host.partitioned_until = host.partitioned_until.max(back);
        }
    }

    fn inject_fault(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let now = self.now;
        let time = ms(self.rng.random_range(200..16_000));
        match self.rng.random_range(0..4) {
            0 => self.hosts[host].paused_until = now + time,
            1 => self.hosts[host].partitioned_until = now + time,
            2 => {
                self.hosts[host].holding = None;
                self.hosts[host].starts_at = now + time;
            }
            _ => {
                // All hosts lose power at once.
                for host in &mut self.hosts {
                    host.holding = None;
                    host.starts_at = now + ms(700);
                }
            }
        }
    }
}

/// A world in which hosts and the store are struck at random moments.
struct Plan {
    /// Percentage of calls whose reply is lost.
    lost: u32,
    engines: usize,
    max_rereading_hosts: usize,
    /// The store comes back from older copies.
    restores: bool,
}

impl Plan {
    /// Plays the seeds; returns the numbers of orders and of changes of holder.
    fn play(
        &self,
        seeds: u64,
    ) -> (usize, usize) {
        let (mut orders, mut takeovers) = (0, 0);
        for seed in 0..seeds {
            let mut world = World::new(seed, 3, self.lost);
            world.set_engines(self.engines);
            world.max_rereading_hosts = self.max_rereading_hosts;
            for step in 0..2_400 {
                world.step();
                if step > 200 && world.rng.random_range(0..120) == 0 {
                    world.inject_fault();
                }
                if self.restores && step > 100 && world.rng.random_range(0..250) == 0 {
                    world.restore_store();
                }
            }
            orders += world.orders;
            takeovers += world.takeovers;
        }
        (orders, takeovers)
    }
}

#[rstest]
#[case::replies_arrive(0, ENGINES, 150, 100)]
#[case::replies_are_lost(30, ENGINES, 150, 100)]
#[case::many_engines_are_taken_together(30, MANY_ENGINES, 6, 100)]
#[case::first_renewals_confirm_engines(0, ENGINES, 150, 0)]
#[case::first_renewals_confirm_engines_and_replies_are_lost(30, ENGINES, 150, 0)]
fn orders_of_two_holders_never_come_close(
    #[case] lost: u32,
    #[case] engines: usize,
    #[case] seeds: u64,
    #[case] max_rereading_hosts: usize,
) {
    let plan = Plan {
        lost,
        engines,
        max_rereading_hosts,
        restores: false,
    };
    let (orders, takeovers) = plan.play(seeds);
    // Ensures that there were orders and takeovers to check.
    assert!(orders > 100_000, "{orders} orders");
    assert!(takeovers > 200, "{takeovers} changes of holder");
}

/// A restoration loses renewals and takeovers, and gives the versions of the rows out again.
#[rstest]
#[case::replies_arrive(0, ENGINES, 150, 100)]
#[case::replies_are_lost(30, ENGINES, 150, 100)]
#[case::many_engines_are_taken_together(30, MANY_ENGINES, 6, 100)]
#[case::first_renewals_confirm_engines_and_replies_are_lost(30, ENGINES, 150, 0)]
fn orders_of_two_holders_never_come_close_as_the_store_is_restored(
    #[case] lost: u32,
    #[case] engines: usize,
    #[case] seeds: u64,
    #[case] max_rereading_hosts: usize,
) {
    let plan = Plan {
        lost,
        engines,
        max_rereading_hosts,
        restores: true,
    };
    let (orders, takeovers) = plan.play(seeds);
    // Ensures that there were orders and takeovers to check.
    assert!(orders > 50_000, "{orders} orders");
    assert!(takeovers > 100, "{takeovers} changes of holder");
}

#[test]
fn holders_go_on_while_the_store_is_restored() {
    let mut world = World::new(4, 3, 0);
    for _ in 0..100 {
        world.step();
    }
    let before = world.last_order.clone();
    let (_, copy) = world.copies[0].clone();
    world.store.restore(&copy);
    let mut longest_pause = Duration::ZERO;
    for _ in 0..400 {
        world.step();
        for (_, at, _) in world.last_order.values() {
            longest_pause = longest_pause.max(world.now.saturating_duration_since(*at));
        }
    }
    assert!(longest_pause < ms(500), "{longest_pause:?}");
    for (engine, (host, _, fence)) in before {
        let (now, _, now_fence) = world.last_order[&engine];
        assert_eq!(now, host, "{engine}");
        assert!(now_fence > fence, "{engine} was not recorded anew");
    }
}

#[test]
fn every_engine_gets_a_holder_within_a_second_of_a_calm_start() {
    let mut world = World::new(1, 7, 0);
    for _ in 0..20 {
        world.step();
    }
    assert_eq!(world.last_order.len(), ENGINES);
}

#[test]
fn a_host_that_starts_anew_goes_on_at_once() {
    let mut world = World::new(2, 3, 0);
    for _ in 0..100 {
        world.step();
    }
    let before = world.last_order.clone();
    for host in &mut world.hosts {
        host.holding = None;
        host.starts_at = world.now + ms(700);
    }
    world.last_order.clear();
    for _ in 0..40 {
        world.step();
    }
    for (engine, (host, _, fence)) in before {
        let (now, _, now_fence) = world.last_order[&engine];
        assert_eq!((now, now_fence), (host, fence), "{engine}");
    }
}

/// After a power loss, hosts resume the engines that the store assigns to them before they agree on anything,
/// and take no others.
#[test]
fn hosts_that_start_anew_do_not_wait_for_agreement() {
    let mut world = World::new(6, 3, 0);
    for _ in 0..100 {
        world.step();
    }
    let before = world.last_order.clone();
    let takes = world.takes;
    world.agreed = false;
    for host in &mut world.hosts {
        host.holding = None;
        host.starts_at = world.now + ms(700);
    }
    world.last_order.clear();
    for _ in 0..24 {
        world.step();
    }
    for (engine, (host, _, fence)) in before {
        let (now, _, now_fence) = world.last_order[&engine];
        assert_eq!((now, now_fence), (host, fence), "{engine}");
    }
    assert_eq!(world.takes, takes);
}

/// After all hosts of a large site were killed, each read the whole table twice before it gave orders again: the links
/// were full, and the store sent two tables a host.
#[test]
fn hosts_of_a_large_site_resume_with_one_read_and_one_transaction() {
    let mut world = World::new(8, MANY_HOSTS, 0);
    world.set_engines(5 * MANY_HOSTS);
    while world.last_order.len() < 5 * MANY_HOSTS {
        world.step();
    }
    let before = world.last_order.clone();
    let takes = world.takes;
    world.agreed = false;
    world.calls = (0, 0);
    for host in &mut world.hosts {
        host.holding = None;
        host.starts_at = world.now + ms(700);
    }
    world.last_order.clear();
    for _ in 0..24 {
        world.step();
    }
    for (engine, (host, _, fence)) in before {
        let (now, _, now_fence) = world.last_order[&engine];
        assert_eq!((now, now_fence), (host, fence), "{engine}");
    }
    assert_eq!(world.takes, takes);
    assert_eq!(world.calls, (MANY_HOSTS, MANY_HOSTS));
}

/// An engine that another host takes between the read and the first renewal must not be resumed.
#[test]
fn a_first_renewal_that_finds_another_holder_confirms_nothing() {
    let now = Instant::now();
    let row = HostRow {
        peer: address(0),
        name: "host-0".to_string(),
        hall: "a".to_string(),
        front: address(0),
        process: 1,
        settled_era: 0,
    };
    let timings = LeaseTimings {
        max_rereading_hosts: 0,
        ..LeaseTimings::new(ms(9_000), ms(2_500), GAP)
    };
    let mut store = Store::default();
    let write = |key: String, value: Vec<u8>| Transaction {
        expected: Vec::new(),
        writes: vec![RowWrite {
            row: RowKey::new(HOLDING_TABLE, &key),
            value: Some(value),
        }],
    };
    let holder = |host| {
        let row = HolderRow {
            holder: address(host),
            fence: 4,
        };
        serde_json::to_vec(&row).unwrap()
    };
    store.commit(&write(
        host_key(address(0)),
        serde_json::to_vec(&row).unwrap(),
    ));
    store.commit(&write(engine_key("engine-0"), holder(0)));
    let mut holding = EngineAssignment::new(row, timings, now);
    let engines = BTreeMap::from([("engine-0".to_string(), "key".to_string())]);
    let decide = |holding: &mut EngineAssignment| {
        let unclaimed = || Arc::new(BTreeMap::new());
        holding.decide(&engines, &[address(0)], true, unclaimed, |_| None, now)
    };
    assert_eq!(decide(&mut holding), [AssignmentAction::ReadTable]);
    holding.on_table_read(Some(&store.all()), 0, now);
    let [AssignmentAction::Renew { transaction }] = &decide(&mut holding)[..] else {
        panic!("no renewal");
    };
    store.commit(&write(engine_key("engine-0"), holder(1)));
    let Commit::Conflict { rows, .. } = store.commit(transaction) else {
        panic!("the renewal confirms an engine of another host");
    };
    holding.on_renewal_conflict(&rows, now);
    let [AssignmentAction::Renew { transaction }] = &decide(&mut holding)[..] else {
        panic!("no second renewal");
    };
    let Commit::Done { version } = store.commit(transaction) else {
        panic!("the second renewal fails");
    };
    holding.on_renewed(now, Some(version), now);
    assert_eq!(decide(&mut holding), [AssignmentAction::ReadTable]);
    holding.on_table_read(Some(&store.all()), 1, now);
    assert_eq!(holding.held_engine("engine-0", now), None);
}

#[test]
fn a_short_outage_of_the_store_stops_no_orders() {
    let mut world = World::new(3, 3, 0);
    for _ in 0..100 {
        world.step();
    }
    for host in &mut world.hosts {
        host.partitioned_until = world.now + ms(5_500);
    }
    let mut longest_pause = Duration::ZERO;
    for _ in 0..140 {
        world.step();
        for (_, at, _) in world.last_order.values() {
            longest_pause = longest_pause.max(world.now.saturating_duration_since(*at));
        }
    }
    assert!(longest_pause < ms(200), "no orders for {longest_pause:?}");
}

#[test]
fn an_engine_of_a_lost_host_is_taken_after_its_lease_and_the_gap() {
    let mut world = World::new(4, 2, 0);
    for _ in 0..100 {
        world.step();
    }
    let lost = world.last_order.values().next().unwrap().0;
    world.hosts[lost].holding = None;
    world.hosts[lost].starts_at = world.now + Duration::from_secs(1_000);
    let begin = world.now;
    while world.last_order.values().any(|(host, _, _)| *host == lost) {
        world.step();
        let passed = world.now.saturating_duration_since(begin);
        assert!(
            passed < Duration::from_secs(16),
            "still not taken after {passed:?}"
        );
    }
}

/// Guards against a takeover that waits for two lapses, as the lost host renewed its lease once more before it was lost and no
/// other host was told.
#[test]
fn an_engine_is_taken_in_time_although_nobody_knows_of_the_last_renewal() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3, 0);
        for _ in 0..100 {
            world.step();
        }
        world.publishes = false;
        for _ in 0..60 {
            world.step();
        }
        let lost = world.last_order.values().next().unwrap().0;
        world.hosts[lost].holding = None;
        world.hosts[lost].starts_at = world.now + Duration::from_secs(1_000);
        let begin = world.now;
        while world.last_order.values().any(|(host, _, _)| *host == lost) {
            world.step();
            let passed = world.now.saturating_duration_since(begin);
            assert!(
                passed < Duration::from_secs(16),
                "seed {seed}: still not taken after {passed:?}"
            );
        }
    }
}

#[test]
fn a_host_that_answers_but_lost_its_lease_is_replaced() {
    let mut world = World::new(5, 2, 0);
    for _ in 0..100 {
        world.step();
    }
    let cut = world.last_order.values().next().unwrap().0;
    world.hosts[cut].partitioned_until = world.now + Duration::from_secs(1_000);
    let begin = world.now;
    while world.last_order.values().any(|(host, _, _)| *host == cut) {
        world.step();
        let passed = world.now.saturating_duration_since(begin);
        assert!(
            passed < Duration::from_secs(18),
            "still not taken after {passed:?}"
        );
    }
}

#[test]
fn nobody_asks_the_store_for_an_engine_that_another_host_claims() {
    const HOSTS: usize = 20;
    let mut world = World::new(6, HOSTS, 0);
    for _ in 0..1_200 {
        world.step();
    }
    // Every host read the table before the engines had holders.
    assert!(world.takes <= 2 * ENGINES, "{} transactions", world.takes);
}

/// A single host with a lease and many vacant engines.
struct SingleHost {
    holding: EngineAssignment,
    engines: BTreeMap<String, String>,
    now: Instant,
}

impl SingleHost {
    fn new(
        engines: usize,
        process: u64,
    ) -> Self {
        let row = HostRow {
            peer: address(0),
            name: "host-0".to_string(),
            hall: "a".to_string(),
            front: address(0),
            process,
            settled_era: 0,
        };
        let now = Instant::now();
        let timings = LeaseTimings::new(ms(9_000), ms(2_500), GAP);
        let engines = (0..engines).map(|at| (format!("engine-{at}"), format!("key-{at}")));
        let mut single = Self {
            holding: EngineAssignment::new(row, timings, now),
            engines: engines.collect(),
            now,
        };
        single
            .holding
            .on_table_read(Some(&batch(Vec::new())), 0, now);
        single.holding.on_renewed(now, Some(1.into()), now);
        single
            .holding
            .on_table_read(Some(&batch(Vec::new())), 1, now);
        single
    }

    fn decide(&mut self) -> Vec<AssignmentAction> {
        let takers = [address(0)];
        let (engines, now) = (&self.engines, self.now);
        self.holding.decide(
            engines,
            &takers,
            true,
            || Arc::new(engines.clone()),
            |_| None,
            now,
        )
    }

    /// Returns the batches that are taken now.
    fn takes(&mut self) -> Vec<Vec<TakenEngine>> {
        let batches = self.decide().into_iter().filter_map(|action| match action {
            AssignmentAction::Take { engines, .. } => Some(engines),
            AssignmentAction::CheckLeases { .. } => None,
            action => panic!("{action:?}"),
        });
        batches.collect()
    }

    /// Returns the time until the table is read, if within `time`.
    fn reads_within(
        &mut self,
        time: Duration,
    ) -> Option<Duration> {
        let begin = self.now;
        while self.now < begin + time {
            self.now += STEP;
            if self.decide().contains(&AssignmentAction::ReadTable) {
                return Some(self.now.saturating_duration_since(begin));
            }
        }
        None
    }
}

/// Guards against a full batch lost to one engine that another host has taken at the same moment.
#[test]
fn an_engine_that_another_host_has_got_holds_no_other_up() {
    let mut single = SingleHost::new(40, 1);
    let batches = single.takes();
    assert_eq!(batches.len(), 1);
    let holder = HolderRow {
        holder: address(1),
        fence: 7,
    };
    let taken = Row {
        key: engine_key("engine-5").into(),
        version: 9.into(),
        value: Some(serde_json::to_vec(&holder).unwrap().into()),
    };
    single
        .holding
        .on_take_conflict(&batches[0], &[taken], single.now);
    let again = single.takes();
    let names: Vec<&str> = again
        .iter()
        .flatten()
        .map(|taken| taken.target.as_str())
        .collect();
    assert_eq!((again.len(), names.len()), (1, 39));
    assert!(!names.contains(&"engine-5"));
}

/// Guards against endless retries of a conflict whose reply contains nothing new.
#[test]
fn an_engine_whose_conflict_is_not_understood_ends_up_alone() {
    let mut single = SingleHost::new(40, 1);
    let (mut tries, mut left) = (0, 40);
    for _ in 0..20 {
        for batch in single.takes() {
            tries += 1;
            if batch.iter().any(|taken| taken.target == "engine-5") {
                single.holding.on_take_conflict(&batch, &[], single.now);
            } else {
                single.holding.on_taken(&batch, 9.into(), 1, single.now);
                left -= batch.len();
            }
        }
    }
    assert_eq!(left, 1);
    // Engines that become vacant later share a transaction again.
    single
        .engines
        .extend((0..40).map(|at| (format!("later-{at}"), format!("later-key-{at}"))));
    single.now += ms(2_100);
    let sizes: Vec<usize> = single.takes().iter().map(Vec::len).collect();
    assert_eq!(sizes, [1, 40]);
    // Each halving takes at most three: both halves, and the failed one again.
    assert!(tries <= 18, "{tries} transactions");
}

/// Guards against an engine without a holder, as each attempt to take it expects the version before the malformed row.
#[test]
fn an_engine_whose_row_was_spoilt_is_taken_once_its_holders_lease_has_lapsed() {
    let mut single = SingleHost::new(1, 1);
    let row = |key: String, version: u64, value: Vec<u8>| Row {
        key: key.into(),
        version: version.into(),
        value: Some(value.into()),
    };
    let holder = HolderRow {
        holder: address(1),
        fence: 7,
    };
    let holder = serde_json::to_vec(&holder).unwrap();
    let lost = HostRow {
        peer: address(1),
        name: "host-1".to_string(),
        hall: "a".to_string(),
        front: address(1),
        process: 2,
        settled_era: 0,
    };
    let lost = serde_json::to_vec(&lost).unwrap();
    let rows = [
        row(engine_key("engine-0"), 5, holder),
        row(host_key(address(1)), 4, lost),
    ];
    single
        .holding
        .on_table_read(Some(&batch(rows.to_vec())), 1, single.now);
    let malformed = [row(engine_key("engine-0"), 6, b"malformed".to_vec())];
    single
        .holding
        .on_table_read(Some(&batch(malformed.to_vec())), 1, single.now);
    assert!(
        single.takes().is_empty(),
        "its holder may still send orders"
    );
    let mut expected = None;
    for _ in 0..20 {
        single.now += ms(1_000);
        single
            .holding
            .on_renewed(single.now, Some(9.into()), single.now);
        for action in single.decide() {
            if let AssignmentAction::Take { transaction, .. } = action {
                expected.get_or_insert(transaction.expected[0].version);
            }
        }
    }
    assert_eq!(expected, Some(6.into()));
}

/// Guards against table reads after rejected calls, which keep an overloaded store busy.
#[test]
fn a_host_that_was_turned_away_reads_nothing() {
    let mut single = SingleHost::new(40, 1);
    let batches = single.takes();
    single.holding.on_take_rejected(&batches[0], single.now);
    assert!(single.takes().is_empty());
    single.holding.on_renewed(single.now, None, single.now);
    assert_eq!(single.reads_within(ms(100)), None);
    single.now += ms(900);
    let actions = single.decide();
    assert!(matches!(
        &actions[..],
        [
            AssignmentAction::Renew { .. },
            AssignmentAction::Take { .. }
        ]
    ));
}

/// Guards against hundreds of hosts that read a large table at the same moment.
#[test]
fn hosts_read_many_rows_at_different_times_after_lost_replies() {
    let rows = (0..3_000).map(|at| {
        let holder = HolderRow {
            holder: address(1),
            fence: 7,
        };
        Row {
            key: engine_key(&format!("other-{at}")).into(),
            version: 9.into(),
            value: Some(serde_json::to_vec(&holder).unwrap().into()),
        }
    });
    let rows: Vec<Row> = rows.collect();
    let read_at = |process| {
        let mut single = SingleHost::new(40, process);
        single
            .holding
            .on_table_read(Some(&batch(rows.to_vec())), 1, single.now);
        let batches = single.takes();
        assert_eq!(batches.len(), 1);
        single.holding.on_take_outcome_unknown(single.now);
        assert!(single.takes().is_empty(), "pending engines were taken");
        single.reads_within(ms(3_100)).expect("the table is read")
    };
    let times: BTreeSet<Duration> = (0..30).map(read_at).collect();
    assert!(times.len() >= 15, "{times:?}");
}

/// Guards against a conflict reply from before a lapse of the lease that confirms engines which another host has taken
/// since. Only a read of the table in the new term may confirm them.
#[test]
fn an_answer_from_before_a_lapse_confirms_nothing() {
    let mut world = World::new(8, 2, 0);
    let start = world.now;
    world.start(0);
    let mut holding = world.hosts[0].holding.take().unwrap();
    let engines = world.engines.clone();
    let takers = [address(0)];
    let decide = |holding: &mut EngineAssignment, now: Instant| {
        holding.decide(
            &engines,
            &takers,
            true,
            || Arc::new(engines.clone()),
            |_| None,
            now,
        )
    };
    for seconds in 0..4 {
        let now = start + Duration::from_secs(seconds);
        for action in decide(&mut holding, now) {
            let term = holding.lease().term();
            match action {
                AssignmentAction::ReadTable => {
                    holding.on_table_read(Some(&batch(Vec::new())), term, now)
                }
                AssignmentAction::Renew { .. } => holding.on_renewed(now, Some(1.into()), now),
                AssignmentAction::CheckLeases { .. } => holding.on_leases_checked(None, now),
                AssignmentAction::Take { engines, .. } => {
                    let is_first = |taken: &TakenEngine| taken.target == "engine-0";
                    let first: Vec<TakenEngine> = engines.into_iter().filter(is_first).collect();
                    holding.on_taken(&first, 2.into(), term, now);
                }
            }
        }
    }
    let held_at = start + Duration::from_secs(4);
    assert!(holding.held_engine("engine-0", held_at).is_some());
    let back_at = start + Duration::from_secs(30);
    holding.on_renewed(back_at, Some(9.into()), back_at);
    let other = TakenEngine {
        target: "engine-1".to_string(),
        fence: 1,
    };
    holding.on_take_conflict(&[other], &[], back_at);
    assert_eq!(holding.held_engine("engine-0", back_at + STEP), None);
}
