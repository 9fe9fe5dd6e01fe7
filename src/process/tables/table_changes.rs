use crate::{
    connection::pull::{ChangesBody, RowBody},
    formats::{Row, StoreVersion, bytes_of},
};

/// Changed rows or a full snapshot of a table, for transfer to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableChanges {
    pub rows: Vec<Row>,
    /// Store version of the sender's replica.
    pub version: StoreVersion,
    /// Digest of the sender's replica.
    pub digest: u64,
    /// `rows` is the full table; rows missing from it are deleted.
    pub is_full: bool,
}

impl TableChanges {
    /// Returns the size of all values in bytes.
    pub fn bytes(&self) -> usize {
        bytes_of(&self.rows)
    }
}

impl From<&TableChanges> for ChangesBody {
    fn from(changes: &TableChanges) -> Self {
        Self {
            rows: changes.rows.iter().map(RowBody::from).collect(),
            version: changes.version.to_bits(),
            digest: changes.digest,
            whole: changes.is_full,
        }
    }
}

impl From<ChangesBody> for TableChanges {
    fn from(body: ChangesBody) -> Self {
        Self {
            rows: body.rows.into_iter().map(Row::from).collect(),
            version: StoreVersion::from_bits(body.version),
            digest: body.digest,
            is_full: body.whole,
        }
    }
}
