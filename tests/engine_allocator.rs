//! The allocator of one engine, against a simulated engine that may leave orders unanswered, carry them out late,
//! and that fails if it is ordered to hold too many adapters.

use {
    coveproxy::{
        clock::Instant,
        connection::datagram::{AdapterUsage, EngineQuery, Placement, PlacementState, Usage, Want},
        formats::{HeldAdapter, HeldModel, OrderKind, OrderReply, TargetReport, TargetStart},
        process::engines::{
            AllocatorAction, EngineAllocator, EngineLoads, EngineUtilization, LoadRejection,
            OrderPurpose, PlannedOrder, SharedAllocatorState,
        },
        version::routing::{BaseModel, EngineSpec},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

const MODEL: &str = "m0";
const SLOTS: usize = 6;
const STEP: Duration = Duration::from_millis(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn spec() -> EngineSpec {
    EngineSpec {
        models: vec![BaseModel {
            name: MODEL.to_string(),
            weights_mb: 40_000.0,
            adapter_mb: 10.0,
            load_time: ms(600),
        }],
        slots: 8,
        memory_tokens: 100_000,
        weights_mb: 41_000.0,
        adapter_slots: SLOTS,
        loads_per_second: 3.0,
    }
}

fn host(at: u8) -> SocketAddr {
    format!("10.0.0.{at}:7000").parse().unwrap()
}

fn want(
    adapter: &str,
    version: u64,
) -> Want {
    Want {
        patience_ms: 900,
        target: "engine".to_string(),
        adapter: format!("{MODEL}/{adapter}"),
        version,
        waiting: 1,
        priority: 1,
        spare: false,
    }
}

/// A simulated engine that follows the platform's rules for orders.
#[derive(Default)]
struct Engine {
    /// Number of the incarnation.
    incarnation: u64,
    model: bool,
    model_ready: Option<Instant>,
    held: BTreeMap<String, u64>,
    coming: BTreeMap<String, (u64, Instant)>,
    /// Unloads (`None`) and replacements that wait for requests to end.
    waiting: BTreeMap<String, Option<u64>>,
    cached: HashSet<(String, u64)>,
    runs: HashMap<String, Vec<Instant>>,
    sequence: u64,
    loads_from_store: usize,
    /// Orders rejected because another one was being carried out.
    rejected_while_busy: usize,
    /// Its base model is on its disk.
    model_at_hand: bool,
    newest: HashMap<String, u64>,
}

impl Engine {
    fn advance(
        &mut self,
        now: Instant,
    ) {
        if self.model_ready.is_some_and(|at| at <= now) {
            self.model_ready = None;
            self.model = true;
        }
        for runs in self.runs.values_mut() {
            runs.retain(|end| *end > now);
        }
        let over: Vec<String> = self
            .coming
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            let (version, _) = self.coming.remove(&name).unwrap();
            self.cached.insert((name.clone(), version));
            self.held.insert(name, version);
        }
        let free: Vec<String> = self
            .waiting
            .keys()
            .filter(|name| self.runs_of(name) == 0)
            .cloned()
            .collect();
        for name in free {
            match self.waiting.remove(&name).unwrap() {
                None => {
                    self.held.remove(&name);
                }
                Some(version) => {
                    self.held.insert(name, version);
                }
            }
        }
    }

    /// Starts a new, empty incarnation, which counts orders from zero.
    fn restart(&mut self) {
        *self = Self {
            incarnation: self.incarnation + 1,
            newest: std::mem::take(&mut self.newest),
            ..Self::default()
        };
    }

    /// Returns true while it carries out an order that excludes others.
    fn is_busy(&self) -> bool {
        self.model_ready.is_some() || !self.waiting.is_empty()
    }

    fn runs_of(
        &self,
        name: &str,
    ) -> usize {
        self.runs.get(name).map_or(0, Vec::len)
    }

    fn execute(
        &mut self,
        order: &PlannedOrder,
        now: Instant,
    ) -> OrderReply {
        self.advance(now);
        if order.expected_sequence != self.sequence {
            return OrderReply::Conflict;
        }
        if self.is_busy() {
            self.rejected_while_busy += 1;
            return OrderReply::Conflict;
        }
        match (&order.adapter, order.kind) {
            (None, OrderKind::Load) if self.model => OrderReply::Done,
            (None, OrderKind::Load) => {
                self.model_ready = Some(now + ms(600));
                self.sequence += 1;
                OrderReply::Accepted
            }
            (None, OrderKind::Unload) => OrderReply::Refused,
            (Some(name), OrderKind::Load) => self.load(name, order.version, now),
            (Some(name), OrderKind::Unload) => self.unload(name),
        }
    }

    fn load(
        &mut self,
        name: &str,
        version: Option<u64>,
        now: Instant,
    ) -> OrderReply {
        let newest = self.newest.get(name).copied().unwrap_or(1);
        let version = version.unwrap_or(newest);
        if !self.model || version > newest {
            return OrderReply::Refused;
        }
        if self
            .coming
            .get(name)
            .is_some_and(|(coming, _)| *coming == version)
        {
            return OrderReply::Accepted;
        }
        if self.held.get(name) == Some(&version) {
            return OrderReply::Done;
        }
        if self.coming.len() >= 4 {
            return OrderReply::Conflict;
        }
        if self.held.contains_key(name) {
            self.sequence += 1;
            self.waiting.insert(name.to_string(), Some(version));
            return OrderReply::Accepted;
        }
        assert!(
            self.held.len() + self.coming.len() < SLOTS,
            "engine over capacity: {name} is one adapter too many"
        );
        let cached = self.cached.contains(&(name.to_string(), version));
        let time = match cached {
            true => ms(25),
            false => ms(250),
        };
        self.loads_from_store += usize::from(!cached);
        self.coming.insert(name.to_string(), (version, now + time));
        self.sequence += 1;
        OrderReply::Accepted
    }

    fn unload(
        &mut self,
        name: &str,
    ) -> OrderReply {
        if !self.held.contains_key(name) {
            return OrderReply::Done;
        }
        self.sequence += 1;
        if self.runs_of(name) > 0 {
            self.waiting.insert(name.to_string(), None);
            return OrderReply::Accepted;
        }
        self.held.remove(name);
        OrderReply::Done
    }

    fn report(&self) -> TargetReport {
        let adapters = self.held.iter().map(|(name, version)| HeldAdapter {
            name: name.clone(),
            version: *version,
        });
        let models = self.model.then(|| HeldModel {
            name: MODEL.to_string(),
            adapters: adapters.collect(),
        });
        let coming = self.coming.iter();
        TargetReport {
            started: Some(TargetStart::from_unix_ms(self.incarnation)),
            models: models.into_iter().collect(),
            coming: coming
                .map(|(name, (version, _))| (MODEL.to_string(), name.clone(), *version))
                .collect(),
            at_hand: match self.model_at_hand {
                true => vec![MODEL.to_string()],
                false => Vec::new(),
            },
            busy: self.is_busy(),
            sequence: self.sequence,
            waiting: 0,
            running: 0,
            memory_used: 0,
            memory_total: 100_000,
        }
    }
}

/// A message in flight between the allocator and the engine.
enum Message {
    Order { order: PlannedOrder, reply: bool },
    OrderEnd(Option<OrderReply>),
    Report,
    ReportEnd(Option<TargetReport>),
}

struct World {
    rng: StdRng,
    now: Instant,
    allocator: EngineAllocator,
    engine: Engine,
    messages: Vec<(Instant, Message)>,
    /// Last placement sent to the host, by adapter.
    placements: HashMap<String, Placement>,
    unanswered: u32,
    probes: usize,
}

impl World {
    fn new(
        seed: u64,
        unanswered: u32,
    ) -> Self {
        Self::with_shared_state(seed, unanswered, SharedAllocatorState::default())
    }

    /// Creates an engine whose holder has other engines too.
    fn with_shared_state(
        seed: u64,
        unanswered: u32,
        shared: SharedAllocatorState,
    ) -> Self {
        let now = Instant::now();
        Self {
            rng: StdRng::seed_from_u64(seed),
            now,
            allocator: EngineAllocator::new("engine", spec(), shared, now),
            engine: Engine::default(),
            messages: Vec::new(),
            placements: HashMap::new(),
            unanswered,
            probes: 0,
        }
    }

    fn run(
        &mut self,
        time: Duration,
    ) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            let actions = self.allocator.on_tick(self.now);
            // An allocator that is always due would use a full processor.
            let due = self.allocator.next_deadline();
            assert!(
                due.is_none_or(|due| due > self.now),
                "next deadline is not in the future"
            );
            self.apply(actions);
        }
    }

    fn want(
        &mut self,
        adapter: &str,
        version: u64,
    ) {
        let want = want(adapter, version);
        let actions = self.allocator.on_want(host(1), &want, self.now);
        self.apply(actions);
    }

    fn state(
        &self,
        adapter: &str,
    ) -> PlacementState {
        let placement = self.placements.get(&format!("{MODEL}/{adapter}"));
        placement.map_or(PlacementState::Absent, Placement::state)
    }

    fn apply(
        &mut self,
        actions: Vec<AllocatorAction>,
    ) {
        for action in actions {
            match action {
                AllocatorAction::LoadRejected { .. } => {}
                AllocatorAction::Order(order) => self.send(order),
                AllocatorAction::LoadCompleted { .. } => {}
                AllocatorAction::RequestReport => {
                    self.messages.push((self.now + ms(2), Message::Report))
                }
                AllocatorAction::Reply { placement, .. }
                | AllocatorAction::Announce { placement, .. } => {
                    self.placements.insert(placement.adapter.clone(), placement);
                }
            }
        }
    }

    fn send(
        &mut self,
        order: PlannedOrder,
    ) {
        self.probes += usize::from(order.purpose == OrderPurpose::Probe);
        let lost = self.rng.random_range(0..100) < self.unanswered;
        let delay = match lost {
            true => ms(self.rng.random_range(2_000..12_000)),
            false => ms(1),
        };
        if lost {
            self.messages
                .push((self.now + ms(120), Message::OrderEnd(None)));
        }
        let reply = !lost;
        self.messages
            .push((self.now + delay, Message::Order { order, reply }));
    }

    fn deliver(&mut self) {
        loop {
            let next = (0..self.messages.len())
                .filter(|at| self.messages[*at].0 <= self.now)
                .min_by_key(|at| self.messages[*at].0);
            let Some(next) = next else {
                self.engine.advance(self.now);
                return;
            };
            let (at, message) = self.messages.swap_remove(next);
            match message {
                Message::Order { order, reply } => {
                    let outcome = self.engine.execute(&order, at);
                    if reply {
                        self.messages
                            .push((at + ms(1), Message::OrderEnd(Some(outcome))));
                    }
                }
                Message::OrderEnd(reply) => {
                    let actions = self.allocator.on_order_end(reply, self.now);
                    self.apply(actions);
                }
                Message::Report => {
                    self.engine.advance(at);
                    let report = self.engine.report();
                    self.messages
                        .push((at + ms(2), Message::ReportEnd(Some(report))));
                }
                Message::ReportEnd(report) => {
                    let actions = self.allocator.on_report(report, self.now);
                    self.apply(actions);
                }
            }
        }
    }

    /// Sends a request if the adapter was reported as ready, or else requests its load.
    fn request(
        &mut self,
        adapter: &str,
        version: u64,
    ) -> bool {
        let key = format!("{MODEL}/{adapter}");
        let ready = self.state(adapter) == PlacementState::Ready
            && self.placements[&key].version >= version;
        if !ready {
            self.want(adapter, version);
            return false;
        }
        let end = self.now + ms(self.rng.random_range(50..2_500));
        self.engine
            .runs
            .entry(adapter.to_string())
            .or_default()
            .push(end);
        true
    }

    /// Restarts the engine. The allocator learns it from the target list, or by itself.
    fn restart(
        &mut self,
        is_listed: bool,
    ) {
        self.engine.restart();
        if is_listed {
            let started = TargetStart::from_unix_ms(self.engine.incarnation);
            let actions = self.allocator.on_incarnation(Some(started), self.now);
            self.apply(actions);
        }
    }

    fn report_usage(
        &mut self,
        started: &[String],
    ) {
        let adapters = self.engine.runs.iter().map(|(name, runs)| AdapterUsage {
            adapter: format!("{MODEL}/{name}"),
            in_flight: runs.len() as u32,
            started: started.iter().filter(|started| *started == name).count() as u32,
        });
        let usage = Usage {
            target: "engine".to_string(),
            adapters: adapters
                .filter(|usage| usage.in_flight + usage.started > 0)
                .collect(),
            ..Usage::default()
        };
        self.allocator.on_usage(host(1), &usage, self.now);
    }
}

