use {crate::version::routing::UseLimit, std::time::Duration};

/// Parts that a customer's limit is divided into, each counted by a host of its own. With one of three lost a
/// customer has two thirds of its limit until another host counts the third, some 15 s later.
pub const PARTS: usize = 3;

/// What was granted ahead is spent within this time, or lapses. Over a window a customer may spend what was granted
/// in it and this long before.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(250);

/// Share of what a window allows beyond a steady use that buckets hold, for requests that come in clusters. The rest
/// is kept back: whoever checks the limits from outside sees requests arrive, not being admitted.
const HELD_SHARE: f64 = 0.8;

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
    ///
    /// What a limit allows in a window may be used in each of them, so the burst counts as rate: a customer that sends about
    /// what it may is not refused on a calm day. A window then brings what comes in within it and the time of a grant, and
    /// what the bucket held.
    pub fn bucket(
        &self,
        limit: &UseLimit,
    ) -> BucketTerms {
        let parts = PARTS as f64;
        let rate = self.within_limit(limit) / self.window.as_secs_f64();
        let held = self.excess(limit) - rate * GRANT_VALIDITY.as_secs_f64();
        BucketTerms {
            rate: rate / parts,
            capacity: HELD_SHARE * held.max(0.0) / parts,
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
