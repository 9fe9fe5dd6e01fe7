use {
    super::{
        AdapterPlace, EngineLoads, EngineUse, LoadMemory, PlaceState, SharedLoadLimiter,
        load_limiter::LOAD_TIME,
    },
    crate::{
        connection::datagram::{EngineQuery, Placement, PlacementState, Usage, Want},
        formats::{OrderKind, OrderReply, TargetReport},
        version::routing::EngineSpec,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Adapters that may be on their way to one engine at once, as the platform's pages say.
const MAX_COMING: usize = 4;

/// Time that an adapter takes which the engine held lately.
const RELOAD_TIME: Duration = Duration::from_millis(27);

/// Pause before a load that was found not to be over is looked at again, as a share of its time so far.
const LOOK_SHARE: f64 = 0.08;

const LEAST_LOOK_PAUSE: Duration = Duration::from_millis(14);

/// A load that would have to wait for longer than this is better ordered at another engine.
const MOST_QUEUE: Duration = Duration::from_millis(900);

/// A load that is not over after so long is looked up in the engine's report.
const LOAD_OVERDUE: Duration = Duration::from_millis(1500);

/// An adapter is dropped only if nobody has used it for this time, for each place of its engine: hosts
/// tell of use with a delay, and where places are few each is needed sooner.
const IDLE_PER_PLACE: Duration = Duration::from_millis(43);

/// No adapter is dropped that was used less long ago than this.
const LEAST_IDLE: Duration = Duration::from_millis(430);

/// An adapter that a host has asked about is not dropped for so long: a request may be on its way.
const QUERY_GUARD: Duration = Duration::from_millis(150);

/// Places that are kept free, so that a load needs not wait for a drop.
const FREE_PLACES: usize = 1;

/// Adapters that an engine is thought to remember, as a multiple of its places.
const REMEMBERED_PER_PLACE: usize = 6;

/// Reports are this old when they arrive, at the most.
const REPORT_LAG: Duration = Duration::from_millis(250);

/// Sends of one order that gets no answer, before the engine's report is asked for.
const MAX_TRIES: u32 = 4;

/// Pause before a report is asked for again that did not come.
const REPORT_RETRY: Duration = Duration::from_millis(500);

/// Requests of this rank and those behind it are the least urgent.
const LEAST_URGENT: u32 = 2;

/// An adapter waits so much longer for each rank of urgency that its requests lack.
const RANK_HANDICAP: Duration = Duration::from_millis(100);

/// Each further request that waits for an adapter counts as if the first had come so much earlier.
const WAITING_START: Duration = Duration::from_millis(50);

/// Further requests that count for one adapter, at the most.
const MOST_WAITING: u32 = 8;

const MOST_START: Duration = Duration::from_millis(400);

/// Pause before a base model is ordered again.
const MODEL_RETRY: Duration = Duration::from_secs(2);

/// Why an order is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderPurpose {
    /// Something is to change at the engine.
    Change,
    /// A load is ordered again only to learn whether it is over; engines take that for no new order.
    Look,
}

/// An order as the desk wants it; whoever sends it adds the holder and the fence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeskOrder {
    pub purpose: OrderPurpose,
    pub kind: OrderKind,
    pub model: String,
    pub adapter: Option<String>,
    pub version: Option<u64>,
    pub expected_sequence: u64,
    /// Why, for logs.
    pub reason: &'static str,
    /// How often it was sent, this time included.
    pub tries: u32,
}

/// What the desk wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum DeskAction {
    Order(DeskOrder),
    AskReport,
    /// Tell one host, which asked.
    Tell {
        host: SocketAddr,
        placement: Placement,
    },
    /// Tell every host, or at least those that may send requests for the adapter.
    Announce {
        interested: Vec<SocketAddr>,
        placement: Placement,
    },
    /// A load that was ordered is over, after this time; for logs.
    LoadOver {
        adapter: String,
        time: Duration,
    },
}

