use {crate::version::routing::UseLimit, std::time::Duration};

/// Number of parts of a customer's limit, each counted by another host. While one of them is down, the customer has the
/// rest of its limit.
pub const LIMIT_PARTS: usize = 3;

/// Prefetched quota expires after this time. Usage in a window may include quota that was granted this long before it.
pub const GRANT_TTL: Duration = Duration::from_millis(250);

/// Fraction of the permitted excess that buckets hold for bursts. The rest is a reserve for outside observers, who see
/// requests when they arrive, not when they are admitted.
const BURST_FRACTION: f64 = 0.8;

/// How limits are enforced, and by how much they may be exceeded over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaPolicy {
    /// Length of the sliding window in which usage is counted.
    pub window: Duration,
    /// Permitted excess, as a fraction of the limit in a window.
    pub tolerance: f64,
    /// Permitted excess besides, in units.
    pub slack: f64,
}

/// Parameters of one token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketLimits {
    /// Units per second.
    pub rate: f64,
    /// Units.
    pub capacity: f64,
}

impl QuotaPolicy {
    /// Returns the maximum usage in any window.
    pub fn allowed(
        &self,
        limit: &UseLimit,
    ) -> f64 {
        self.within_limit(limit) + self.excess(limit)
    }

    /// Returns the bucket of one part of a limit.
    ///
    /// The limit's burst counts as rate, since it may be used in each window. Usage in a window is then bounded by what
    /// accrues within it and `GRANT_TTL`, and what the bucket held.
    pub fn bucket(
        &self,
        limit: &UseLimit,
    ) -> BucketLimits {
        let parts = LIMIT_PARTS as f64;
        let rate = self.within_limit(limit) / self.window.as_secs_f64();
        let burst = self.excess(limit) - rate * GRANT_TTL.as_secs_f64();
        BucketLimits {
            rate: rate / parts,
            capacity: BURST_FRACTION * burst.max(0.0) / parts,
        }
    }

    fn within_limit(
        &self,
        limit: &UseLimit,
    ) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    fn excess(
        &self,
        limit: &UseLimit,
    ) -> f64 {
        self.tolerance * self.within_limit(limit) + self.slack
    }
}
