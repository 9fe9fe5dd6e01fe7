use {
    super::listed_target::ListedTarget,
    crate::clock::Instant,
    std::{collections::HashMap, time::Duration},
};

/// A target that is gone is remembered for so long: its entry may be written seconds late.
const MEMORY: Duration = Duration::from_secs(60);

/// Targets that are no longer used. An entry that was written late must not list again what has left.
#[derive(Debug, Default)]
pub struct EndedTargets {
    by_id: HashMap<String, EndedTarget>,
}

#[derive(Debug)]
struct EndedTarget {
    target: ListedTarget,
    at: Instant,
}

impl EndedTargets {
    /// A target is no longer used.
    pub fn note(
        &mut self,
        id: String,
        target: ListedTarget,
        now: Instant,
    ) {
        self.by_id
            .retain(|_, ended| now.saturating_duration_since(ended.at) < MEMORY);
        self.by_id.insert(id, EndedTarget { target, at: now });
    }

    pub fn get(
        &self,
        id: &str,
    ) -> Option<&ListedTarget> {
        self.by_id.get(id).map(|ended| &ended.target)
    }
}
