use {
    super::IncarnationId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Evidence that a request was starting on a target when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    pub end: IncarnationId,
    /// The request had started there: the target had answered right before, or did not drop the connection at once.
    /// Behind some proxies a dead target still accepts connections, and then drops them.
    pub begun: bool,
    /// No other target dropped responses to this host at about the same time, as happens in a power loss.
    pub alone: bool,
    /// Time since the crash.
    #[serde(default)]
    pub age: Duration,
}
