use {
    super::{CrashEvidence, Fingerprint, IncarnationId},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The evidence against one request, as hosts exchange and store it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonUpdate {
    pub fingerprint: Fingerprint,
    /// The evidence; named as in stored records.
    pub strikes: Vec<CrashEvidence>,
    /// Crashes that no longer count.
    pub cleared: Vec<IncarnationId>,
    /// Time since the last crash.
    pub age: Duration,
}
