use {
    crate::clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time after which half of an adapter's use is forgotten.
const USE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Whether an adapter can be used at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceState {
    /// Ordered at `since`; it should be there at `due`.
    Coming {
        since: Instant,
        due: Instant,
    },
    Held,
    /// Told to go; its last requests may still run.
    Going,
}

/// One of an engine's places for adapters, taken.
#[derive(Debug, Clone)]
pub struct AdapterPlace {
    pub version: u64,
    pub state: PlaceState,
    /// When a request for it was last known to start, or when it came.
    pub last_used: Instant,
    /// It comes, or came, from the weight store.
    pub from_store: bool,
    /// Hosts that may send requests for it.
    pub interested: BTreeSet<SocketAddr>,
    /// Requests in flight through each host.
    users: BTreeMap<SocketAddr, u32>,
    /// Requests started, halved each half-life.
    uses: f64,
    uses_at: Instant,
}

impl AdapterPlace {
    pub fn new(
        version: u64,
        state: PlaceState,
        now: Instant,
    ) -> Self {
        Self {
            version,
            state,
            last_used: now,
            from_store: false,
            interested: BTreeSet::new(),
            users: BTreeMap::new(),
            uses: 0.0,
            uses_at: now,
        }
    }

    /// True while it is on its way from the weight store.
    pub fn comes_from_store(&self) -> bool {
        self.from_store && matches!(self.state, PlaceState::Coming { .. })
    }

    /// Requests in flight through all hosts.
    pub fn in_flight(&self) -> u32 {
        self.users.values().sum()
    }

    /// Requests started lately; recent ones count more.
    pub fn recent_uses(
        &self,
        now: Instant,
    ) -> f64 {
        let half_lives =
            now.saturating_duration_since(self.uses_at).as_secs_f64() / USE_HALF_LIFE.as_secs_f64();
        self.uses * 0.5f64.powf(half_lives)
    }

    /// A host told how much it uses the adapter.
    pub fn on_usage(
        &mut self,
        host: SocketAddr,
        in_flight: u32,
        started: u32,
        now: Instant,
    ) {
        self.interested.insert(host);
        match in_flight {
            0 => self.users.remove(&host),
            count => self.users.insert(host, count),
        };
        if in_flight > 0 || started > 0 {
            self.last_used = now;
        }
        self.uses = self.recent_uses(now) + f64::from(started);
        self.uses_at = now;
    }

    /// A host told what it uses, and this adapter is not among it.
    pub fn on_unused(
        &mut self,
        host: SocketAddr,
    ) {
        self.users.remove(&host);
    }

    /// A host is gone, and its requests with it.
    pub fn on_host_gone(
        &mut self,
        host: SocketAddr,
    ) {
        self.users.remove(&host);
        self.interested.remove(&host);
    }
}
