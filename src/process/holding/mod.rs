//! Which host gives orders to which engine: leases and holder rows in the store.

mod holder_rows;
mod holding;

pub use {
    holder_rows::{HOLDING_TABLE, HolderRow, HostRow, engine_key, host_key},
    holding::{HeldEngine, Holding, HoldingAction, HoldingTimings, KnownLease},
};
