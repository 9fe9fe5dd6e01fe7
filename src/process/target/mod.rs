//! What an owner knows and decides about one target.

mod adapter_slot;
mod drop_choice;
mod target_action;
mod target_health;
mod target_loads;
mod target_report;
mod target_state;
mod wait_queue;

pub use {
    adapter_slot::{AdapterSlot, SlotState},
    drop_choice::choose_drop,
    target_action::{Admission, TargetAction, Ticket, TicketId},
    target_health::TargetHealth,
    target_state::TargetState,
    wait_queue::WaitQueue,
};
