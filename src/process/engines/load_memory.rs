use std::collections::VecDeque;

/// Adapters that an engine has held lately, and so loads again much faster.
///
/// The engine does not tell how many it remembers; this is a guess that only times rest on.
#[derive(Debug, Clone, Default)]
pub struct LoadMemory {
    /// The latest last.
    held: VecDeque<(String, u64)>,
    capacity: usize,
}

impl LoadMemory {
    pub fn new(capacity: usize) -> Self {
        Self {
            held: VecDeque::new(),
            capacity,
        }
    }

    /// The engine holds, or held, this version of the adapter.
    pub fn note(
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