/// An adapter that somebody waits for and that is not ordered yet.
#[derive(Debug, Clone)]
struct Wish {
    version: u64,
    /// There is a copy elsewhere.
    spare: bool,
    priority: u32,
    since: Instant,
    /// Requests that wait at each host.
    waiting: BTreeMap<SocketAddr, u32>,
}

impl Wish {
    /// The first in this order is loaded first: by age, with a start for urgent requests and for
    /// adapters that many requests wait for.
    fn rank(&self) -> WishRank {
        let requests: u32 = self.waiting.values().sum();
        let others = requests.saturating_sub(1).min(MOST_WAITING);
        let handicap = RANK_HANDICAP * self.priority.min(LEAST_URGENT);
        let start = WAITING_START * others;
        WishRank {
            spare: self.spare,
            due: self.since + MOST_START + handicap - start,
        }
    }
}

/// Place of a wish among those of all engines of this host, the first to be loaded first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WishRank {
    spare: bool,
    due: Instant,
}

/// Decides the orders to one engine: one at a time, each bound to the number of orders before it.
pub struct EngineDesk {
    target: String,
    spec: EngineSpec,
    /// The base model that the engine holds.
    model: Option<String>,
    places: BTreeMap<String, AdapterPlace>,
    /// Room for adapters beside the base model.
    room: usize,
    wishes: HashMap<String, Wish>,
    memory: LoadMemory,
    /// Loads from the weight store of all engines of this host.
    limiter: SharedLoadLimiter,
    /// Newest version of adapters that have more than one.
    newest: HashMap<String, u64>,
    /// Orders that the engine has taken; `None` until a report told.
    sequence: Option<u64>,
    /// The order whose answer is awaited.
    under_way: Option<DeskOrder>,
    /// An order without an answer: it may be carried out while the sequence stays as it was.
    unsettled: Option<DeskOrder>,
    report_asked: Option<Instant>,
    report_due: Option<Instant>,
    model_not_before: Instant,
    /// What runs there.
    usage: EngineUse,
}

impl EngineDesk {
    pub fn new(
        target: &str,
        spec: EngineSpec,
        limiter: SharedLoadLimiter,
        now: Instant,
    ) -> Self {
        let memory = LoadMemory::new(spec.adapter_slots * REMEMBERED_PER_PLACE);
        Self {
            target: target.to_string(),
            spec,
            model: None,
            places: BTreeMap::new(),
            room: 0,
            wishes: HashMap::new(),
            memory,
            limiter,
            newest: HashMap::new(),
            sequence: None,
            under_way: None,
            unsettled: None,
            report_asked: None,
            report_due: Some(now),
            model_not_before: now,
            usage: EngineUse::default(),
        }
    }

    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// The configuration names other sizes.
    pub fn set_spec(
        &mut self,
        spec: EngineSpec,
    ) {
        self.spec = spec;
        self.count_room();
    }

    pub fn places(&self) -> &BTreeMap<String, AdapterPlace> {
        &self.places
    }

    /// What runs there.
    pub fn usage(&self) -> &EngineUse {
        &self.usage
    }

    /// The first of the adapters that wait here to be ordered.
    pub fn first_waiting(&self) -> Option<WishRank> {
        self.wishes.values().map(Wish::rank).min()
    }

    /// When the desk has something to decide without being told anything.
    pub fn next_due(&self) -> Option<Instant> {
        if self.under_way.is_some() {
            return None;
        }
        let looks = self.places.values().filter_map(|place| match place.state {
            PlaceState::Coming { due, .. } => Some(due),
            _ => None,
        });
        let reports = self.report_due.filter(|_| self.report_asked.is_none());
        looks.chain(reports).min()
    }

    /// A newer version of an adapter was named; `adapter` is `MODEL/NAME`.
    pub fn on_newest(
        &mut self,
        adapter: &str,
        version: u64,
    ) {
        let newest = self.newest.entry(adapter.to_string()).or_insert(version);
        *newest = (*newest).max(version);
    }

