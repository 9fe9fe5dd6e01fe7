use {
    super::{CrashEvidence, IncarnationId, PoisonKey},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The evidence for and against one key, as hosts exchange and store it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonUpdate {
    /// Named as in stored records.
    #[serde(rename = "fingerprint")]
    pub key: PoisonKey,
    /// The evidence; named as in stored records.
    pub strikes: Vec<CrashEvidence>,
    /// Crashes that no longer count.
    pub cleared: Vec<IncarnationId>,
    /// Incarnations that began to answer requests with the part, and ran on.
    #[serde(default)]
    pub survivors: Vec<IncarnationId>,
    /// Time since the last crash.
    pub age: Duration,
}
