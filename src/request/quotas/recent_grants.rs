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
    kept_for: Duration,
    amounts: HashMap<u64, f64>,
    order: VecDeque<(Instant, u64)>,
}

impl RecentGrants {
    pub fn new(kept_for: Duration) -> Self {
        Self {
            kept_for,
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
        self.drop_old(now);
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
    pub fn take(
        &mut self,
        id: u64,
        now: Instant,
    ) -> Option<f64> {
        self.drop_old(now);
        self.amounts.remove(&id)
    }

    fn drop_old(
        &mut self,
        now: Instant,
    ) {
        let old = |at: Instant| now.saturating_duration_since(at) > self.kept_for;
        while self.order.front().is_some_and(|(at, _)| old(*at)) {
            if let Some((_, id)) = self.order.pop_front() {
                self.amounts.remove(&id);
            }
        }
    }
}
