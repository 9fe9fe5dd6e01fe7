use {
    crate::clock::Instant,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Recent grants by charge id, so that retransmitted charges and refunds count once.
#[derive(Debug)]
pub struct RecentGrants {
    ttl: Duration,
    amounts: HashMap<u64, f64>,
    order: VecDeque<(Instant, u64)>,
}

impl RecentGrants {
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            amounts: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    pub fn add(
        &mut self,
        id: u64,
        amount: f64,
        now: Instant,
    ) {
        self.evict_expired(now);
        self.amounts.insert(id, amount);
        self.order.push_back((now, id));
    }

    /// Returns what was granted to a charge, if it is a retransmission.
    pub fn get(
        &self,
        id: u64,
    ) -> Option<f64> {
        self.amounts.get(&id).copied()
    }

    /// Removes a grant and returns its amount; `None` if it was refunded before or has expired.
    pub fn remove(
        &mut self,
        id: u64,
        now: Instant,
    ) -> Option<f64> {
        self.evict_expired(now);
        self.amounts.remove(&id)
    }

    fn evict_expired(
        &mut self,
        now: Instant,
    ) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) > self.ttl;
        while self.order.front().is_some_and(|(at, _)| is_expired(*at)) {
            if let Some((_, id)) = self.order.pop_front() {
                self.amounts.remove(&id);
            }
        }
    }
}