#[test]
fn an_empty_engine_gets_its_base_model_and_then_adapters() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    assert!(world.engine.model);
    world.want("a1", 1);
    world.run(ms(400));
    assert_eq!(world.state("a1"), PlacementState::Ready);
    assert_eq!(world.engine.held.get("a1"), Some(&1));
}

/// State of a holder that has another engine with the base model.
fn shared_state(running: u32) -> SharedAllocatorState {
    let shared = SharedAllocatorState::default();
    set_utilization(&shared, running);
    shared
}

fn set_utilization(
    shared: &SharedAllocatorState,
    running: u32,
) {
    let utilization = EngineUtilization { running, slots: 8 };
    let mut pool = shared.pool.borrow_mut();
    pool.set(MODEL, "other", Some(utilization));
}

#[test]
fn an_engine_that_is_added_empty_gets_its_base_model_once_it_is_needed() {
    let shared = shared_state(2);
    let mut world = World::with_shared_state(1, 0, shared.clone());
    world.run(ms(3_000));
    assert!(!world.engine.model);
    set_utilization(&shared, 6);
    world.run(ms(1_500));
    assert!(world.engine.model);
}

#[test]
fn a_base_model_that_is_at_hand_is_loaded_at_once() {
    let mut world = World::with_shared_state(1, 0, shared_state(0));
    world.engine.model_at_hand = true;
    world.run(ms(1_500));
    assert!(world.engine.model);
}

