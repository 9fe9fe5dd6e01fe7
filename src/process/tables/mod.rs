//! In-memory replicas of the store's tables, and the schedule of reads from the store.

mod read_schedule;
mod table_changes;
mod table_replica;

pub use {
    read_schedule::{ReadSchedule, ReadTimings},
    table_changes::TableChanges,
    table_replica::{Comparison, TableReplica},
};
