//! Concurrency slots at the targets of plain services. One host allocates them for all hosts, since each host alone
//! sends too few requests to know how busy a target is. No I/O.

mod place_end;
mod service_slots;
mod target_slots;

pub use {
    place_end::PlaceEnd,
    service_slots::{ServiceSlots, SlotRequest, SlotResponse},
    target_slots::TargetSlots,
};
