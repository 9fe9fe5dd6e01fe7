//! The clock that leases, ages, bounds and deadlines are measured by: it goes on while the machine is suspended.

mod instant;
mod wait;

pub use {
    instant::Instant,
    wait::{Elapsed, sleep_until, timeout_at},
};
