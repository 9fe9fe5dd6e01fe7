use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Length in bytes: short enough for datagrams, long enough against collisions.
const BYTES: usize = 16;

/// Begins the digest of a customer's request; no host name begins with it.
const CUSTOMER_MARK: u8 = 1;

/// Identifies repeats of a request of one customer, under any request id and key of theirs and at any host.
///
/// A cryptographic digest, so that a caller can't craft a request that gets another caller's request rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint([u8; BYTES]);

/// A text that is not a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a fingerprint has {} hexadecimal digits", BYTES * 2)]
pub struct InvalidFingerprint;

impl Fingerprint {
    /// Returns the fingerprint of a request to a site; `customer` is `None` on routes that need no key.
    pub fn of(
        customer: Option<&str>,
        site: &str,
        method: &str,
        path_and_query: &str,
        body: &[u8],
    ) -> Self {
        let mut digest = Sha256::new();
        if let Some(customer) = customer {
            digest.update([CUSTOMER_MARK]);
            digest.update(customer.as_bytes());
            digest.update([0]);
        }
        for part in [site, method, path_and_query] {
            digest.update(part.as_bytes());
            // Separates the parts, so that they can't run into each other.
            digest.update([0]);
        }
        digest.update(body);
        let full = digest.finalize();
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&full[..BYTES]);
        Self(bytes)
    }

    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(
        &self,
        formatter: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        for byte in self.0 {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl FromStr for Fingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = u128::from_str_radix(text, 16).map_err(|_| InvalidFingerprint)?;
        match text.len() == BYTES * 2 {
            true => Ok(Self(number.to_be_bytes())),
            false => Err(InvalidFingerprint),
        }
    }
}
