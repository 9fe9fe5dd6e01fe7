use {
    crate::formats::TargetStart,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Identifies one incarnation of a target, the same at all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct IncarnationId(u64);

impl IncarnationId {
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
