//! Memory that this host holds for callers and targets, counted against one budget.
//!
//! Addresses callers that send part of a large body and stop, callers that do not read their answers, and many of both
//! at once, on hosts of 120 MB and more. [`MemoryBudget`] decides, without I/O; [`HostMemory`] shares it among the
//! connections, and [`CallerMemory`] is one connection's access to it. Without a limit nothing is counted and nothing
//! waits.

mod body_memory;
mod caller_memory;
mod caller_stage;
mod host_memory;
mod memory_budget;
mod memory_cut;
mod memory_limits;
mod memory_use;
mod reservation;

pub use {
    body_memory::{BodyMemory, NoRoom},
    caller_memory::CallerMemory,
    caller_stage::CallerStage,
    host_memory::{HostMemory, SWEEP_INTERVAL},
    memory_budget::{ConnectionId, MemoryBudget},
    memory_cut::{CutKind, MemoryCut},
    memory_limits::{MemoryLimits, Pressure},
    memory_use::MemoryUse,
    reservation::Reservation,
};
