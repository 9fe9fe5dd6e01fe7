//! Assignment of engines to hosts, by leases and holder rows in the store.

mod engine_assignment;
mod holder_rows;
mod takeover_batches;
mod takeover_turns;

pub use {
    engine_assignment::{AssignmentAction, EngineAssignment, HeldEngine, KnownLease, LeaseTimings},
    holder_rows::{HOLDING_TABLE, HolderRow, HostRow, engine_key, host_key},
    takeover_batches::TakenEngine,
};
