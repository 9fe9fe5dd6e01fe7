use super::{CrashEvidence, IncarnationId, PoisonKey};

/// What one crash says of one key, and what speaks for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Accusation {
    pub key: PoisonKey,
    pub evidence: CrashEvidence,
    /// Incarnations that have lately survived answers with the part; none for requests.
    pub survivors: Vec<IncarnationId>,
}

/// An observation of this host about poison.
#[derive(Debug, Clone, PartialEq)]
pub enum PoisonReport {
    /// A target crashed right after it had started requests with these keys.
    Crashed { accused: Vec<Accusation> },
    /// A target answered the request completely, or an operator cleared the key.
    Cleared { key: PoisonKey },
    /// A target began to answer requests with these parts, and ran on.
    Survived {
        parts: Vec<PoisonKey>,
        incarnation: IncarnationId,
    },
}
