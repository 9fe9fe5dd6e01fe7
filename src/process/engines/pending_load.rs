use {
    crate::clock::Instant,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Priorities from this one on are treated alike.
const LOWEST_PRIORITY: u32 = 2;

/// Delay in the queue for each step of lower priority.
const PRIORITY_DELAY: Duration = Duration::from_millis(100);

/// Advance in the queue for each additional waiting request.
const REQUEST_ADVANCE: Duration = Duration::from_millis(50);

/// Maximum number of additional requests that count.
const MAX_COUNTED_REQUESTS: u32 = 8;

const MAX_ADVANCE: Duration = Duration::from_millis(400);

/// A load that hosts wait for and that has not been ordered.
#[derive(Debug, Clone)]
pub(super) struct PendingLoad {
    pub version: u64,
    /// Another engine holds a copy.
    pub has_other_copy: bool,
    pub priority: u32,
    pub requested_at: Instant,
    /// Expected completion, as given in the first reply.
    pub promised_by: Instant,
    /// Waiting requests of each host.
    pub waiting_requests: BTreeMap<SocketAddr, u32>,
}

/// Time beyond `promised_by` after which the load is overdue.
const OVERDUE_SLACK: Duration = Duration::from_millis(250);

impl PendingLoad {
    /// Returns true if the load has not completed when it was promised.
    pub fn is_overdue(
        &self,
        now: Instant,
    ) -> bool {
        now > self.promised_by + OVERDUE_SLACK
    }

    /// Returns the queue rank: by age, with an advance for urgent requests and for adapters with many requests.
    pub fn rank(&self) -> PendingLoadRank {
        let requests: u32 = self.waiting_requests.values().sum();
        let additional = requests.saturating_sub(1).min(MAX_COUNTED_REQUESTS);
        let delay = PRIORITY_DELAY * self.priority.min(LOWEST_PRIORITY);
        let advance = REQUEST_ADVANCE * additional;
        PendingLoadRank {
            has_other_copy: self.has_other_copy,
            due: self.requested_at + MAX_ADVANCE + delay - advance,
        }
    }

    /// Returns the queue rank by age alone.
    pub fn rank_by_age(&self) -> PendingLoadRank {
        PendingLoadRank {
            has_other_copy: self.has_other_copy,
            due: self.requested_at,
        }
    }
}

/// Position in the load queue of this host; lower ranks are loaded first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingLoadRank {
    has_other_copy: bool,
    due: Instant,
}
