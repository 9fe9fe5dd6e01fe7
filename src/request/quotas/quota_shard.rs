use {super::LIMIT_PARTS, xxhash_rust::xxh3::xxh3_64};

/// Number of shards. Customers, and plain services for their slots, are hashed to shards; the host that holds a shard's
/// lease does its counting.
pub const QUOTA_SHARDS: usize = 12;

const PREFIX: &str = "quota/";

/// Returns the lease name of a shard. It can't collide with an engine's id, which has no slash.
pub fn shard_lease(shard: usize) -> String {
    format!("{PREFIX}{shard}")
}

/// Returns the shard with this lease name; `None` for engines.
pub fn shard_of_lease(name: &str) -> Option<usize> {
    let shard = name.strip_prefix(PREFIX)?.parse().ok()?;
    (shard < QUOTA_SHARDS).then_some(shard)
}

/// Returns the shard that counts a part of a customer's limit. The parts of one customer are in different shards.
pub fn shard_for(
    customer: &str,
    part: usize,
) -> usize {
    let first = (xxh3_64(customer.as_bytes()) % QUOTA_SHARDS as u64) as usize;
    (first + part * (QUOTA_SHARDS / LIMIT_PARTS)) % QUOTA_SHARDS
}
