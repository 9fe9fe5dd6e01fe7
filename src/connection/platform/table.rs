use {
    crate::errors::PlatformError,
    serde::{Deserialize, Serialize},
};

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub key: String,
    /// The text stored; empty in a scan's mark of a deleted row.
    pub value: String,
    /// Sequence number of the transaction that wrote the row, as the bits of a `StoreVersion`; grows with each write, and with
    /// each era of the table.
    pub version: u64,
    /// True in a scan for a row that was deleted.
    #[serde(default)]
    pub deleted: bool,
}

/// A row's version that must still hold when a transaction commits; 0 is an absent row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    pub version: u64,
}

impl Condition {
    pub fn new(
        key: &str,
        version: u64,
    ) -> Self {
        Self {
            key: key.to_string(),
            version,
        }
    }
}

/// One write of a transaction; no value deletes the row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    pub key: String,
    pub value: Option<String>,
}

impl Write {
    pub fn put(
        key: &str,
        value: String,
    ) -> Self {
        Self {
            key: key.to_string(),
            value: Some(value),
        }
    }

    pub fn delete(key: &str) -> Self {
        Self {
            key: key.to_string(),
            value: None,
        }
    }
}

/// Writes that take effect together, or not at all, if every condition holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// Committed; the rows written bear this version.
    Done { sequence: u64 },
    /// Nothing was written; the versions found where a condition did not hold.
    Conflict { found: Vec<Condition> },
}

/// Rows written after a known sequence number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowScan {
    /// Sequence number that the scan is as of, as the bits of a `StoreVersion`.
    pub sequence: u64,
    pub rows: Vec<Row>,
    /// These are all rows: one that is missing does not exist, or no longer.
    #[serde(default)]
    pub is_whole: bool,
}

/// The platform's transactional table.
pub trait Table: Send + Sync {
    /// Reads one row.
    fn get(
        &self,
        key: &str,
    ) -> Result<Option<Row>, PlatformError>;

    /// Reads the rows under any of `prefixes` that were written or deleted after `since`, or all of them if the table has come
    /// back from an older copy and no longer knows.
    fn scan(
        &self,
        prefixes: &[&str],
        since: u64,
    ) -> Result<RowScan, PlatformError>;

    /// Commits a conditional transaction.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> Result<Commit, PlatformError>;
}