    /// The engine's report was asked for at `asked`; `None` if none came.
    pub fn on_report(
        &mut self,
        report: Option<TargetReport>,
        now: Instant,
    ) -> Vec<DeskAction> {
        let asked = self.report_asked.take();
        let Some(report) = report else {
            self.report_due = Some(now + REPORT_RETRY);
            return Vec::new();
        };
        // An order since then would make the report contradict what is known.
        if self.under_way.is_some() || asked.is_none() {
            self.report_due = Some(now + REPORT_LAG);
            return Vec::new();
        }
        self.sequence = Some(report.sequence);
        // Once the engine has taken another order, one from before is void.
        self.unsettled = self
            .unsettled
            .take()
            .filter(|order| order.expected_sequence == report.sequence);
        self.model = report.models.first().map(|model| model.name.clone());
        self.take_places(&report, now);
        self.count_room();
        if report.busy || !report.coming.is_empty() {
            self.report_due = Some(now + LOAD_OVERDUE);
        }
        self.next_orders(now)
    }

    /// A host asks for an adapter.
    pub fn on_want(
        &mut self,
        host: SocketAddr,
        want: &Want,
        now: Instant,
    ) -> Vec<DeskAction> {
        let version = self.wanted_version(want);
        let Some(place) = self.places.get_mut(&want.adapter) else {
            return self.wish(host, want, version, now);
        };
        place.interested.insert(host);
        place.last_used = now;
        if place.version < version || place.state == PlaceState::Going {
            return self.wish(host, want, version, now);
        }
        vec![self.tell(host, &want.adapter, now)]
    }

    /// A host asks where an adapter stands, and may send a request for it right away.
    pub fn on_query(
        &mut self,
        host: SocketAddr,
        query: &EngineQuery,
        now: Instant,
    ) -> Option<Placement> {
        self.usage.on_query(host, query, now);
        let adapter = query.adapter.as_str();
        if adapter.is_empty() {
            return None;
        }
        let guarded = now.checked_sub(self.idle_time().saturating_sub(QUERY_GUARD));
        if let Some(place) = self.places.get_mut(adapter) {
            place.interested.insert(host);
            place.last_used = place.last_used.max(guarded.unwrap_or(place.last_used));
            return Some(self.placement(adapter, now));
        }
        let mut placement = self.placement(adapter, now);
        if let Some(wish) = self.wishes.get(adapter) {
            placement.version = wish.version;
            placement.state = PlacementState::Coming as i32;
            placement.due_ms = millis(self.queue_time());
        } else if self.memory.contains(adapter, self.newest_version(adapter)) {
            placement.version = self.newest_version(adapter);
            placement.state = PlacementState::Remembered as i32;
        }
        Some(placement)
    }

    /// The engine said that it does not hold an adapter that it should hold.
    pub fn on_missing(
        &mut self,
        adapter: &str,
        now: Instant,
    ) {
        let Some(place) = self.places.get(adapter) else {
            return;
        };
        if place.state == PlaceState::Held {
            self.report_due.get_or_insert(now);
        }
    }

    /// A host tells what it sends to the engine.
    pub fn on_usage(
        &mut self,
        host: SocketAddr,
        usage: &Usage,
        now: Instant,
    ) {
        self.usage.on_usage(host, usage);
        for (adapter, place) in &mut self.places {
            match usage.adapters.iter().find(|used| used.adapter == *adapter) {
                Some(used) => place.on_usage(host, used.in_flight, used.started, now),
                None => place.on_unused(host),
            }
        }
    }

    /// A host is gone, and its requests with it.
    pub fn on_host_gone(
        &mut self,
        host: SocketAddr,
    ) {
        self.usage.on_host_gone(host);
        for place in self.places.values_mut() {
            place.on_host_gone(host);
        }
    }

    /// The order under way was answered; `None` if it was not.
    pub fn on_order_end(
        &mut self,
        reply: Option<OrderReply>,
        now: Instant,
    ) -> Vec<DeskAction> {
        let Some(order) = self.under_way.take() else {
            return Vec::new();
        };
        match reply {
            Some(reply @ (OrderReply::Accepted | OrderReply::Done)) => match order.purpose {
                OrderPurpose::Change => self.on_order_taken(&order, reply, now),
                OrderPurpose::Look => self.on_look(&order, reply, now),
            },
            Some(_) => {
                self.forget_ordered(&order);
                self.learn_anew(now);
                Vec::new()
            }
            None => self.on_unanswered(order, now),
        }
    }

