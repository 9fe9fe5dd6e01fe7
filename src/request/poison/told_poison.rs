use {
    super::{Fingerprint, Strike, TargetEnd},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// What hosts tell one another of one request, and what is kept of it in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldPoison {
    pub fingerprint: Fingerprint,
    pub strikes: Vec<Strike>,
    /// Ends that no longer speak against it.
    pub cleared: Vec<TargetEnd>,
    /// Time since the last strike, as the teller knows it.
    pub age: Duration,
}
