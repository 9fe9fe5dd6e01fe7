use serde::{Deserialize, Serialize};

/// Key prefix of the rows that name the owner of a target.
pub const OWNER_PREFIX: &str = "owner/";

/// Key prefix of the rows that name the process of a host; it renews the row while it runs.
pub const SESSION_PREFIX: &str = "session/";

/// Returns the key of a target's ownership row.
pub fn owner_key(target: &str) -> String {
    format!("{OWNER_PREFIX}{target}")
}

/// Returns the key of a host's session row.
pub fn session_key(host: &str) -> String {
    format!("{SESSION_PREFIX}{host}")
}

/// The value of a row `owner/<target>`; the row's version is the fence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRow {
    pub host: String,
    /// The session of the owning process.
    pub session: u64,
}

/// The value of a row `session/<host>`; each renewal gives the row a new version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRow {
    pub session: u64,
    /// True once the process has shut down cleanly and sends no more orders to engines.
    pub ended: bool,
}
