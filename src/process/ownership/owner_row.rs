use serde::{Deserialize, Serialize};

/// Rows that say who owns a target.
pub const OWNER_PREFIX: &str = "owner/";

/// Rows that say which process runs on a host, renewed while it lives.
pub const SESSION_PREFIX: &str = "session/";

/// Key of a target's ownership row.
pub fn owner_key(target: &str) -> String {
    format!("{OWNER_PREFIX}{target}")
}

/// Key of a host's session row.
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
    /// True once the process has stopped by plan and gives no more orders.
    pub ended: bool,
}