#[test]
fn whoever_asked_hears_when_the_load_is_over_and_not_before() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    world.want("a1", 1);
    world.run(ms(40));
    assert_eq!(world.state("a1"), PlacementState::Coming);
    while world.state("a1") != PlacementState::Ready {
        world.run(STEP);
        let there = world.engine.held.contains_key("a1");
        assert!(there || world.state("a1") != PlacementState::Ready);
    }
    let probes = world.probes;
    assert!(probes <= 6, "{probes} probes for one load");
}

#[test]
fn what_was_held_lately_is_expected_sooner() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    for name in ["a1", "a2", "a3", "a4", "a5", "a6", "a7"] {
        world.want(name, 1);
        world.run(ms(1_500));
    }
    // a1 was evicted, but the engine still caches it.
    assert!(!world.engine.held.contains_key("a1"));
    let before = world.engine.loads_from_store;
    world.want("a1", 1);
    world.run(ms(70));
    assert_eq!(world.state("a1"), PlacementState::Ready);
    assert_eq!(world.engine.loads_from_store, before);
}

#[test]
fn the_least_used_idle_adapter_makes_way() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    for name in ["a1", "a2", "a3", "a4", "a5"] {
        world.want(name, 1);
        world.run(ms(400));
        if name != "a3" {
            for _ in 0..5 {
                world.request(name, 1);
            }
            world.report_usage(&[name.to_string(), name.to_string()]);
        }
    }
    world.run(ms(3_000));
    world.report_usage(&[]);
    for name in ["a6", "a7"] {
        world.want(name, 1);
        world.run(ms(400));
        assert_eq!(world.state(name), PlacementState::Ready);
    }
    // No slot is kept free in advance: only the seventh adapter needs an eviction.
    assert_eq!(world.engine.held.len(), SLOTS);
    assert!(
        !world.engine.held.contains_key("a3"),
        "{:?}",
        world.engine.held
    );
}

