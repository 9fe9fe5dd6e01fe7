use {crate::version::routing::UseLimit, std::time::Duration};

/// Parts that a customer's limit is divided into, each counted by a host of its own. With one of three lost a
/// customer has two thirds of its limit until another host counts the third, some 15 s later.
pub const PARTS: usize = 3;

/// What was granted ahead is spent within this time, or lapses. Over a window a customer may spend what was granted
/// in it and this long before.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(250);

/// Share of what may be exceeded that buckets hold besides the burst, so that a customer below its limit is not
/// refused since its requests came in a cluster. The rest is for requests that were admitted before a window and
/// arrive in it: they wait for adapters, some for a second.
const HELD_SHARE: f64 = 0.5;

/// By how much a limit may be exceeded, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTerms {
    /// Use is counted over a sliding time of this length.
    pub window: Duration,
    /// Part of what the limit allows in a window that may come on top.
    pub over: f64,
    /// Units that may come on top besides.
    pub slack: f64,
}

/// The terms of one token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketTerms {
    /// Units a second.
    pub rate: f64,
    /// Units that it holds at the most.
    pub capacity: f64,
}

impl QuotaTerms {
    /// The most that a customer may use in any window.
    pub fn allowed(
        &self,
        limit: &UseLimit,
    ) -> f64 {
        self.within_limit(limit) + self.excess(limit)
    }

    /// The bucket of one part of a limit.
    pub fn bucket(
        &self,
        limit: &UseLimit,
    ) -> BucketTerms {
        let parts = PARTS as f64;
        BucketTerms {
            rate: limit.rate / parts,
            capacity: (limit.burst + HELD_SHARE * self.excess(limit)) / parts,
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
        self.over * self.within_limit(limit) + self.slack
    }
}
