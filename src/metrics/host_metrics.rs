use {
    super::{
        CallLabels, CopyLabels, FramingLabels, KindLabels, LatenessLabels, OrderLabels,
        OutcomeLabels, PoisonLabels, StateLabels, TransferLabels, WaitLabels,
    },
    prometheus_client::{
        encoding::text::encode,
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::sync::{OnceLock, atomic::AtomicU64},
};

/// Bounds of times in seconds: from a plain call to the end of a caller's patience.
const TIMES: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0, 10.0,
];

/// A page of memory, in bytes; the same on every machine that this runs on.
const PAGE: u64 = 4096;

/// Bounds of ages in seconds: those of what is believed are held against 2 to 5 s.
const AGES: &[f64] = &[
    0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 1.75, 2.0, 2.5, 3.0, 3.5, 4.0, 5.0,
];

type Seconds = Gauge<f64, AtomicU64>;

type Amount = Gauge<f64, AtomicU64>;

/// All figures of one host.
pub struct HostMetrics {
    registry: Registry,
    pub requests: Family<OutcomeLabels, Counter>,
    pub answers: Family<LatenessLabels, Counter>,
    pub first_event: Family<KindLabels, Histogram>,
    pub longest_pause: Family<KindLabels, Histogram>,
    pub waits: Family<WaitLabels, Histogram>,
    pub take_ups: Family<StateLabels, Counter>,
    pub stream_origins: Gauge,
    pub surplus_answers: Counter,
    pub broken_streams: Family<FramingLabels, Counter>,
    pub belief_age: Family<CopyLabels, Histogram>,
    pub resends: Family<WaitLabels, Counter>,
    pub rejections: Family<WaitLabels, Counter>,
    pub forwards: Family<StateLabels, Counter>,
    pub hedges: Family<StateLabels, Counter>,
    pub version_starts: Family<StateLabels, Counter>,
    pub cancelled_sends: Counter,
    pub repeats: Family<StateLabels, Counter>,
    pub repeat_allowance: Family<StateLabels, Amount>,
    pub repeat_loans: Family<StateLabels, Counter>,
    pub quota_asks: Family<StateLabels, Counter>,
    pub quota_charges: Family<StateLabels, Counter>,
    pub places: Family<StateLabels, Counter>,
    pub target_notices: Family<StateLabels, Counter>,
    pub memory_capacity: Gauge,
    pub memory_held: Family<StateLabels, Gauge>,
    pub memory_rejected: Family<StateLabels, Counter>,
    pub memory_cut: Family<StateLabels, Counter>,
    pub permit_asks: Family<StateLabels, Counter>,
    pub permits: Family<StateLabels, Counter>,
    pub known_hosts: Gauge,
    pub store_calls: Family<CallLabels, Counter>,
    pub orders: Family<OrderLabels, Counter>,
    pub load_time: Histogram,
    pub wants_turned_away: Family<WaitLabels, Counter>,
    pub prompt_tokens: Counter,
    pub prompt_tokens_cached: Counter,
    pub hosts: Family<StateLabels, Gauge>,
    pub targets: Family<StateLabels, Gauge>,
    pub services_unreached: Gauge,
    pub poison: Family<StateLabels, Gauge>,
    pub poison_rejections: Family<PoisonLabels, Counter>,
    pub copy_age: Family<CopyLabels, Seconds>,
    pub copy_transfers: Family<TransferLabels, Counter>,
    pub copy_received: Family<TransferLabels, Counter>,
    pub copy_sent: Family<CopyLabels, Counter>,
    pub config_version: Gauge,
    pub lease_held: Gauge,
    pub engines_held: Gauge,
    pub adapters_held: Gauge,
    pub datagrams: Family<StateLabels, Counter>,
    pub connections: Family<StateLabels, Gauge>,
    pub lines_lost: Family<StateLabels, Counter>,
    pub control_wakes: Family<KindLabels, Counter>,
    pub control_busy_us: Family<KindLabels, Counter>,
    memory: Gauge,
}

static METRICS: OnceLock<HostMetrics> = OnceLock::new();

/// The figures of this process.
pub fn metrics() -> &'static HostMetrics {
    METRICS.get_or_init(HostMetrics::new)
}

