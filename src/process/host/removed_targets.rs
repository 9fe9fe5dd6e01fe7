use {
    super::listed_target::ListedTarget,
    crate::clock::Instant,
    std::{collections::HashMap, time::Duration},
};

/// Time for which a removed target is retained; its list entry may be written seconds late.
const RETENTION_TTL: Duration = Duration::from_secs(60);

/// Recently removed targets, retained so that a late list entry does not add them again.
#[derive(Debug, Default)]
pub struct RemovedTargets {
    by_id: HashMap<String, RemovedTarget>,
}

#[derive(Debug)]
struct RemovedTarget {
    target: ListedTarget,
    removed_at: Instant,
}

impl RemovedTargets {
    /// Records a removed target and evicts expired ones.
    pub fn insert(
        &mut self,
        id: String,
        target: ListedTarget,
        now: Instant,
    ) {
        self.by_id
            .retain(|_, removed| now.saturating_duration_since(removed.removed_at) < RETENTION_TTL);
        self.by_id.insert(
            id,
            RemovedTarget {
                target,
                removed_at: now,
            },
        );
    }

    pub fn forget(
        &mut self,
        id: &str,
    ) {
        self.by_id.remove(id);
    }

    pub fn get(
        &self,
        id: &str,
    ) -> Option<&ListedTarget> {
        self.by_id.get(id).map(|removed| &removed.target)
    }
}
