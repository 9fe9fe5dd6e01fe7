use {
    crate::formats::TargetStart,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Identifies the crash of one start of a target, the same at all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId(u64);

impl CrashId {
    pub fn of(
        target: &str,
        start: Option<TargetStart>,
    ) -> Self {
        let start = start.map(|start| start.to_string());
        let text = format!("{target}/{}", start.as_deref().unwrap_or("-"));
        Self(xxh3_64(text.as_bytes()))
    }

    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    pub fn number(self) -> u64 {
        self.0
    }
}

/// Evidence that a request was starting on a target when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    pub end: CrashId,
    /// The request had started there: the target had answered right before, or did not drop the connection at once.
    /// Behind some proxies a dead target still accepts connections, and then drops them.
    pub begun: bool,
    /// No other target dropped responses at about the same time, as happens in a power loss.
    pub alone: bool,
}
