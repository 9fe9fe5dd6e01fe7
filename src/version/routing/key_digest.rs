use {
    sha2::{Digest, Sha256},
    std::fmt,
};

/// SHA-256 digest of a customer's key.
///
/// Keys themselves are not stored, so that memory dumps, logs and metrics can't expose them. Lookup by digest need
/// not take constant time: its timing depends on the digest only, which doesn't help to find the key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key as sent by a caller.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Hides the digest: in a log line it would reveal which requests share a key.
impl fmt::Debug for KeyDigest {
    fn fmt(
        &self,
        formatter: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
