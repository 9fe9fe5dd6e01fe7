use {std::sync::Arc, xxhash_rust::xxh3::xxh3_64};

/// Characters of a version's name that are kept for logs.
const MAX_NAME_CHARS: usize = 64;

/// Names a version of targets' software among hosts; equal for equal names alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SoftwareId(u64);

impl SoftwareId {
    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    pub fn to_bits(self) -> u64 {
        self.0
    }
}

/// Version of a target's software, by any text that the target gives; versions have no order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoftwareVersion {
    name: Arc<str>,
    id: SoftwareId,
}

impl SoftwareVersion {
    pub fn named(name: &str) -> Self {
        let kept: String = name.chars().take(MAX_NAME_CHARS).collect();
        Self {
            name: kept.into(),
            id: SoftwareId(xxh3_64(name.as_bytes())),
        }
    }

    /// Returns the name for logs; long ones are truncated.
    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn id(&self) -> SoftwareId {
        self.id
    }
}
