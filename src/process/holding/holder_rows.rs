use {
    crate::formats::StoreVersion,
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
    /// Newest era of the store whose rows were complete for this host: all that held engines before had recorded them again.
    #[serde(default)]
    pub settled_era: u32,
}

/// Value of an engine's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderRow {
    /// The host that controls the engine.
    pub holder: SocketAddr,
    /// Increases with each change of the holder, and with each era of the store, whose number it contains.
    pub fence: u64,
}

impl HostRow {
    /// Returns the host of a host row's key.
    pub fn peer_of(key: &str) -> Option<SocketAddr> {
        key.strip_prefix(HOST_PREFIX)?.parse().ok()
    }
}

impl HolderRow {
    /// Returns the era of the store in which the fence was given out.
    pub fn era(&self) -> u32 {
        era_of_fence(self.fence)
    }

    /// Returns the engine of an engine row's key.
    pub fn target_of(key: &str) -> Option<&str> {
        key.strip_prefix(ENGINE_PREFIX)
    }
}

/// Returns the fence that follows `previous` in an era, and is not below `floor`.
///
/// Fences of a later era are greater than all of earlier ones, also than those whose rows the store has lost.
pub(super) fn next_fence(
    previous: u64,
    floor: StoreVersion,
    era: u32,
) -> u64 {
    let first_of_era = StoreVersion::new(era, 1).to_bits();
    (previous + 1).max(floor.to_bits()).max(first_of_era)
}

/// Returns the era of the store in which a fence was given out.
pub(super) fn era_of_fence(fence: u64) -> u32 {
    StoreVersion::from_bits(fence).era
}
