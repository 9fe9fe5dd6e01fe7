//! What operators declare about routes: one immutable table for each accepted configuration.

mod customer;
mod customers;
mod engine_spec;
mod key_digest;
mod route;
mod routing_table;
mod target_service;
mod use_limit;

pub use {
    customer::Customer,
    customers::Customers,
    engine_spec::{BaseModel, EngineSpec},
    key_digest::KeyDigest,
    route::{Route, RouteKind, WeightedService},
    routing_table::{FrontLimits, RoutingTable},
    target_service::TargetService,
    use_limit::{UseLimit, UseUnit},
};
