use std::collections::VecDeque;

/// Estimates which adapters an engine still caches and can reload quickly.
///
/// Engines do not report their caches.
#[derive(Debug, Clone, Default)]
pub struct EngineCacheEstimate {
    /// Oldest first.
    held: VecDeque<(String, u64)>,
    capacity: usize,
}

impl EngineCacheEstimate {
    pub fn new(capacity: usize) -> Self {
        Self {
            held: VecDeque::new(),
            capacity,
        }
    }

    /// Records that the engine holds, or held, this version of the adapter.
    pub fn record(
        &mut self,
        adapter: &str,
        version: u64,
    ) {
        self.held
            .retain(|(name, held)| name != adapter || *held != version);
        self.held.push_back((adapter.to_string(), version));
        if self.held.len() > self.capacity {
            self.held.pop_front();
        }
    }

    pub fn contains(
        &self,
        adapter: &str,
        version: u64,
    ) -> bool {
        self.held
            .iter()
            .any(|(name, held)| name == adapter && *held == version)
    }
}
