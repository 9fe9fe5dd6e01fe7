//! The engines that this host gives orders to: what each holds, and what comes and goes next.

mod adapter_place;
mod engine_desk;
mod engine_use;
mod load_limiter;
mod load_memory;

pub use {
    adapter_place::{AdapterPlace, PlaceState},
    engine_desk::{DeskAction, DeskOrder, EngineDesk, OrderPurpose, WishRank},
    engine_use::{EngineUse, UseSum},
    load_limiter::{EngineLoads, LoadLimiter, SharedLoadLimiter},
    load_memory::LoadMemory,
};
