//! SWIM-style tracking of the other hosts: liveness, readiness, held engines, site size and clock bounds.

mod host_table;
mod known_host;
mod peer_clocks;
mod site_size;

pub use {
    host_table::{FailureDetectionTimings, HostAction, HostEvent, HostTable},
    known_host::{HostIdentity, HostState, KnownHost},
    peer_clocks::{PeerClocks, PingExchange},
    site_size::SiteSize,
};
