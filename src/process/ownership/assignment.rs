//! Assignment of targets to hosts by rendezvous hashing with bounded load.

use {
    std::collections::{BTreeMap, HashMap},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Returns the rank of `candidate` for `item`; the highest is preferred.
pub fn rank(
    item: &str,
    candidate: &str,
) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(item.as_bytes(), 0))
}

/// Assigns every target to one host; no host gets more than an even share, rounded up.
///
/// The result is deterministic, so hosts with the same view agree without messages.
pub fn assign<'a>(
    targets: impl ExactSizeIterator<Item = &'a str>,
    hosts: &[&'a str],
) -> BTreeMap<&'a str, &'a str> {
    let mut assigned = BTreeMap::new();
    if hosts.is_empty() {
        return assigned;
    }
    let max_targets = targets.len().div_ceil(hosts.len());
    let mut assigned_counts: HashMap<&str, usize> = HashMap::new();
    for target in targets {
        let has_capacity = |host: &&&str| {
            assigned_counts
                .get(**host)
                .is_none_or(|count| *count < max_targets)
        };
        let best = hosts
            .iter()
            .filter(has_capacity)
            .max_by_key(|host| rank(target, host));
        if let Some(best) = best {
            *assigned_counts.entry(best).or_insert(0) += 1;
            assigned.insert(target, *best);
        }
    }
    assigned
}
