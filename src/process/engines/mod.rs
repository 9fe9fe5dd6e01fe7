//! The engines that this host controls: what each holds, and the orders to load and unload.

mod base_load_limiter;
mod engine_allocator;
mod engine_cache_estimate;
mod engine_pool;
mod engine_restart;
mod engine_usage;
mod load_limiter;
mod load_rejection;
mod order_outcomes;
mod order_selection;
mod pending_load;
mod planned_order;
mod prompt_cache;
mod published_loads;
mod resident_adapter;
mod unanswered_orders;

pub use {
    base_load_limiter::{BaseLoadLimiter, SharedBaseLoadLimiter},
    engine_allocator::{CACHED_ADAPTERS_PER_SLOT, EngineAllocator, SharedAllocatorState},
    engine_cache_estimate::EngineCacheEstimate,
    engine_pool::{EnginePool, EngineUtilization, SharedEnginePool},
    engine_usage::{EngineUsage, UsageTotals},
    load_limiter::{EngineLoads, LoadLimiter, SharedLoadLimiter},
    load_rejection::LoadRejection,
    pending_load::PendingLoadRank,
    planned_order::{AllocatorAction, OrderPurpose, PlannedOrder},
    prompt_cache::PromptCache,
    published_loads::PublishedLoads,
    resident_adapter::{Residency, ResidentAdapter},
    unanswered_orders::UnansweredOrders,
};
