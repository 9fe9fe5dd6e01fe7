//! The platform in small: table, object store, weight store and host list behind one address.

mod platform_faults;
mod platform_standin;
mod table_rows;
mod weight_fetches;

pub use {
    platform_faults::PlatformFaults,
    platform_standin::{PlatformStandin, PlatformStandinSpec},
    table_rows::TableRows,
    weight_fetches::WeightFetches,
};
