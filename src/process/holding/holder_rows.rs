use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Table of the product's own rows.
pub const HOLDING_TABLE: &str = "coveproxy";

const HOST_PREFIX: &str = "host/";
const ENGINE_PREFIX: &str = "engine/";

/// Returns the key of a host's row, which represents its lease.
pub fn host_key(host: SocketAddr) -> String {
    format!("{HOST_PREFIX}{host}")
}

/// Returns the key of the row that names an engine's holder.
pub fn engine_key(target: &str) -> String {
    format!("{ENGINE_PREFIX}{target}")
}

/// Value of a host's row; each renewal changes the row's version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    pub peer: SocketAddr,
    pub name: String,
    pub hall: String,
    pub front: SocketAddr,
    /// Random id of the host's process.
    pub process: u64,
}

/// Value of an engine's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// The host that controls the engine.
    pub holder: SocketAddr,
    /// Increases with each change of the holder.
    pub fence: u64,
}

impl HostRow {
    /// Returns the host of a host row's key.
    pub fn peer_of(key: &str) -> Option<SocketAddr> {
        key.strip_prefix(HOST_PREFIX)?.parse().ok()
    }
}

impl HolderRow {
    /// Returns the engine of an engine row's key.
    pub fn target_of(key: &str) -> Option<&str> {
        key.strip_prefix(ENGINE_PREFIX)
    }
}
