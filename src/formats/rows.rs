use {super::StoreVersion, std::sync::Arc};

/// Names a row of the platform's table service.
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

/// A row as it was read; no value says that it is gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    pub key: Arc<str>,
    /// Rises with each change of any row.
    pub version: StoreVersion,
    pub value: Option<Arc<[u8]>>,
}

/// Bytes of all values in these rows.
pub fn bytes_of(rows: &[Row]) -> usize {
    let values = rows.iter().filter_map(|row| row.value.as_deref());
    values.map(<[u8]>::len).sum()
}

/// An answer about rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowBatch {
    pub rows: Vec<Row>,
    /// The answer is as of this version of the whole store.
    pub version: StoreVersion,
    /// There are more rows behind the last one.
    pub more: bool,
}

impl RowBatch {
    /// Bytes of all its values.
    pub fn bytes(&self) -> usize {
        bytes_of(&self.rows)
    }
}

/// An answer to a read of rows or changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowsReply {
    Rows(RowBatch),
    /// The store no longer knows what has changed since then; the table must be read whole.
    HistoryGone,
}

impl RowsReply {
    /// Bytes of all values in it.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Rows(batch) => batch.bytes(),
            Self::HistoryGone => 0,
        }
    }
}

/// What a transaction expects of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expectation {
    pub row: RowKey,
    /// An absent version expects that there is no such row.
    pub version: StoreVersion,
}

/// One write of a transaction; no value removes the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    pub row: RowKey,
    pub value: Option<Vec<u8>>,
}

/// Writes that take effect together, or not at all if an expectation fails.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    pub expected: Vec<Expectation>,
    pub writes: Vec<RowWrite>,
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// The rows written bear this version.
    Done { version: StoreVersion },
    /// An expectation failed; these are the rows named by it, as they are at this version of the store.
    Conflict {
        rows: Vec<Row>,
        version: StoreVersion,
    },
    /// The store turned the call away, or was not reached: nothing was done.
    TurnedAway,
}

impl Commit {
    /// The store's version as of the answer, if it tells one.
    pub fn version(&self) -> Option<StoreVersion> {
        match self {
            Self::Done { version } | Self::Conflict { version, .. } => Some(*version),
            Self::TurnedAway => None,
        }
    }
}
