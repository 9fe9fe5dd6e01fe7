use {
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Stands for a customer's key, which itself is never kept: what finds its way into memory dumps, lines or figures
/// opens nothing.
///
/// Keys are looked up by it. How long that takes tells of the digest at the most, and who knows a part of a digest
/// is no nearer to a key that has it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key as a caller shows it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// The bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Names nothing: a digest in a line would tell which requests share a key.
impl fmt::Debug for KeyDigest {
    fn fmt(
        &self,
        formatter: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
