//! The other hosts: who is there, who answers callers, and who gives orders to which engine.

mod host_table;
mod known_host;
mod peer_clocks;
mod site_size;

pub use {
    host_table::{HostAction, HostEvent, HostTable, HostTimings},
    known_host::{HostIdentity, HostState, KnownHost},
    peer_clocks::{PeerClocks, PingExchange},
    site_size::SiteSize,
};