impl HostMetrics {
    fn new() -> Self {
        let mut registry = Registry::with_prefix("coveproxy");
        let times = || Histogram::new(TIMES.iter().copied());
        let ages = || Histogram::new(AGES.iter().copied());
        let metrics = Self {
            requests: Family::default(),
            answers: Family::default(),
            first_event: Family::new_with_constructor(times),
            longest_pause: Family::new_with_constructor(times),
            waits: Family::new_with_constructor(times),
            take_ups: Family::default(),
            stream_origins: Gauge::default(),
            surplus_answers: Counter::default(),
            broken_streams: Family::default(),
            belief_age: Family::new_with_constructor(ages),
            resends: Family::default(),
            rejections: Family::default(),
            forwards: Family::default(),
            hedges: Family::default(),
            version_starts: Family::default(),
            cancelled_sends: Counter::default(),
            repeats: Family::default(),
            repeat_allowance: Family::default(),
            repeat_loans: Family::default(),
            quota_asks: Family::default(),
            quota_charges: Family::default(),
            places: Family::default(),
            target_notices: Family::default(),
            memory_capacity: Gauge::default(),
            memory_held: Family::default(),
            memory_rejected: Family::default(),
            memory_cut: Family::default(),
            permit_asks: Family::default(),
            permits: Family::default(),
            known_hosts: Gauge::default(),
            store_calls: Family::default(),
            orders: Family::default(),
            load_time: times(),
            wants_turned_away: Family::default(),
            prompt_tokens: Counter::default(),
            prompt_tokens_cached: Counter::default(),
            hosts: Family::default(),
            targets: Family::default(),
            services_unreached: Gauge::default(),
            poison: Family::default(),
            poison_rejections: Family::default(),
            copy_age: Family::default(),
            copy_transfers: Family::default(),
            copy_received: Family::default(),
            copy_sent: Family::default(),
            config_version: Gauge::default(),
            lease_held: Gauge::default(),
            engines_held: Gauge::default(),
            adapters_held: Gauge::default(),
            datagrams: Family::default(),
            connections: Family::default(),
            lines_lost: Family::default(),
            control_wakes: Family::default(),
            control_busy_us: Family::default(),
            memory: Gauge::default(),
            registry: Registry::default(),
        };
        metrics.register(&mut registry);
        Self {
            registry,
            ..metrics
        }
    }

    /// Gauges and counters of what this host believes come first: whoever cuts a long page off after
    /// some kilobytes loses the histograms.
    fn register(
        &self,
        registry: &mut Registry,
    ) {
        self.register_beliefs(registry);
        self.register_copies(registry);
        self.register_process(registry);
        self.register_orders(registry);
        self.register_requests(registry);
        self.register_limits(registry);
        self.register_request_times(registry);
    }

