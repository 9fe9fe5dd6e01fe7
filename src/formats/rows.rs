use std::sync::Arc;

/// Key of a row in the platform's table service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RowKey {
    pub table: Arc<str>,
    pub key: Arc<str>,
}

impl RowKey {
    pub fn new(
        table: &str,
        key: &str,
    ) -> Self {
        Self {
            table: table.into(),
            key: key.into(),
        }
    }
}

/// A row as read; `value` is `None` if the row was deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    pub key: Arc<str>,
    /// Version of the store at the last change of the row; increases with each change of any row.
    pub version: u64,
    pub value: Option<Arc<[u8]>>,
}

/// Returns the total size of the rows' values, in bytes.
pub fn total_value_bytes(rows: &[Row]) -> usize {
    let values = rows.iter().filter_map(|row| row.value.as_deref());
    values.map(<[u8]>::len).sum()
}

/// A page of rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowBatch {
    pub rows: Vec<Row>,
    /// Version of the complete store as of which the rows were read.
    pub version: u64,
    /// True if more rows follow the last one.
    pub more: bool,
}

impl RowBatch {
    /// Returns the total size of the values, in bytes.
    pub fn bytes(&self) -> usize {
        total_value_bytes(&self.rows)
    }
}

/// Response to a read of rows or changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowsReply {
    Rows(RowBatch),
    /// The store has discarded the changes since that version; the complete table must be read.
    HistoryGone,
}

impl RowsReply {
    /// Returns the total size of the values, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Rows(batch) => batch.bytes(),
            Self::HistoryGone => 0,
        }
    }
}

/// Precondition of a transaction: the expected version of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expectation {
    pub row: RowKey,
    /// 0 if the row must not exist.
    pub version: u64,
}

/// One write of a transaction; deletes the row if `value` is `None`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    pub row: RowKey,
    pub value: Option<Vec<u8>>,
}

/// Writes that take effect atomically, or not at all if an expectation fails.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    pub expected: Vec<Expectation>,
    pub writes: Vec<RowWrite>,
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// The transaction took effect; the rows written have this version.
    Done { version: u64 },
    /// An expectation failed; `rows` are the current rows that the expectations refer to.
    Conflict { rows: Vec<Row> },
    /// The store rejected the call or was unreachable; nothing was written.
    Rejected,
}
