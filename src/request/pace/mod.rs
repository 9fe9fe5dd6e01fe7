//! Pace of an engine: how long it takes to the first event of a request, and between the events of a stream.

mod pace_estimate;

pub use pace_estimate::PaceEstimate;
