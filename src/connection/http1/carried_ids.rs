use xxhash_rust::xxh3::xxh3_64;

/// Requests that one connection may carry; it is closed after these.
const MAX_REQUESTS: usize = 512;

/// Ids of the requests that went over a connection.
///
/// A target may answer a request twice, and the second answer may come at any time. If the same id went over the same connection
/// again, that answer could not be told from the one that is due.
#[derive(Debug, Default)]
pub struct CarriedIds {
    /// Hashes of the ids, in the order in which they went.
    hashes: Vec<u64>,
}

impl CarriedIds {
    pub fn add(
        &mut self,
        id: &[u8],
    ) {
        self.hashes.push(xxh3_64(id));
    }

    pub fn contains(
        &self,
        id: &[u8],
    ) -> bool {
        self.hashes.contains(&xxh3_64(id))
    }

    /// Returns true if no further id can be remembered.
    pub fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_REQUESTS
    }
}