    /// An order without an answer may be carried out at any time, as long as the engine has taken no
    /// other since. The same order again settles that: if it is accepted, the first is void.
    fn on_unanswered(
        &mut self,
        order: DeskOrder,
        now: Instant,
    ) -> Vec<DeskAction> {
        if order.purpose == OrderPurpose::Look {
            self.postpone_look(&order, now);
            return Vec::new();
        }
        self.unsettled = Some(order.clone());
        if order.tries >= MAX_TRIES {
            self.learn_anew(now);
            return Vec::new();
        }
        let again = DeskOrder {
            tries: order.tries + 1,
            ..order
        };
        self.under_way = Some(again.clone());
        vec![DeskAction::Order(again)]
    }

    fn postpone_look(
        &mut self,
        order: &DeskOrder,
        now: Instant,
    ) {
        let adapter = key(&order.model, order.adapter.as_deref().unwrap_or_default());
        let Some(place) = self.places.get_mut(&adapter) else {
            return;
        };
        if let PlaceState::Coming { since, .. } = place.state {
            let due = now + LEAST_LOOK_PAUSE;
            place.state = PlaceState::Coming { since, due };
        }
    }

    /// The order was not sent after all.
    pub fn on_order_withheld(&mut self) {
        if let Some(order) = self.under_way.take() {
            self.forget_ordered(&order);
        }
    }

    /// Passes time.
    pub fn on_tick(
        &mut self,
        now: Instant,
    ) -> Vec<DeskAction> {
        self.next_orders(now)
    }

    /// The engine told whether a load is over.
    fn on_look(
        &mut self,
        order: &DeskOrder,
        reply: OrderReply,
        now: Instant,
    ) -> Vec<DeskAction> {
        let adapter = key(&order.model, order.adapter.as_deref().unwrap_or_default());
        let mut actions = Vec::new();
        if let Some(place) = self.places.get_mut(&adapter) {
            let since = match place.state {
                PlaceState::Coming { since, .. } => since,
                _ => now,
            };
            let passed = now.saturating_duration_since(since);
            if reply == OrderReply::Done {
                place.state = PlaceState::Held;
                // Those who waited for it send their requests now.
                place.last_used = now;
                self.note_load_time(passed);
                actions.push(DeskAction::LoadOver {
                    adapter: adapter.clone(),
                    time: passed,
                });
                actions.extend(self.announce(&adapter, now));
            } else {
                let pause = passed.mul_f64(LOOK_SHARE).max(LEAST_LOOK_PAUSE);
                place.state = PlaceState::Coming {
                    since,
                    due: now + pause,
                };
            }
        }
        actions.extend(self.next_orders(now));
        actions
    }

    /// Loads of what the engine held lately tell nothing of the weight store.
    fn note_load_time(
        &mut self,
        time: Duration,
    ) {
        if time >= LOAD_TIME.mul_f64(0.8) {
            self.limiter.borrow_mut().on_load(time);
        }
    }

    /// Tells the limiter what is on its way and what waits.
    fn tell_limiter(&self) {
        let coming = self.places.values();
        let loads = EngineLoads {
            coming: coming.filter(|place| place.comes_from_store()).count(),
            waiting: self.wishes.values().filter(|wish| !wish.spare).count(),
        };
        self.limiter.borrow_mut().set(&self.target, loads);
    }

