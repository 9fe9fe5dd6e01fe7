use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Names a stream among hosts: a hash of its service and of the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamKey(u64);

impl StreamKey {
    pub fn new(
        service: &str,
        request_id: &[u8],
    ) -> Self {
        let seed = xxh3_64(service.as_bytes());
        Self(xxh3_64_with_seed(request_id, seed))
    }

    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    pub fn to_bits(self) -> u64 {
        self.0
    }
}
