use {
    crate::connection::target::CacheEvent, std::collections::VecDeque, xxhash_rust::xxh3::xxh3_64,
};

/// Events kept for readers that come late; older ones are a gap to them.
const EVENTS_KEPT: usize = 256;

/// Characters of the prompt that count as the shared prefix.
const PREFIX_CHARS: usize = 64;

/// Prompt prefixes held in limited memory, least recently used first out.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    held: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl PrefixCache {
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// The key of a prompt's prefix under an adapter.
    pub fn key(
        model: &str,
        prompt: &str,
    ) -> u64 {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        xxh3_64(format!("{model}\n{prefix}").as_bytes())
    }

    /// Uses a prefix; true when it was held already.
    pub fn touch(
        &mut self,
        key: u64,
    ) -> bool {
        let held = self.held.iter().position(|held| *held == key);
        match held {
            Some(at) => {
                self.held.remove(at);
            }
            None => self.note(key, true),
        }
        self.held.push_back(key);
        while self.held.len() > self.capacity {
            if let Some(out) = self.held.pop_front() {
                self.note(out, false);
            }
        }
        held.is_some()
    }

    /// Events after `after`, as far as they are still kept.
    pub fn events_after(
        &self,
        after: u64,
    ) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence > after)
            .cloned()
            .collect()
    }

    fn note(
        &mut self,
        prefix: u64,
        stored: bool,
    ) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            prefix,
            stored,
        });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