    fn on_order_taken(
        &mut self,
        order: &DeskOrder,
        reply: OrderReply,
        now: Instant,
    ) -> Vec<DeskAction> {
        // An order from before that has no answer expected another sequence: it is void now.
        self.unsettled = None;
        let counts = reply == OrderReply::Accepted || order.kind == OrderKind::Unload;
        if counts {
            self.sequence = self.sequence.map(|sequence| sequence + 1);
        }
        let mut actions = Vec::new();
        match (&order.adapter, order.kind) {
            (None, OrderKind::Load) => self.report_due = Some(now + LOAD_OVERDUE),
            (None, OrderKind::Unload) => self.learn_anew(now),
            (Some(adapter), OrderKind::Load) => {
                let key = key(&order.model, adapter);
                actions.extend(self.on_load_taken(&key, order.version.unwrap_or(1), reply, now));
            }
            (Some(adapter), OrderKind::Unload) => {
                let key = key(&order.model, adapter);
                if reply == OrderReply::Done {
                    self.places.remove(&key);
                } else {
                    self.report_due.get_or_insert(now + LOAD_OVERDUE);
                }
            }
        }
        actions.extend(self.next_orders(now));
        actions
    }

    fn on_load_taken(
        &mut self,
        adapter: &str,
        version: u64,
        reply: OrderReply,
        now: Instant,
    ) -> Vec<DeskAction> {
        let time = match self.memory.contains(adapter, version) {
            true => RELOAD_TIME,
            // Looked at from the earliest end on: who looks late finds every load slow.
            false => LOAD_TIME,
        };
        self.memory.note(adapter, version);
        let Some(place) = self.places.get_mut(adapter) else {
            return Vec::new();
        };
        place.state = match reply {
            OrderReply::Done => PlaceState::Held,
            _ => PlaceState::Coming {
                since: now,
                due: now + time,
            },
        };
        self.announce(adapter, now).into_iter().collect()
    }

    /// Tells where an adapter stands.
    fn announce(
        &self,
        adapter: &str,
        now: Instant,
    ) -> Option<DeskAction> {
        let place = self.places.get(adapter)?;
        Some(DeskAction::Announce {
            interested: place.interested.iter().copied().collect(),
            placement: self.placement(adapter, now),
        })
    }

    /// Puts an adapter on the list of those to be loaded.
    fn wish(
        &mut self,
        host: SocketAddr,
        want: &Want,
        version: u64,
        now: Instant,
    ) -> Vec<DeskAction> {
        let wish = self.wishes.entry(want.adapter.clone()).or_insert(Wish {
            version,
            spare: want.spare,
            priority: want.priority,
            since: now,
            waiting: BTreeMap::new(),
        });
        wish.version = wish.version.max(version);
        wish.priority = wish.priority.min(want.priority);
        wish.spare &= want.spare;
        wish.waiting.insert(host, want.waiting.max(1));
        let mut actions = self.next_orders(now);
        if self.wishes.contains_key(&want.adapter) {
            // It waits for other orders, or for a place.
            let queue_time = self.queue_time();
            let too_busy = want.spare && self.limiter.borrow().is_busy();
            let busy = too_busy || queue_time > MOST_QUEUE;
            let state = match !busy && self.has_prospect(&want.adapter, now) {
                true => PlacementState::Coming,
                false => PlacementState::Full,
            };
            if state == PlacementState::Full {
                self.wishes.remove(&want.adapter);
                self.tell_limiter();
            }
            let placement = Placement {
                target: self.target.clone(),
                adapter: want.adapter.clone(),
                version,
                state: state as i32,
                due_ms: millis(queue_time),
                uses: 0,
            };
            actions.push(DeskAction::Tell { host, placement });
        }
        actions
    }

    /// Time after which a load that is asked for now should be over.
    fn queue_time(&self) -> Duration {
        let of_host = self.limiter.borrow().queue_time();
        let coming = self.places.values();
        let coming = coming.filter(|place| matches!(place.state, PlaceState::Coming { .. }));
        let here = (coming.count() + self.wishes.len()) as f64 / MAX_COMING as f64;
        let load_time = self.limiter.borrow().load_time();
        of_host.max(load_time.mul_f64(here.max(1.0)))
    }

