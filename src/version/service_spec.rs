use {
    super::routing::KeyDigest,
    serde::{Deserialize, Serialize},
    subtle::ConstantTimeEq,
};

/// The SHA-256 of a key, in lower-case hexadecimal; keys themselves are never stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHash(String);

impl KeyHash {
    pub fn from_key(key: &str) -> Self {
        let digest = KeyDigest::of(key.as_bytes());
        Self(
            digest
                .as_bytes()
                .iter()
                .map(|byte| format!("{byte:02x}"))
                .collect(),
        )
    }

    /// Compares in constant time.
    pub fn matches(
        &self,
        other: &KeyHash,
    ) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

/// A service that sends requests through coveproxy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Hashes of the keys that the service may use; two during a rotation.
    pub keys: Vec<KeyHash>,
    /// Kinds that the service may send; the first is the default.
    pub kinds: Vec<String>,
    /// Default outfitter for requests that name none.
    #[serde(default)]
    pub outfitter: Option<String>,
    /// True if plain targets answer `/v1/services/<service>/…`; false for model services.
    #[serde(default)]
    pub plain: bool,
    /// Maximum ratio of retries to first attempts.
    #[serde(default = "ServiceSpec::default_retry_share")]
    pub retry_share: f64,
    /// Requests per second that the service may send; 0 disables the limit.
    #[serde(default)]
    pub rate: f64,
}

impl ServiceSpec {
    fn default_retry_share() -> f64 {
        0.2
    }

    /// Returns true if one of the service's keys has this hash; compares every key, for constant time.
    pub fn has_key(
        &self,
        key_hash: &KeyHash,
    ) -> bool {
        self.keys
            .iter()
            .fold(false, |found, key| key.matches(key_hash) | found)
    }
}
