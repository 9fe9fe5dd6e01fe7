//! Rank of engines for the leading parts of a prompt.
//!
//! Addresses sites so large that a request sees only a sample of the engines: without a common rank, each host would
//! have the same parts read at other engines. Rendezvous hashing: all hosts compute the same rank, and an engine that
//! comes or goes moves only the prompts that rank it first.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the indices of the `count` engines that rank first for a chain of prompt parts, the first one first.
pub fn first_by_prompt<'a>(
    chain: u64,
    engines: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<usize> {
    let rank = |engine: &str| xxh3_64_with_seed(engine.as_bytes(), chain);
    let mut first: Vec<(u64, usize)> = Vec::with_capacity(count + 1);
    for (at, engine) in engines.enumerate() {
        let rank = rank(engine);
        let place = first.partition_point(|(other, _)| *other >= rank);
        if place < count {
            first.insert(place, (rank, at));
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, at)| at).collect()
}
