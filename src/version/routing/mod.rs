//! Routes, services and customers declared by operators: one immutable table per accepted configuration.

mod customer;
mod customers;
mod engine_spec;
mod key_digest;
mod quota_limit;
mod route;
mod routing_table;
mod target_service;

pub use {
    customer::Customer,
    customers::Customers,
    engine_spec::{BaseModel, EngineSpec},
    key_digest::KeyDigest,
    quota_limit::{QuotaLimit, QuotaUnit},
    route::{Route, RouteKind, WeightedService},
    routing_table::{FrontLimits, RoutingTable},
    target_service::TargetService,
};
