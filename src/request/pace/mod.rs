//! Pace of an engine: how long it takes to the first event of a request, and between the events of a stream.

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
