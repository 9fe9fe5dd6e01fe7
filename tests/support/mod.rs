//! A site of real `coveproxyd` processes behind fault-injecting proxies, and callers that judge it.
#![allow(dead_code, unused_imports)]

mod bed;
mod bound_child;
mod callers;
mod verdict;

pub use {
    bed::{Bed, BedPlan, blocking, model, wait_for},
    callers::{Callers, Seen},
    verdict::Verdict,
};
