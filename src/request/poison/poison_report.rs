use super::{CrashEvidence, Fingerprint};

/// An observation of this host about poison requests.
#[derive(Debug, Clone, PartialEq)]
pub enum PoisonReport {
    /// A target crashed right after it had started these requests.
    Crashed {
        evidence: Vec<(Fingerprint, CrashEvidence)>,
    },
    /// A target answered the request completely, or an operator cleared it.
    Cleared { fingerprint: Fingerprint },
}