    /// True if an adapter that waits can be ordered before long.
    fn has_prospect(
        &self,
        adapter: &str,
        now: Instant,
    ) -> bool {
        let fits = self
            .model
            .as_deref()
            .and_then(|model| name_of(adapter, model));
        if self.sequence.is_none() || fits.is_none() {
            return false;
        }
        let replaces = self.places.get(adapter);
        match replaces {
            Some(place) => place.in_flight() == 0,
            None => self.places.len() < self.room || self.victim(now).is_some(),
        }
    }

    /// The next order, if one can be sent, and what must be learnt first.
    fn next_orders(
        &mut self,
        now: Instant,
    ) -> Vec<DeskAction> {
        self.tell_limiter();
        let actions = self.decide_orders(now);
        self.tell_limiter();
        actions
    }

    fn decide_orders(
        &mut self,
        now: Instant,
    ) -> Vec<DeskAction> {
        let mut actions = Vec::new();
        if self.under_way.is_some() {
            return actions;
        }
        if let Some(due) = self.report_due
            && now >= due
            && self.report_asked.is_none()
        {
            self.report_due = None;
            self.report_asked = Some(now);
            actions.push(DeskAction::AskReport);
        }
        if self.report_asked.is_some() {
            return actions;
        }
        let Some(sequence) = self.sequence else {
            self.report_due.get_or_insert(now + REPORT_LAG);
            return actions;
        };
        if let Some(order) = self.choose(sequence, now) {
            if order.kind == OrderKind::Unload {
                // Hosts hear of it before the engine does, and send nothing more for it.
                actions.extend(self.announce_order(&order, now));
            }
            self.under_way = Some(order.clone());
            actions.push(DeskAction::Order(order));
        }
        actions
    }

    fn announce_order(
        &self,
        order: &DeskOrder,
        now: Instant,
    ) -> Option<DeskAction> {
        let adapter = order.adapter.as_deref()?;
        self.announce(&key(&order.model, adapter), now)
    }

    fn choose(
        &mut self,
        sequence: u64,
        now: Instant,
    ) -> Option<DeskOrder> {
        let Some(model) = self.model.clone() else {
            return self.choose_model(sequence, now);
        };
        if let Some(order) = self.choose_look(&model, sequence, now) {
            return Some(order);
        }
        if let Some(order) = self.choose_load(&model, sequence, now) {
            return Some(order);
        }
        self.choose_drop(&model, sequence, now)
    }

    /// An empty engine gets the first base model that fits.
    fn choose_model(
        &mut self,
        sequence: u64,
        now: Instant,
    ) -> Option<DeskOrder> {
        if now < self.model_not_before {
            return None;
        }
        self.model_not_before = now + MODEL_RETRY;
        let fits = self
            .spec
            .models
            .iter()
            .find(|model| model.weights_mb <= self.spec.weights_mb)?;
        Some(DeskOrder {
            purpose: OrderPurpose::Change,
            kind: OrderKind::Load,
            model: fits.name.clone(),
            adapter: None,
            version: None,
            expected_sequence: sequence,
            reason: "empty",
            tries: 1,
        })
    }

    /// The load that should be over by now.
    fn choose_look(
        &self,
        model: &str,
        sequence: u64,
        now: Instant,
    ) -> Option<DeskOrder> {
        let due = |place: &AdapterPlace| match place.state {
            PlaceState::Coming { due, .. } if due <= now => Some(due),
            _ => None,
        };
        let (adapter, place, _) = self
            .places
            .iter()
            .filter_map(|(adapter, place)| Some((adapter, place, due(place)?)))
            .min_by_key(|(_, _, due)| *due)?;
        Some(DeskOrder {
            purpose: OrderPurpose::Look,
            kind: OrderKind::Load,
            model: model.to_string(),
            adapter: Some(name_of(adapter, model)?.to_string()),
            version: Some(place.version),
            expected_sequence: sequence,
            reason: "look",
            tries: 1,
        })
    }