    fn register_beliefs(
        &self,
        registry: &mut Registry,
    ) {
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "copy_age_seconds",
            "Age of this host's copy of a table",
            self.copy_age.clone(),
        );
        registry.register(
            "hosts",
            "Other hosts, by what is believed",
            self.hosts.clone(),
        );
        registry.register(
            "targets",
            "Targets, by what is believed",
            self.targets.clone(),
        );
        registry.register(
            "services_unreached",
            "Services of which this host reaches no target",
            self.services_unreached.clone(),
        );
        registry.register(
            "poison_requests",
            "Requests and parts of prompts that targets ended under, by how they stand",
            self.poison.clone(),
        );
        registry.register(
            "poison_rejections",
            "Requests that were rejected as targets end under them, by what is known to end them",
            self.poison_rejections.clone(),
        );
        registry.register(
            "lease_held",
            "1 while this host may give orders",
            self.lease_held.clone(),
        );
        registry.register(
            "engines_held",
            "Engines that this host gives orders to",
            self.engines_held.clone(),
        );
        registry.register(
            "adapters_held",
            "Adapters at these engines",
            self.adapters_held.clone(),
        );
    }

    fn register_copies(
        &self,
        registry: &mut Registry,
    ) {
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "copy_transfers",
            "Transfers of tables to this host that ended",
            self.copy_transfers.clone(),
        );
        registry.register(
            "copy_received_bytes",
            "Bytes that these transfers brought",
            self.copy_received.clone(),
        );
        registry.register(
            "copy_sent_bytes",
            "Bytes of tables that other hosts were sent",
            self.copy_sent.clone(),
        );
    }

    fn register_process(
        &self,
        registry: &mut Registry,
    ) {
        registry.register(
            "control_wakes",
            "Wakes of the control thread, by what caused them",
            self.control_wakes.clone(),
        );
        registry.register(
            "control_busy_us",
            "Time of the control thread in microseconds, by what woke it",
            self.control_busy_us.clone(),
        );
        registry.register(
            "datagrams",
            "Messages between hosts",
            self.datagrams.clone(),
        );
        registry.register(
            "connections",
            "Connections, open to callers and resting to targets",
            self.connections.clone(),
        );
        registry.register(
            "log_lines_lost",
            "Lines of the log that were not written",
            self.lines_lost.clone(),
        );
        registry.register(
            "resident_memory_bytes",
            "Memory of the process",
            self.memory.clone(),
        );
    }

    fn register_orders(
        &self,
        registry: &mut Registry,
    ) {
        registry.register("orders", "Orders to engines", self.orders.clone());
        registry.register(
            "wants_turned_away",
            "Adapters that hosts asked for and engines held here could not take",
            self.wants_turned_away.clone(),
        );
        registry.register(
            "load_seconds",
            "Time from the order of an adapter until it was there",
            self.load_time.clone(),
        );
    }

    fn register_requests(
        &self,
        registry: &mut Registry,
    ) {
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register(
            "answers",
            "Answers of targets, by the objectives that they missed",
            self.answers.clone(),
        );
        registry.register(
            "resends",
            "Sends of requests beyond the first",
            self.resends.clone(),
        );
        registry.register(
            "take_ups",
            "Streams that callers took up after a break, by what was known of their origin",
            self.take_ups.clone(),
        );
        registry.register(
            "stream_origins",
            "Streams whose origin is recorded here",
            self.stream_origins.clone(),
        );
        registry.register(
            "surplus_answers",
            "Answers of targets that were passed over, as they were not to the request that was due",
            self.surplus_answers.clone(),
        );
        registry.register(
            "broken_streams",
            "Streams that targets broke off, by how their end was told",
            self.broken_streams.clone(),
        );
        registry.register(
            "rejections",
            "Requests that were rejected without having run, as no target could be expected to serve them",
            self.rejections.clone(),
        );
        registry.register(
            "forwards",
            "Requests forwarded to other hosts, as this one reached no target of their service",
            self.forwards.clone(),
        );
        registry.register(
            "hedges",
            "Requests that were also tried elsewhere while their target was silent, by which answer decided",
            self.hedges.clone(),
        );
        registry.register(
            "version_starts",
            "Answers that began, by what was known of their adapter's version then",
            self.version_starts.clone(),
        );
        registry.register(
            "cancelled_sends",
            "Requests that were cancelled at their engine, as the version of their adapter could no longer serve",
            self.cancelled_sends.clone(),
        );
        registry.register(
            "prompt_tokens",
            "Prompt tokens sent to engines",
            self.prompt_tokens.clone(),
        );
        registry.register(
            "prompt_tokens_cached",
            "Those of them that the engine was expected to keep from earlier prompts",
            self.prompt_tokens_cached.clone(),
        );
        registry.register(
            "repeats",
            "Arrivals of requests beyond the first, paid or refused for want of allowance",
            self.repeats.clone(),
        );
        registry.register(
            "repeat_allowance",
            "This host's part of the allowance of repeats, over all services",
            self.repeat_allowance.clone(),
        );
        registry.register(
            "repeat_loans",
            "Loans of the allowance of repeats between hosts",
            self.repeat_loans.clone(),
        );
    }

    fn register_limits(
        &self,
        registry: &mut Registry,
    ) {
        registry.register(
            "quota_asks",
            "Asks whether a customer may use more, by what became of them",
            self.quota_asks.clone(),
        );
        registry.register(
            "quota_charges",
            "Asks that this host answered as it counts a part of the customer's use, by outcome",
            self.quota_charges.clone(),
        );
        registry.register(
            "places",
            "Asks for a place at a plain target that this host answered, by outcome",
            self.places.clone(),
        );
        registry.register(
            "target_notices",
            "What targets newly say of themselves in their answers",
            self.target_notices.clone(),
        );
        registry.register(
            "memory_capacity_bytes",
            "Memory for callers and targets; 0 without a limit",
            self.memory_capacity.clone(),
        );
        registry.register(
            "memory_held_bytes",
            "Memory held for callers and targets, by use, if it is limited",
            self.memory_held.clone(),
        );
        registry.register(
            "memory_rejected",
            "Requests and connections that were rejected for want of memory",
            self.memory_rejected.clone(),
        );
        registry.register(
            "memory_cut",
            "Callers that were cut to free memory or a target, by what they did not do",
            self.memory_cut.clone(),
        );
        registry.register(
            "permit_asks",
            "Asks for leave to send to targets that take only so many requests, by outcome",
            self.permit_asks.clone(),
        );
        registry.register(
            "permits",
            "Asks for such leave that this host answered as it counts, by outcome",
            self.permits.clone(),
        );
        registry.register(
            "known_hosts",
            "Hosts that the extra allowance of repeats is divided by",
            self.known_hosts.clone(),
        );
    }

    fn register_request_times(
        &self,
        registry: &mut Registry,
    ) {
        registry.register(
            "belief_age_seconds",
            "Age of the tables that requests were routed and sent by",
            self.belief_age.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to the answer, or to the first event of a stream",
            self.first_event.clone(),
        );
        registry.register(
            "longest_pause_seconds",
            "Longest pause between two events of a stream, as its target caused it",
            self.longest_pause.clone(),
        );
        registry.register(
            "wait_seconds",
            "Time that answered requests waited before they were sent",
            self.waits.clone(),
        );
    }

    /// The page, in the usual exposition format.
    pub fn page(&self) -> String {
        self.memory.set(resident_memory().unwrap_or_default());
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Resident memory of this process in bytes, as the system tells it.
fn resident_memory() -> Option<i64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    i64::try_from(pages * PAGE).ok()
}
