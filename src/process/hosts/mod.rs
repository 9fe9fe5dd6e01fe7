//! SWIM-style tracking of the other hosts: liveness, readiness, held engines, site size and clock bounds.

mod holdings_spread;
mod host_table;
mod known_host;
mod large_site;
mod peer_clocks;
mod site_size;

pub use {
    holdings_spread::{HoldingsSpread, INITIAL_HOLDINGS_VERSION, MAX_LISTING_HOSTS},
    host_table::{FailureDetectionTimings, HostAction, HostEvent, HostTable},
    known_host::{HostIdentity, HostState, KnownHost},
    peer_clocks::{PeerClocks, PingExchange},
    site_size::SiteSize,
};