    /// The most urgent wish for which there is a place.
    fn choose_load(
        &mut self,
        model: &str,
        sequence: u64,
        now: Instant,
    ) -> Option<DeskOrder> {
        let coming = self
            .places
            .values()
            .filter(|place| matches!(place.state, PlaceState::Coming { .. }))
            .count();
        if coming + usize::from(self.unsettled.is_some()) >= MAX_COMING {
            return None;
        }
        let free = self.free_places();
        let crowded = !self.limiter.borrow().has_room();
        let next = self
            .wishes
            .iter()
            .filter(|(adapter, _)| name_of(adapter, model).is_some())
            .filter(|(adapter, wish)| !crowded || self.memory.contains(adapter, wish.version))
            .filter(|(adapter, _)| match self.places.get(*adapter) {
                Some(place) => place.in_flight() == 0 && place.state == PlaceState::Held,
                None => free > 0,
            })
            .min_by_key(|(_, wish)| wish.rank())
            .map(|(adapter, _)| adapter.clone())?;
        let name = name_of(&next, model)?.to_string();
        let wish = self.wishes.remove(&next)?;
        let mut place = AdapterPlace::new(
            wish.version,
            PlaceState::Coming {
                since: now,
                due: now + LOAD_TIME,
            },
            now,
        );
        place.interested.extend(wish.waiting.into_keys());
        place.from_store = !self.memory.contains(&next, wish.version);
        let reason = match !place.from_store {
            true => "held_lately",
            false if wish.spare => "spare",
            false => "missing",
        };
        self.places.insert(next, place);
        Some(DeskOrder {
            purpose: OrderPurpose::Change,
            kind: OrderKind::Load,
            model: model.to_string(),
            adapter: Some(name),
            version: Some(wish.version),
            expected_sequence: sequence,
            reason,
            tries: 1,
        })
    }

    /// Drops what is least used when places run short, and old versions when they are idle.
    fn choose_drop(
        &mut self,
        model: &str,
        sequence: u64,
        now: Instant,
    ) -> Option<DeskOrder> {
        let short = self.free_places() < FREE_PLACES + self.wishes.len().min(MAX_COMING);
        let (victim, reason) = match self.stale_and_idle(now) {
            Some(stale) => (stale, "old_version"),
            None if short => (self.victim(now)?, "room"),
            None => return None,
        };
        let name = name_of(&victim, model)?.to_string();
        self.places.get_mut(&victim)?.state = PlaceState::Going;
        Some(DeskOrder {
            purpose: OrderPurpose::Change,
            kind: OrderKind::Unload,
            model: model.to_string(),
            adapter: Some(name),
            version: None,
            expected_sequence: sequence,
            reason,
            tries: 1,
        })
    }

    fn free_places(&self) -> usize {
        let unsettled = usize::from(self.unsettled.as_ref().is_some_and(|order| {
            let adapter = order.adapter.as_deref().unwrap_or_default();
            order.kind == OrderKind::Load && !self.places.contains_key(&key(&order.model, adapter))
        }));
        self.room.saturating_sub(self.places.len() + unsettled)
    }

    /// The idle adapter that was used least.
    fn victim(
        &self,
        now: Instant,
    ) -> Option<String> {
        self.places
            .iter()
            .filter(|(_, place)| self.is_idle(place, now))
            .min_by(|(_, a), (_, b)| {
                let uses = a.recent_uses(now).total_cmp(&b.recent_uses(now));
                uses.then(a.last_used.cmp(&b.last_used))
            })
            .map(|(adapter, _)| adapter.clone())
    }

    fn stale_and_idle(
        &self,
        now: Instant,
    ) -> Option<String> {
        self.places
            .iter()
            .find(|(adapter, place)| {
                let newest = self.newest.get(*adapter).copied().unwrap_or_default();
                place.version < newest && self.is_idle(place, now)
            })
            .map(|(adapter, _)| adapter.clone())
    }

    fn idle_time(&self) -> Duration {
        let places = u32::try_from(self.spec.adapter_slots).unwrap_or(u32::MAX);
        IDLE_PER_PLACE.saturating_mul(places).max(LEAST_IDLE)
    }

