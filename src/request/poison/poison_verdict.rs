use super::{PoisonKey, PoisonStatus};

/// What follows from the evidence on one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoisonVerdict {
    pub status: PoisonStatus,
    /// Keys that were there in all crashes, too: only requests that have all of them are rejected.
    pub only_with: Vec<PoisonKey>,
}

impl PoisonVerdict {
    /// Returns the verdict on a key by itself.
    pub fn of(status: PoisonStatus) -> Self {
        Self {
            status,
            only_with: Vec::new(),
        }
    }

    /// Returns true if a request with the key and all of `keys` is rejected.
    pub fn rejects(
        &self,
        keys: &[PoisonKey],
    ) -> bool {
        self.status == PoisonStatus::Rejected && self.only_with.iter().all(|key| keys.contains(key))
    }
}
