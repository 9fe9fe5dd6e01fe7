//! The other hosts: links to them, and what this host answers them.

mod convert;
mod peer_links;
mod peer_server;

pub use {
    convert::{heartbeat_from_wire, heartbeat_to_wire},
    peer_links::{PeerClient, PeerLinks},
    peer_server::PeerServer,
};

/// Messages between hosts, generated from `proto/peer.proto`.
#[allow(clippy::all, missing_docs)]
#[path = "../../generated/coveproxy.peer.v1.rs"]
#[rustfmt::skip]
pub mod wire;