#[test]
fn a_full_engine_whose_adapters_are_all_in_use_says_so() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    for at in 0..SLOTS {
        let name = format!("a{at}");
        world.want(&name, 1);
        world.run(ms(400));
        world.request(&name, 1);
        world.engine.runs.get_mut(&name).unwrap()[0] = world.now + Duration::from_secs(60);
        world.report_usage(&[]);
    }
    world.want("b", 1);
    world.run(ms(100));
    assert_eq!(world.state("b"), PlacementState::Full);
}

/// After a host's restart, an adapter without known requests may be in use. The engine then waits for these
/// requests and rejects all orders, so load requests must be rejected too.
#[test]
fn an_engine_that_waits_for_unknown_requests_gets_no_orders() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    for at in 0..SLOTS {
        world.want(&format!("a{at}"), 1);
        world.run(ms(400));
    }
    let end = world.now + ms(4_000);
    for at in 0..SLOTS {
        world.engine.runs.insert(format!("a{at}"), vec![end]);
    }
    world.run(ms(500));
    world.want("b", 1);
    world.run(ms(1_000));
    assert!(world.engine.is_busy());
    world.want("c", 1);
    assert_eq!(world.state("c"), PlacementState::Full);
    world.run(ms(1_500));
    assert_eq!(world.engine.rejected_while_busy, 0);

    world.run(ms(1_500));
    world.want("c", 1);
    world.run(ms(800));
    assert_eq!(world.state("c"), PlacementState::Ready);
}

