//! Assignment of engines to hosts, by leases and holder rows in the store.

mod assignment_action;
mod assignment_rows;
mod engine_assignment;
mod holder_rows;
mod lease_checks;
mod lease_timings;
mod recording;
mod resumption;
mod store_era;
mod takeover_batches;
mod takeover_turns;

pub use {
    assignment_action::{AssignmentAction, HeldEngine},
    assignment_rows::KnownLease,
    engine_assignment::EngineAssignment,
    holder_rows::{HOLDING_TABLE, HolderRow, HostRow, engine_key, host_key},
    lease_timings::LeaseTimings,
    takeover_batches::TakenEngine,
};
