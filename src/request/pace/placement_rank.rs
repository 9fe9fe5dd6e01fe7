//! Rank of an engine in the placement of an adapter: rendezvous hashing, weighted by the engine's speed.
//!
//! Addresses engines of unequal speed, each with the same number of adapter slots. A fast engine ends its requests
//! early and frees its slots for others, so that it is the preferred engine of more adapters.

use {std::cmp::Ordering, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Speeds are rounded to steps of this many to a factor of two, so that hosts with slightly different estimates agree.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// Largest weight of an engine, and inverse of the smallest: an extreme estimate must not gather all adapters on one
/// engine.
const MAX_WEIGHT: f64 = 4.0;

/// Rank of an engine for one adapter; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementRank(f64);

impl PlacementRank {
    /// Ranks an engine by the hash of its address and its speed as a multiple of the service's; the share of adapters
    /// that it is first for is in proportion to its speed.
    pub fn of(
        engine_hash: u64,
        adapter_hash: u64,
        relative_speed: f64,
    ) -> Self {
        let hash = xxh3_64_with_seed(&engine_hash.to_le_bytes(), adapter_hash);
        // In (0, 1], so that the logarithm is finite.
        let draw = ((hash >> 11) + 1) as f64 / (1u64 << 53) as f64;
        Self(-draw.ln() / weight(relative_speed))
    }

    /// Orders ranks, the preferred one first.
    pub fn compare(
        &self,
        other: &Self,
    ) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Returns the weight of an engine: its relative speed, bounded and rounded.
fn weight(relative_speed: f64) -> f64 {
    let speed = relative_speed.clamp(1.0 / MAX_WEIGHT, MAX_WEIGHT);
    let steps = (speed.log2() * STEPS_PER_DOUBLING).round();
    (steps / STEPS_PER_DOUBLING).exp2()
}
