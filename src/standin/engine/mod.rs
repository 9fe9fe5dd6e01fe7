//! A model engine in small: batching, adapters, streams, fenced orders, reports that lag.

mod engine_batch;
mod engine_delivery;
mod engine_faults;
mod engine_http;
mod engine_job;
mod engine_orders;
mod engine_record;
mod engine_standin;
mod engine_state;
mod engine_stream;
mod prefix_cache;

pub use {
    engine_faults::EngineFaults,
    engine_record::{EngineRecord, Execution},
    engine_standin::{EngineStandin, EngineStandinSpec},
};
