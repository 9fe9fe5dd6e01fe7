use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The table of the product's own rows.
pub const HOLDING_TABLE: &str = "coveproxy";

const HOST_PREFIX: &str = "host/";
const ENGINE_PREFIX: &str = "engine/";

/// Key of a host's row, which is its lease.
pub fn host_key(host: SocketAddr) -> String {
    format!("{HOST_PREFIX}{host}")
}

/// Key of the row that names an engine's holder.
pub fn engine_key(target: &str) -> String {
    format!("{ENGINE_PREFIX}{target}")
}

/// The value of a host's row; each renewal gives the row a new version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    pub peer: SocketAddr,
    pub name: String,
    pub hall: String,
    pub front: SocketAddr,
    /// Drawn by chance at each start of the host's process.
    pub process: u64,
}

/// The value of an engine's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// The host that gives orders.
    pub holder: SocketAddr,
    /// Grows with each change of the holder.
    pub fence: u64,
}

impl HostRow {
    /// The host of a row with this key.
    pub fn peer_of(key: &str) -> Option<SocketAddr> {
        key.strip_prefix(HOST_PREFIX)?.parse().ok()
    }
}

impl HolderRow {
    /// The engine of a row with this key.
    pub fn target_of(key: &str) -> Option<&str> {
        key.strip_prefix(ENGINE_PREFIX)
    }
}