/// Hosts that wait must try other engines instead of waiting for orders that are carried out seconds late.
#[test]
fn an_engine_that_leaves_orders_unanswered_is_asked_for_nothing_for_a_while() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    world.unanswered = 100;
    world.want("a1", 1);
    world.want("a2", 1);
    world.run(ms(600));
    assert_eq!(world.state("a2"), PlacementState::Full);
    world.want("a3", 1);
    assert_eq!(world.state("a3"), PlacementState::Full);

    world.unanswered = 0;
    world.run(ms(2_500));
    world.want("a3", 1);
    world.run(ms(800));
    assert_eq!(world.state("a3"), PlacementState::Ready);
}

#[test]
fn a_load_that_a_report_shows_to_be_over_is_told() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    world.want("a1", 1);
    world.run(ms(100));
    assert_eq!(world.state("a1"), PlacementState::Coming);
    // A conflicting order makes the allocator request a report.
    world.engine.sequence += 1;
    world.run(ms(700));
    assert_eq!(world.state("a1"), PlacementState::Ready);
}

#[test]
fn a_newer_version_replaces_an_idle_old_one() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    world.want("a1", 1);
    world.run(ms(400));
    world.engine.newest.insert("a1".to_string(), 2);
    world.allocator.on_newest_version("m0/a1", 2);
    world.run(ms(1_500));
    world.want("a1", 2);
    world.run(ms(400));
    assert_eq!(world.state("a1"), PlacementState::Ready);
    assert_eq!(world.placements["m0/a1"].version, 2);
    assert_eq!(world.engine.held.get("a1"), Some(&2));
}

#[test]
fn an_old_version_in_use_is_not_touched() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    world.want("a1", 1);
    world.run(ms(400));
    assert!(world.request("a1", 1));
    world.engine.runs.get_mut("a1").unwrap()[0] = world.now + ms(5_000);
    world.report_usage(&[]);
    world.engine.newest.insert("a1".to_string(), 2);
    world.allocator.on_newest_version("m0/a1", 2);
    world.want("a1", 2);
    assert_eq!(world.state("a1"), PlacementState::Full);
    world.run(ms(4_000));
    assert_eq!(world.engine.held.get("a1"), Some(&1));
    assert!(world.engine.waiting.is_empty());
}

#[test]
fn one_slow_load_does_not_make_the_next_ones_slow() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    world.want("a1", 1);
    world.run(ms(60));
    // The weight store is slow once.
    world.engine.coming.get_mut("a1").unwrap().1 = world.now + ms(2_000);
    world.run(ms(2_500));
    assert_eq!(world.state("a1"), PlacementState::Ready);
    for name in ["a2", "a3"] {
        let begin = world.now;
        world.want(name, 1);
        while world.state(name) != PlacementState::Ready {
            world.run(STEP);
        }
        let passed = world.now.saturating_duration_since(begin);
        assert!(passed < ms(300), "{name} took {passed:?}");
    }
}

/// Random use with orders that are unanswered and carried out late. The simulated engine asserts the limit.
#[test]
fn an_engine_is_never_told_to_hold_too_much() {
    let (mut served, mut asked) = ([0; 3], 0);
    for seed in 0..60 {
        let unanswered = [0, 20, 50][seed as usize % 3];
        let mut world = World::new(seed, unanswered);
        world.run(ms(3_000));
        for step in 0..400 {
            let name = format!("a{}", world.rng.random_range(0..12u32));
            let version = world.engine.newest.get(&name).copied().unwrap_or(1);
            asked += 1;
            let mut started = Vec::new();
            if world.request(&name, version) {
                served[seed as usize % 3] += 1;
                started.push(name.clone());
            }
            if world.rng.random_range(0..60) == 0 {
                world.engine.newest.insert(name.clone(), version + 1);
                world
                    .allocator
                    .on_newest_version(&format!("{MODEL}/{name}"), version + 1);
            }
            if step % 2 == 0 {
                world.report_usage(&started);
            }
            let pause = ms(world.rng.random_range(20..200));
            world.run(pause);
        }
    }
    // Twelve adapters share six slots; 8,000 requests each at 0, 20 and 50% unanswered orders.
    assert_eq!(asked, 24_000);
    assert!(
        served[0] > 3_000 && served[1] > 2_800 && served[2] > 1_500,
        "{served:?}"
    );
}

