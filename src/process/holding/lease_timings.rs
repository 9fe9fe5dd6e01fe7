use std::time::Duration;

/// Default of `LeaseTimings::max_rereading_hosts`. The table of 300 hosts and 3,000 engines takes about half a
/// megabyte, which each host reads in 0.4 s on a link of 10 Mbit/s.
const MAX_REREADING_HOSTS: usize = 100;

/// Timings of leases and takeovers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimings {
    /// Validity of a lease, from when its renewal was sent.
    pub ttl: Duration,
    /// Time between the starts of two renewals.
    pub renewal_interval: Duration,
    /// Mean backoff after a failed call, with jitter of half of it.
    pub retry_backoff: Duration,
    /// Minimum time between the orders of two holders of an engine.
    pub min_order_gap: Duration,
    /// Maximum time between the lease check of an order and its arrival.
    pub max_order_delay: Duration,
    /// Time that each preferred host has to take a vacant engine before the next one may.
    pub takeover_interval: Duration,
    /// Time after which a transaction without a reply is tried again.
    pub outcome_timeout: Duration,
    /// Up to this number of hosts with leases, a starting host reads the table again after its first renewal.
    pub max_rereading_hosts: usize,
}

impl LeaseTimings {
    /// Creates the timings for a platform that requires `min_order_gap` between the orders of two holders.
    pub fn new(
        ttl: Duration,
        renewal_interval: Duration,
        min_order_gap: Duration,
    ) -> Self {
        Self {
            ttl,
            renewal_interval,
            retry_backoff: Duration::from_millis(600),
            min_order_gap,
            max_order_delay: Duration::from_millis(400),
            takeover_interval: Duration::from_millis(1500),
            outcome_timeout: Duration::from_secs(2),
            max_rereading_hosts: MAX_REREADING_HOSTS,
        }
    }

    /// Returns the age of a lease version at which its holder can't have sent an order for `min_order_gap`.
    pub(super) fn takeover_delay(&self) -> Duration {
        self.ttl + self.min_order_gap + self.max_order_delay
    }
}
