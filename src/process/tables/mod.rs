//! Copies of the store's tables: how new they are, and whose turn it is to read.

mod read_schedule;
mod table_changes;
mod table_copy;

pub use {
    read_schedule::{ReadSchedule, ReadTimings},
    table_changes::TableChanges,
    table_copy::{Comparison, TableCopy},
};
