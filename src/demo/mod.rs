//! A whole site in one process: stand-ins, hosts and callers, for the demo and benchmarks.

mod load;
mod site;
mod site_plan;
mod summary;

pub use {
    load::{Load, LoadPlan},
    site::Site,
    site_plan::{SitePlan, TrafficKind},
    summary::{Percentiles, Summary, Tally},
};
