use {
    super::Fingerprint,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Begins the text of a part's key; that of a request is its fingerprint alone.
const PART_PREFIX: &str = "part:";

/// What targets may crash under: one request, or a part that prompts of many requests share.
///
/// A part counts whatever else its requests hold: the model, the adapter, the service and its place in the prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PoisonKey {
    Request(Fingerprint),
    /// The part's id, as requests list it.
    Part(u64),
}

/// A text that is no key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a key is a fingerprint, or `{PART_PREFIX}` with the hexadecimal id of a part")]
pub struct InvalidPoisonKey;

impl PoisonKey {
    /// Returns the key's bytes; their number tells the kinds apart.
    pub fn to_bytes(self) -> Vec<u8> {
        match self {
            Self::Request(fingerprint) => fingerprint.as_bytes().to_vec(),
            Self::Part(id) => id.to_be_bytes().to_vec(),
        }
    }

    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        match bytes.try_into() {
            Ok(id) => Some(Self::Part(u64::from_be_bytes(id))),
            Err(_) => Fingerprint::from_bytes(bytes).map(Self::Request),
        }
    }

    /// Returns the kind of the key as written to metrics.
    pub fn kind_word(self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Part(_) => "part",
        }
    }

    pub fn is_part(self) -> bool {
        matches!(self, Self::Part(_))
    }
}

impl fmt::Display for PoisonKey {
    fn fmt(
        &self,
        formatter: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(formatter, "{fingerprint}"),
            Self::Part(id) => write!(formatter, "{PART_PREFIX}{id:x}"),
        }
    }
}

impl FromStr for PoisonKey {
    type Err = InvalidPoisonKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.strip_prefix(PART_PREFIX) {
            Some(id) => u64::from_str_radix(id, 16)
                .map(Self::Part)
                .map_err(|_| InvalidPoisonKey),
            None => text
                .parse()
                .map(Self::Request)
                .map_err(|_| InvalidPoisonKey),
        }
    }
}
