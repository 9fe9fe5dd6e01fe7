//! Concurrency slots at the targets of plain services. One host allocates them for all hosts, since each host alone
//! sends too few requests to know how busy a target is. No I/O.

mod service_slots;
mod slot_outcome;
mod target_slots;

pub use {
    service_slots::{ServiceSlots, SlotRequest, SlotResponse},
    slot_outcome::SlotOutcome,
    target_slots::TargetSlots,
};
