//! Site-wide scheduling of adapter loads.

mod load_queue;

pub use load_queue::{LoadDecision, LoadQueue, LoadRequest, LoadRequestId};
