use {crate::clock::Instant, std::time::Duration};

/// Maximum time from the last staleness check of a request until the request reaches its target: network transit
/// and scheduling delays. A host checks right before it writes the request to an open connection.
pub const SEND_MARGIN: Duration = Duration::from_millis(200);

/// Freshness of one table's replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableFreshness {
    /// When the replica was last confirmed to be current; `None` before the first read.
    pub confirmed_at: Option<Instant>,
    /// True if a later read from the store has failed.
    pub store_failed: bool,
}

impl TableFreshness {
    /// Returns the time since the replica was confirmed; `None` before the first read.
    pub fn age(
        &self,
        now: Instant,
    ) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns true if a request that depends on the replica may be sent: it arrives within `bound`, or the store
    /// is unreachable or not yet read.
    pub fn can_send(
        &self,
        bound: Duration,
        now: Instant,
    ) -> bool {
        let is_young = |age| age + SEND_MARGIN <= bound;
        self.store_failed || self.age(now).is_none_or(is_young)
    }
}

/// Freshness of the table replicas that requests depend on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaFreshness {
    /// The configuration that operators declare.
    pub declared: TableFreshness,
    /// The list of targets.
    pub targets: TableFreshness,
}
