//! Speed at which an engine reads prompts, the pauses that this makes in streams, and the placement of adapters by it.

mod engine_pace;
mod lateness;
mod pace_estimate;
mod pace_samples;
mod pause_record;
mod placement_rank;

pub use {
    engine_pace::EnginePace,
    lateness::{Reading, StreamLateness},
    pace_estimate::PaceEstimate,
    pace_samples::{PaceSamples, PrefillSample},
    pause_record::PauseRecord,
    placement_rank::PlacementRank,
};
