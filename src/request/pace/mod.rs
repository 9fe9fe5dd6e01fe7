//! Speed at which an engine reads (prefills) prompts, the pauses that this causes in streams, and the placement of
//! adapters by it.

mod engine_pace;
mod pace_estimate;
mod pace_samples;
mod pause_record;
mod placement_rank;
mod stream_lateness;

pub use {
    engine_pace::EnginePace,
    pace_estimate::PaceEstimate,
    pace_samples::{FIXED_MS, MIN_SAMPLE_TOKENS, PaceSamples, PrefillSample},
    pause_record::PauseRecord,
    placement_rank::PlacementRank,
    stream_lateness::{Reading, StreamLateness},
};
