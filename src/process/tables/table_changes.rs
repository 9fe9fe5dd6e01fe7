use crate::{
    connection::pull::{ChangesBody, RowBody},
    formats::{Row, total_value_bytes},
};

/// Rows that changed, or all rows, to be passed on to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableChanges {
    pub rows: Vec<Row>,
    /// The copy is as of this version.
    pub version: u64,
    /// Stands for the meaning of all its rows.
    pub digest: u64,
    /// `rows` is the whole table; what it does not name is gone.
    pub whole: bool,
}

impl TableChanges {
    /// Bytes of all values in it.
    pub fn bytes(&self) -> usize {
        total_value_bytes(&self.rows)
    }
}

impl From<&TableChanges> for ChangesBody {
    fn from(changes: &TableChanges) -> Self {
        Self {
            rows: changes.rows.iter().map(RowBody::from).collect(),
            version: changes.version,
            digest: changes.digest,
            whole: changes.whole,
        }
    }
}

impl From<ChangesBody> for TableChanges {
    fn from(body: ChangesBody) -> Self {
        Self {
            rows: body.rows.into_iter().map(Row::from).collect(),
            version: body.version,
            digest: body.digest,
            whole: body.whole,
        }
    }
}