    fn is_idle(
        &self,
        place: &AdapterPlace,
        now: Instant,
    ) -> bool {
        place.state == PlaceState::Held
            && place.in_flight() == 0
            && now.saturating_duration_since(place.last_used) >= self.idle_time()
    }

    fn wanted_version(
        &self,
        want: &Want,
    ) -> u64 {
        self.newest_version(&want.adapter).max(want.version)
    }

    fn newest_version(
        &self,
        adapter: &str,
    ) -> u64 {
        self.newest.get(adapter).copied().unwrap_or(1)
    }

    /// What was ordered did not come about.
    fn forget_ordered(
        &mut self,
        order: &DeskOrder,
    ) {
        let Some(adapter) = &order.adapter else {
            return;
        };
        if order.purpose == OrderPurpose::Look {
            return;
        }
        let key = key(&order.model, adapter);
        match order.kind {
            OrderKind::Load => {
                self.places.remove(&key);
            }
            OrderKind::Unload => {
                if let Some(place) = self.places.get_mut(&key) {
                    place.state = PlaceState::Held;
                }
            }
        }
    }

    /// The engine's report is asked for, once it shows what was just done.
    fn learn_anew(
        &mut self,
        now: Instant,
    ) {
        self.sequence = None;
        self.report_due = Some(now + REPORT_LAG);
    }

    /// Takes over what a report says; what is known besides is kept.
    fn take_places(
        &mut self,
        report: &TargetReport,
        now: Instant,
    ) {
        let mut old = std::mem::take(&mut self.places);
        for model in &report.models {
            for held in &model.adapters {
                let key = key(&model.name, &held.name);
                self.memory.note(&key, held.version);
                let mut place = old
                    .remove(&key)
                    .unwrap_or_else(|| AdapterPlace::new(held.version, PlaceState::Held, now));
                place.version = held.version;
                if place.state != PlaceState::Going {
                    place.state = PlaceState::Held;
                }
                self.places.insert(key, place);
            }
        }
        for (model, name, version) in &report.coming {
            let key = key(model, name);
            let coming = PlaceState::Coming {
                since: now,
                due: now + LOAD_TIME,
            };
            let mut place = self
                .places
                .remove(&key)
                .or_else(|| old.remove(&key))
                .unwrap_or_else(|| AdapterPlace::new(*version, coming, now));
            place.version = *version;
            if !matches!(place.state, PlaceState::Coming { .. }) {
                place.state = coming;
            }
            self.places.insert(key, place);
        }
    }

    fn count_room(&mut self) {
        let model = self.model.as_deref().and_then(|name| self.spec.model(name));
        self.room = model.map_or(0, |model| self.spec.adapter_room(model));
    }

    /// Where an adapter stands, as told to a host.
    fn tell(
        &self,
        host: SocketAddr,
        adapter: &str,
        now: Instant,
    ) -> DeskAction {
        DeskAction::Tell {
            host,
            placement: self.placement(adapter, now),
        }
    }

    fn placement(
        &self,
        adapter: &str,
        now: Instant,
    ) -> Placement {
        let place = self.places.get(adapter);
        let (state, due) = match place.map(|place| place.state) {
            Some(PlaceState::Held) => (PlacementState::Ready, Duration::ZERO),
            Some(PlaceState::Coming { due, .. }) => {
                (PlacementState::Coming, due.saturating_duration_since(now))
            }
            Some(PlaceState::Going) | None => (PlacementState::Absent, Duration::ZERO),
        };
        Placement {
            target: self.target.clone(),
            adapter: adapter.to_string(),
            version: place.map_or(0, |place| place.version),
            state: state as i32,
            due_ms: millis(due),
            uses: place.map_or(0, |place| place.recent_uses(now).round() as u32),
        }
    }
}

/// `MODEL/NAME`, as requests name an adapter.
fn key(
    model: &str,
    adapter: &str,
) -> String {
    format!("{model}/{adapter}")
}

fn name_of<'a>(
    key: &'a str,
    model: &str,
) -> Option<&'a str> {
    key.strip_prefix(model)?.strip_prefix('/')
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