#[test]
fn a_host_that_is_gone_uses_nothing() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    world.want("a1", 1);
    world.run(ms(400));
    world.request("a1", 1);
    world.report_usage(&[]);
    assert_eq!(world.allocator.adapters()["m0/a1"].in_flight(), 1);
    world.allocator.on_host_gone(host(1));
    assert_eq!(world.allocator.adapters()["m0/a1"].in_flight(), 0);
}

/// Guards against a request that waits at one engine until its caller leaves, as each reply renews the promise.
#[test]
fn a_promise_that_was_not_kept_is_not_given_again() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    world.want("a1", 1);
    // The reply to the order never arrives.
    world.messages.clear();
    world.want("a2", 1);
    assert_eq!(world.state("a2"), PlacementState::Coming);
    let promised = world.now;
    while world.state("a2") == PlacementState::Coming {
        world.run(ms(60));
        world.want("a2", 1);
        let waited = world.now.saturating_duration_since(promised);
        assert!(waited < ms(1_000), "still promised after {waited:?}");
    }
    assert_eq!(world.state("a2"), PlacementState::Full);
}

/// Guards against a queue so long that every load completes after the deadline of the request that caused it.
#[rstest]
#[case::no_time_left_for_the_queue(600, 4, Some(LoadRejection::QueueTooLong))]
#[case::time_enough(890, 4, None)]
#[case::nothing_waits(0, 0, None)]
fn a_load_that_comes_too_late_for_whoever_asks_is_not_queued(
    #[case] patience_ms: u32,
    #[case] queued_elsewhere: usize,
    #[case] expected: Option<LoadRejection>,
) {
    let shared = SharedAllocatorState::default();
    let mut world = World::with_shared_state(1, 0, shared.clone());
    world.run(ms(3_000));
    let elsewhere = EngineLoads {
        in_progress: 2 * usize::from(queued_elsewhere > 0),
        queued: queued_elsewhere,
    };
    shared.limiter.borrow_mut().set("elsewhere", elsewhere);
    let want = Want {
        patience_ms,
        ..want("a1", 1)
    };
    let actions = world.allocator.on_want(host(1), &want, world.now);
    let reason = actions.iter().find_map(|action| match action {
        AllocatorAction::LoadRejected { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(reason, expected);
    let due_ms = actions.iter().find_map(|action| match action {
        AllocatorAction::Reply { placement, .. } => Some(placement.due_ms),
        _ => None,
    });
    if expected.is_some() {
        assert!(due_ms.is_some_and(|due| due > patience_ms), "{due_ms:?}");
    }
}

/// Hosts weigh the load time at this engine against copies elsewhere.
#[test]
fn a_query_for_what_is_not_there_tells_how_long_its_load_takes() {
    let shared = SharedAllocatorState::default();
    let mut world = World::with_shared_state(1, 0, shared.clone());
    world.run(ms(3_000));
    let query = EngineQuery {
        target: "engine".to_string(),
        adapter: format!("{MODEL}/a1"),
        chance: 0,
        tokens: 1_000,
        prompt_tokens: 500,
        ..EngineQuery::default()
    };
    let due = |world: &mut World| {
        let placement = world
            .allocator
            .on_query(host(1), &query, world.now)
            .unwrap();
        assert_eq!(placement.state(), PlacementState::Absent);
        placement.due_ms
    };
    assert!((200..300).contains(&due(&mut world)));
    let elsewhere = EngineLoads {
        in_progress: 2,
        queued: 4,
    };
    shared.limiter.borrow_mut().set("elsewhere", elsewhere);
    assert!(due(&mut world) > 700);
}

/// Guards against requests for adapters that only an earlier incarnation of the engine held.
#[rstest]
#[case::the_list_tells(true)]
#[case::only_its_report_tells(false)]
fn an_engine_that_starts_anew_is_known_to_hold_nothing(#[case] is_listed: bool) {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    for name in ["a1", "a2"] {
        world.want(name, 1);
        world.run(ms(1_000));
        assert_eq!(world.state(name), PlacementState::Ready);
    }
    world.restart(is_listed);
    if !is_listed {
        // The next order meets another sequence, and the allocator requests a report.
        world.want("a3", 1);
        world.run(ms(500));
    }
    assert_eq!(world.state("a1"), PlacementState::Full);
    assert_eq!(world.state("a2"), PlacementState::Full);
    assert_eq!(world.allocator.adapters().len(), 0);
    world.run(ms(2_500));
    assert!(world.engine.model, "base model not loaded again");
    let before = world.engine.loads_from_store;
    world.want("a1", 1);
    world.run(ms(1_000));
    assert_eq!(world.state("a1"), PlacementState::Ready);
    assert_eq!(world.engine.loads_from_store, before + 1);
    assert_eq!(world.engine.rejected_while_busy, 0);
}

/// Hosts would otherwise wait for the base model as well.
#[test]
fn whoever_waits_at_an_engine_that_starts_anew_is_told_to_ask_elsewhere() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    for at in 0..6 {
        world.want(&format!("a{at}"), 1);
    }
    assert_eq!(world.state("a5"), PlacementState::Coming);
    world.restart(true);
    assert_eq!(world.state("a5"), PlacementState::Full);
}

/// Guards against old reports and list entries that bring back the state of an earlier incarnation.
#[test]
fn late_news_of_an_earlier_start_change_nothing() {
    let mut world = World::new(1, 0);
    world.run(ms(3_000));
    world.want("a1", 1);
    world.run(ms(1_000));
    let old_report = world.engine.report();
    world.restart(true);
    let earlier = TargetStart::from_unix_ms(world.engine.incarnation - 1);
    assert_eq!(world.allocator.on_incarnation(Some(earlier), world.now), []);
    let actions = world.allocator.on_tick(world.now);
    assert!(
        actions.contains(&AllocatorAction::RequestReport),
        "{actions:?}"
    );
    let actions = world.allocator.on_report(Some(old_report), world.now);
    world.apply(actions);
    assert_eq!(world.allocator.adapters().len(), 0);
    world.run(ms(3_000));
    assert!(world.engine.model);
}

/// Guards against an unanswered order that takes effect after a restart, once the new sequence reaches its number, and
/// takes a slot given to another adapter. The simulated engine asserts the limit.
#[rstest]
#[case::the_list_tells(true)]
#[case::only_its_report_tells(false)]
fn an_engine_that_starts_anew_is_never_told_to_hold_too_much(#[case] is_listed: bool) {
    let mut served = 0;
    for seed in 0..60 {
        let unanswered = [10, 30, 50][seed as usize % 3];
        let mut world = World::new(seed, unanswered);
        world.run(ms(3_000));
        for step in 0..300 {
            let name = format!("a{}", world.rng.random_range(0..12u32));
            let mut started = Vec::new();
            if world.request(&name, 1) {
                served += 1;
                started.push(name);
            }
            if step % 2 == 0 {
                world.report_usage(&started);
            }
            if world.rng.random_range(0..30) == 0 {
                world.restart(is_listed);
            }
            let pause = ms(world.rng.random_range(20..200));
            world.run(pause);
        }
    }
    assert!(served > 2_000, "{served} of 18,000");
}

/// Guards against a new holder that ignores the loads ordered by the previous one, and overloads the weight store.
#[test]
fn loads_that_a_holder_before_has_ordered_count_for_the_limit() {
    let shared = SharedAllocatorState::default();
    let mut world = World::with_shared_state(1, 0, shared.clone());
    world.engine.model = true;
    for name in ["a1", "a2"] {
        let over = world.now + ms(2_000);
        world.engine.coming.insert(name.to_string(), (1, over));
    }
    world.run(ms(150));
    assert_eq!(world.allocator.adapters().len(), 2);
    assert!(!shared.limiter.borrow().has_room());
    world.run(ms(2_500));
    assert_eq!(world.engine.held.len(), 2);
    assert!(shared.limiter.borrow().has_room());
}
