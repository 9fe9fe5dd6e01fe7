//! Rank of engines for the leading parts of a prompt.
//!
//! Addresses sites so large that a request sees only a sample of the engines: without a common rank, each host would
//! have the same parts read at other engines. Rendezvous hashing: all hosts compute the same rank, and an engine that
//! comes or goes moves only the prompts that rank it first.

use {std::time::Duration, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Share of the time to read a prompt's leading parts for which a request prefers the engine that ranks first for them.
/// The parts are read there once for all hosts; a request that waits longer loses more than later ones gain.
const AFFINITY_SHARE: f64 = 0.25;

/// Maximum of that time: a small part of any latency objective.
const MAX_AFFINITY: Duration = Duration::from_millis(50);

/// Returns the extra time that a request accepts at an engine of this rank for its prompt, 0 for the first one.
///
/// `read_time` is the time to read the leading parts. Without this, equally loaded engines that have read nothing are
/// chosen by other criteria, on each host another one.
pub fn prompt_affinity(
    read_time: Duration,
    rank: usize,
) -> Duration {
    let affinity = read_time.mul_f64(AFFINITY_SHARE).min(MAX_AFFINITY);
    affinity.div_f64((rank + 1) as f64)
}

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
