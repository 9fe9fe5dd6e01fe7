use {
    crate::clock::Instant,
    std::{collections::HashMap, time::Duration},
};

/// Half-life of a request in the count.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Counted adapters beyond which rarely requested ones are evicted.
const MAX_ADAPTERS: usize = 4096;

/// Counts below this are evicted when the table is full.
const MIN_RETAINED_COUNT: f64 = 0.25;

#[derive(Debug, Clone, Copy)]
struct Count {
    requests: f64,
    at: Instant,
}

/// Exponentially decaying request counts of adapters on this host.
#[derive(Debug, Default)]
pub struct AdapterDemand {
    counts: HashMap<String, Count>,
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
                .retain(|_, count| decayed_count(count, now) >= MIN_RETAINED_COUNT);
        }
        let requests = self.recent_requests(adapter, now) + 1.0;
        let count = Count { requests, at: now };
        match self.counts.get_mut(adapter) {
            Some(previous) => *previous = count,
            None => {
                self.counts.insert(adapter.to_string(), count);
            }
        }
    }

    /// Returns the decayed_count number of recent requests for an adapter.
    pub fn recent_requests(
        &self,
        adapter: &str,
        now: Instant,
    ) -> f64 {
        self.counts
            .get(adapter)
            .map_or(0.0, |count| decayed_count(count, now))
    }
}

fn decayed_count(
    count: &Count,
    now: Instant,
) -> f64 {
    let elapsed = now.saturating_duration_since(count.at).as_secs_f64();
    count.requests * 0.5f64.powf(elapsed / HALF_LIFE.as_secs_f64())
}
