//! The platform's services: one trait each, and one adapter each over HTTP.

mod host_list;
mod http_call;
mod http_host_list;
mod http_object_store;
mod http_table;
mod http_weight_store;
mod object_store;
mod table;
mod weight_store;

pub use {
    host_list::{HostList, HostState, ListedHost},
    http_call::HttpCall,
    http_host_list::HttpHostList,
    http_object_store::HttpObjectStore,
    http_table::{ERA_HEADER, HttpTable},
    http_weight_store::HttpWeightStore,
    object_store::ObjectStore,
    table::{Commit, Condition, Row, RowScan, Table, Transaction, Write},
    weight_store::{WeightStore, WeightStoreHealth},
};
