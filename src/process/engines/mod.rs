//! The engines that this host controls: what each holds, and the orders to load and unload.

mod base_load_limiter;
mod desk_choice;
mod desk_outcomes;
mod desk_start;
mod engine_cache_estimate;
mod engine_desk;
mod engine_pool;
mod engine_usage;
mod load_limiter;
mod load_rejection;
mod load_wish;
mod planned_order;
mod resident_adapter;
mod told_loads;
mod unanswered_orders;

pub use {
    base_load_limiter::{BaseLoadLimiter, SharedBaseLoadLimiter},
    engine_cache_estimate::EngineCacheEstimate,
    engine_desk::{EngineAllocator, REMEMBERED_PER_PLACE, SharedAllocatorState},
    engine_pool::{EnginePool, EngineUtilization, SharedEnginePool},
    engine_usage::{EngineUsage, UsageTotals},
    load_limiter::{EngineLoads, LoadLimiter, SharedLoadLimiter},
    load_rejection::LoadRejection,
    load_wish::PendingLoadRank,
    planned_order::{AllocatorAction, OrderPurpose, PlannedOrder},
    resident_adapter::{Residency, ResidentAdapter},
    told_loads::PublishedLoads,
    unanswered_orders::UnansweredOrders,
};
