use {
    crate::formats::{Row, RowBatch},
    std::{collections::BTreeMap, sync::Arc, time::Duration, time::Instant},
};

/// Rows that are gone and still remembered, at the most.
const MAX_GONE: usize = 256;

/// Rows that changed, or all rows, to be passed on to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableChanges {
    pub rows: Vec<Row>,
    /// The copy is as of this version.
    pub version: u64,
    /// The last version at which something changed that matters.
    pub changed_version: u64,
    /// `rows` is the whole table; what it does not name is gone.
    pub whole: bool,
}

/// A copy of one table of the store, which never goes back to an older version.
#[derive(Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<Arc<str>, Row>,
    /// The copy holds every change up to this version of the store.
    version: u64,
    /// The last version at which something changed that matters here.
    changed_version: u64,
    /// The copy was right at this time; `None` before the first read.
    as_of: Option<Instant>,
    /// Changes at or before this version may have been forgotten.
    floor: u64,
}

impl TableCopy {
    /// The version to ask the store for changes since; 0 before the first read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The version that other hosts compare theirs with.
    pub fn changed_version(&self) -> u64 {
        self.changed_version
    }

    /// True once the table has been read.
    pub fn is_known(&self) -> bool {
        self.as_of.is_some()
    }

    /// Time since the copy was known to be right.
    pub fn age(
        &self,
        now: Instant,
    ) -> Option<Duration> {
        self.as_of.map(|at| now.saturating_duration_since(at))
    }

    /// The rows that are there.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().filter(|row| row.value.is_some())
    }

    pub fn get(
        &self,
        key: &str,
    ) -> Option<&Row> {
        self.rows.get(key).filter(|row| row.value.is_some())
    }

    /// Takes in changes that were asked for at `asked`; gives the rows that matter.
    ///
    /// `is_same` says whether a row's new value means the same as its old one.
    pub fn apply_changes(
        &mut self,
        batch: RowBatch,
        asked: Instant,
        is_same: impl Fn(&Row, &Row) -> bool,
    ) -> Vec<Row> {
        if batch.version < self.version {
            return Vec::new();
        }
        self.confirm(batch.version, asked);
        let mut changed = Vec::new();
        for row in batch.rows {
            if self.put(&row, &is_same) {
                changed.push(row);
            }
        }
        self.forget_gone();
        changed
    }

    /// Takes in the whole table, as asked for at `asked`; gives the rows that matter.
    pub fn apply_whole(
        &mut self,
        batch: RowBatch,
        asked: Instant,
        is_same: impl Fn(&Row, &Row) -> bool,
    ) -> Vec<Row> {
        if batch.version < self.version {
            return Vec::new();
        }
        let known = self.is_known();
        let missing: Vec<Row> = self
            .rows()
            .filter(|old| !batch.rows.iter().any(|row| row.key == old.key))
            .map(|old| Row {
                key: old.key.clone(),
                version: batch.version,
                value: None,
            })
            .collect();
        let version = batch.version;
        let rows = batch.rows.into_iter().chain(missing).collect();
        let whole = RowBatch {
            rows,
            version,
            more: false,
        };
        let changed = self.apply_changes(whole, asked, is_same);
        if !known {
            self.floor = version;
        }
        changed
    }

    /// Takes in what another host told of its copy, which was right at `as_of`.
    pub fn apply_from_host(
        &mut self,
        changes: TableChanges,
        as_of: Instant,
        is_same: impl Fn(&Row, &Row) -> bool,
    ) -> Vec<Row> {
        if changes.version < self.version {
            return Vec::new();
        }
        let changed_version = changes.changed_version;
        let batch = RowBatch {
            rows: changes.rows,
            version: changes.version,
            more: false,
        };
        let changed = match changes.whole {
            true => self.apply_whole(batch, as_of, is_same),
            false => self.apply_changes(batch, as_of, is_same),
        };
        self.changed_version = self.changed_version.max(changed_version);
        changed
    }

    /// Another host's copy bears `changed_version` and was right at `as_of`; true if this copy
    /// holds all that matters of it, and so was right then, too.
    pub fn confirm_from(
        &mut self,
        changed_version: u64,
        as_of: Instant,
    ) -> bool {
        let covers = self.is_known() && self.changed_version >= changed_version;
        if covers && self.changed_version == changed_version {
            self.as_of = self.as_of.max(Some(as_of));
        }
        covers
    }

    /// What has changed since `version`, for another host.
    pub fn changes_since(
        &self,
        version: u64,
    ) -> TableChanges {
        let whole = version < self.floor || version == 0;
        let rows = self.rows.values().filter(|row| match whole {
            true => row.value.is_some(),
            false => row.version > version,
        });
        TableChanges {
            rows: rows.cloned().collect(),
            version: self.version,
            changed_version: self.changed_version,
            whole,
        }
    }

    fn confirm(
        &mut self,
        version: u64,
        asked: Instant,
    ) {
        self.version = self.version.max(version);
        self.as_of = self.as_of.max(Some(asked));
    }

    fn put(
        &mut self,
        row: &Row,
        is_same: &impl Fn(&Row, &Row) -> bool,
    ) -> bool {
        let old = self.rows.get(&row.key);
        if old.is_some_and(|old| old.version >= row.version) {
            return false;
        }
        let absent = old.is_none_or(|old| old.value.is_none());
        if absent && row.value.is_none() {
            return false;
        }
        let same = old.is_some_and(|old| is_same(old, row));
        if same {
            return false;
        }
        self.changed_version = self.changed_version.max(row.version);
        self.rows.insert(row.key.clone(), row.clone());
        true
    }

    /// Drops the oldest rows that are gone.
    fn forget_gone(&mut self) {
        let mut gone: Vec<u64> = self
            .rows
            .values()
            .filter(|row| row.value.is_none())
            .map(|row| row.version)
            .collect();
        if gone.len() <= MAX_GONE {
            return;
        }
        gone.sort_unstable();
        let floor = gone[gone.len() - MAX_GONE / 2];
        self.floor = self.floor.max(floor);
        self.rows
            .retain(|_, row| row.value.is_some() || row.version > floor);
    }
}
