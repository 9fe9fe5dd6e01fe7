use {
    crate::clock::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Half-life of an adapter's request count, by which adapters are ranked for eviction.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(10);

/// State of an adapter that occupies a slot of its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Residency {
    /// Load ordered at `since`; its completion is next checked at `due`.
    Loading {
        since: Instant,
        due: Instant,
    },
    Loaded,
    /// Unload ordered; its last requests may still run.
    Unloading,
}

/// An adapter that occupies a slot of its engine.
#[derive(Debug, Clone)]
pub struct ResidentAdapter {
    pub version: u64,
    pub state: Residency,
    /// Time of the last known request for it, or of its load.
    pub last_used: Instant,
    /// Loaded, or being loaded, from the weight store.
    pub from_store: bool,
    /// Hosts that may send requests for it.
    pub interested_hosts: BTreeSet<SocketAddr>,
    /// In-flight requests of each host.
    in_flight_by_host: BTreeMap<SocketAddr, u32>,
    /// Exponentially decayed count of started requests, as of `decayed_at`.
    decayed_starts: f64,
    decayed_at: Instant,
}

impl ResidentAdapter {
    pub fn new(
        version: u64,
        state: Residency,
        now: Instant,
    ) -> Self {
        Self {
            version,
            state,
            last_used: now,
            from_store: false,
            interested_hosts: BTreeSet::new(),
            in_flight_by_host: BTreeMap::new(),
            decayed_starts: 0.0,
            decayed_at: now,
        }
    }

    /// Returns true while it is being loaded from the weight store.
    pub fn is_loading_from_store(&self) -> bool {
        self.from_store && matches!(self.state, Residency::Loading { .. })
    }

    /// Returns the in-flight requests of all hosts.
    pub fn in_flight(&self) -> u32 {
        self.in_flight_by_host.values().sum()
    }

    /// Returns the exponentially decayed number of started requests.
    pub fn recent_starts(
        &self,
        now: Instant,
    ) -> f64 {
        let half_lives = now.saturating_duration_since(self.decayed_at).as_secs_f64()
            / USAGE_HALF_LIFE.as_secs_f64();
        self.decayed_starts * 0.5f64.powf(half_lives)
    }

    /// Records a host's usage report for this adapter.
    pub fn on_usage(
        &mut self,
        host: SocketAddr,
        in_flight: u32,
        started: u32,
        now: Instant,
    ) {
        self.interested_hosts.insert(host);
        match in_flight {
            0 => self.in_flight_by_host.remove(&host),
            count => self.in_flight_by_host.insert(host, count),
        };
        if in_flight > 0 || started > 0 {
            self.last_used = now;
        }
        self.decayed_starts = self.recent_starts(now) + f64::from(started);
        self.decayed_at = now;
    }

    /// Records a host's usage report that does not name this adapter.
    pub fn on_unused(
        &mut self,
        host: SocketAddr,
    ) {
        self.in_flight_by_host.remove(&host);
    }

    /// Removes a lost host and its requests.
    pub fn on_host_gone(
        &mut self,
        host: SocketAddr,
    ) {
        self.in_flight_by_host.remove(&host);
        self.interested_hosts.remove(&host);
    }
}
