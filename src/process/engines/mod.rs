//! The engines that this host gives orders to: what each holds, and what comes and goes next.

mod adapter_place;
mod engine_desk;
mod load_memory;

pub use {
    adapter_place::{AdapterPlace, PlaceState},
    engine_desk::{DeskAction, DeskOrder, EngineDesk},
    load_memory::LoadMemory,
};
