//! Assignment of engines to hosts, by leases and holder rows in the store.

mod holder_rows;
mod holding;
mod take_batch;
mod turns;

pub use {
    holder_rows::{HOLDING_TABLE, HolderRow, HostRow, engine_key, host_key},
    holding::{AssignmentAction, EngineAssignment, HeldEngine, KnownLease, LeaseTimings},
    take_batch::TakenEngine,
};
