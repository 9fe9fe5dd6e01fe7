use {
    super::routing::KeyDigest,
    serde::{Deserialize, Serialize},
    subtle::ConstantTimeEq,
};

/// The SHA-256 of a key, in lower-case hexadecimal; keys themselves are never stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHash(String);

impl KeyHash {
    /// Hashes a key.
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
    /// Keys that the service may show, as hashes; two during a rotation.
    pub keys: Vec<KeyHash>,
    /// Kinds that the service may send; the first is the default.
    pub kinds: Vec<String>,
    /// The outfitter that counts when the caller names none.
    #[serde(default)]
    pub outfitter: Option<String>,
    /// Plain targets that answer `/v1/services/<service>/…`; empty for model services.
    #[serde(default)]
    pub plain: bool,
    /// Resends as a share of first sends.
    #[serde(default = "ServiceSpec::default_retry_share")]
    pub retry_share: f64,
    /// Requests a second that the service may send; 0 is no limit.
    #[serde(default)]
    pub rate: f64,
}

impl ServiceSpec {
    fn default_retry_share() -> f64 {
        0.2
    }

    /// True when one of the service's keys has this hash; every key is compared.
    pub fn admits(
        &self,
        shown: &KeyHash,
    ) -> bool {
        self.keys
            .iter()
            .fold(false, |found, key| key.matches(shown) | found)
    }
}
