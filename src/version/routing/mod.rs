//! What operators declare about routes: one immutable table for each accepted configuration.

mod engine_spec;
mod route;
mod routing_table;
mod target_service;

pub use {
    engine_spec::{BaseModel, EngineSpec},
    route::{Route, RouteKind, WeightedService},
    routing_table::{FrontLimits, RoutingTable},
    target_service::TargetService,
};
