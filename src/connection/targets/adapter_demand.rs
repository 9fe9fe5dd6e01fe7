use {
    super::DecayingCount,
    crate::clock::Instant,
    std::{collections::HashMap, time::Duration},
};

/// Half-life of a request in the count.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Counted adapters beyond which rarely requested ones are evicted.
const MAX_ADAPTERS: usize = 4096;

/// Counts below this are evicted when the table is full.
const MIN_RETAINED_COUNT: f64 = 0.25;

/// Exponentially decaying request counts of adapters on this host.
#[derive(Debug, Default)]
pub struct AdapterDemand {
    counts: HashMap<String, DecayingCount>,
}

impl AdapterDemand {
    /// Counts a request for an adapter.
    pub fn on_request(
        &mut self,
        adapter: &str,
        now: Instant,
    ) {
        if self.counts.len() >= MAX_ADAPTERS {
            self.counts
                .retain(|_, count| count.value(HALF_LIFE, now) >= MIN_RETAINED_COUNT);
        }
        match self.counts.get_mut(adapter) {
            Some(count) => count.add(1.0, HALF_LIFE, now),
            None => {
                let count = DecayingCount::new(1.0, now);
                self.counts.insert(adapter.to_string(), count);
            }
        }
    }

    /// Returns the decayed number of recent requests for an adapter.
    pub fn recent_requests(
        &self,
        adapter: &str,
        now: Instant,
    ) -> f64 {
        self.counts
            .get(adapter)
            .map_or(0.0, |count| count.value(HALF_LIFE, now))
    }
}
