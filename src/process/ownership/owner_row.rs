use {
    crate::formats::StoreVersion,
    serde::{Deserialize, Serialize},
};

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
    /// Era of the table in which the row was written.
    #[serde(default)]
    pub era: u32,
}

impl OwnerRow {
    /// Returns true if the row, read at this version, was written in the era of that version. A row of an earlier era stands in
    /// the copy that the table came back from, and its target may have been taken by another host since.
    pub fn is_current(
        &self,
        version: u64,
    ) -> bool {
        self.era == era_of(version)
    }
}

/// Returns the era of the table in which a row had this version.
pub fn era_of(version: u64) -> u32 {
    StoreVersion::from_bits(version).era
}

/// The value of a row `session/<host>`; each renewal gives the row a new version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRow {
    pub session: u64,
    /// True once the process has shut down cleanly and sends no more orders to engines.
    pub ended: bool,
}
