use {
    crate::clock::Instant,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Requests of this rank and those behind it are the least urgent.
const LEAST_URGENT: u32 = 2;

/// An adapter waits so much longer for each rank of urgency that its requests lack.
const RANK_HANDICAP: Duration = Duration::from_millis(100);

/// Each further request that waits for an adapter counts as if the first had come so much earlier.
const WAITING_START: Duration = Duration::from_millis(50);

/// Further requests that count for one adapter, at the most.
const MOST_WAITING: u32 = 8;

const MOST_START: Duration = Duration::from_millis(400);

/// An adapter that somebody waits for and that is not ordered yet.
#[derive(Debug, Clone)]
pub(super) struct Wish {
    pub version: u64,
    /// There is a copy elsewhere.
    pub spare: bool,
    pub priority: u32,
    pub since: Instant,
    /// When it should have been there, as was told first.
    pub promised: Instant,
    /// Requests that wait at each host.
    pub waiting: BTreeMap<SocketAddr, u32>,
}

/// Time beyond the promised one after which nothing more is promised: an order that was under way then
/// is over, answered or not.
const PROMISE_SLACK: Duration = Duration::from_millis(250);

impl Wish {
    /// True if what was told first has not come true.
    pub fn is_overdue(
        &self,
        now: Instant,
    ) -> bool {
        now > self.promised + PROMISE_SLACK
    }

    /// The first in this order is loaded first: by age, with a start for urgent requests and for
    /// adapters that many requests wait for.
    pub fn rank(&self) -> WishRank {
        let requests: u32 = self.waiting.values().sum();
        let others = requests.saturating_sub(1).min(MOST_WAITING);
        let handicap = RANK_HANDICAP * self.priority.min(LEAST_URGENT);
        let start = WAITING_START * others;
        WishRank {
            spare: self.spare,
            due: self.since + MOST_START + handicap - start,
        }
    }

    /// The same by age alone.
    pub fn rank_by_age(&self) -> WishRank {
        WishRank {
            spare: self.spare,
            due: self.since,
        }
    }
}

/// Place of a wish among those of all engines of this host, the first to be loaded first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WishRank {
    spare: bool,
    due: Instant,
}
