use {
    super::TableChanges,
    crate::{
        clock::Instant,
        formats::{Row, RowBatch},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Rows that are gone and still remembered, at the most.
const MAX_GONE: usize = 256;

/// How another host's copy stands against this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// Both mean the same.
    Same,
    /// The other one is newer.
    Newer,
    /// This one is newer.
    Older,
}

/// A row with what it means here, in short.
#[derive(Debug, Clone)]
struct KeptRow {
    row: Row,
    /// Equal for two values of a row that mean the same here.
    fingerprint: u64,
}

/// A copy of one table of the store, which never goes back to an older version.
#[derive(Debug, Default)]
pub struct TableCopy {
    rows: BTreeMap<Arc<str>, KeptRow>,
    /// The copy holds every change up to this version of the store.
    version: u64,
    /// Sum over the fingerprints of the rows that are there: equal for copies that mean the same.
    digest: u64,
    /// The copy was right at this time; `None` before the first read.
    as_of: Option<Instant>,
    /// Changes at or before this version may have been forgotten.
    floor: u64,
}

impl TableCopy {
    /// The version to ask for changes since; 0 before the first read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Stands for the meaning of all rows.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// True once the table has been read.
    pub fn is_known(&self) -> bool {
        self.as_of.is_some()
    }

    /// When the copy was last known to be right; `None` before the first read.
    pub fn right_at(&self) -> Option<Instant> {
        self.as_of
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
        let rows = self.rows.values().map(|kept| &kept.row);
        rows.filter(|row| row.value.is_some())
    }

    /// Takes in changes that were asked for at `asked`; gives the rows that matter.
    ///
    /// `fingerprint` is equal for two values of a row that mean the same.
    pub fn apply_changes(
        &mut self,
        batch: RowBatch,
        asked: Instant,
        fingerprint: impl Fn(&Row) -> u64,
    ) -> Vec<Row> {
        match self.accept(&batch, asked) {
            true => self.put_all(batch.rows, &fingerprint),
            false => Vec::new(),
        }
    }

    /// Takes in the whole table, as asked for at `asked`; gives the rows that matter.
    pub fn apply_whole(
        &mut self,
        batch: RowBatch,
        asked: Instant,
        fingerprint: impl Fn(&Row) -> u64,
    ) -> Vec<Row> {
        match self.accept(&batch, asked) {
            true => self.put_whole(batch, &fingerprint),
            false => Vec::new(),
        }
    }

    /// A read that was asked for at `asked` confirms this copy, unless the copy is newer.
    fn accept(
        &mut self,
        batch: &RowBatch,
        asked: Instant,
    ) -> bool {
        if batch.version < self.version {
            return false;
        }
        self.confirm(batch.version, asked);
        true
    }

    /// Puts all rows of a table in place of those that are there.
    fn put_whole(
        &mut self,
        batch: RowBatch,
        fingerprint: &impl Fn(&Row) -> u64,
    ) -> Vec<Row> {
        let version = batch.version;
        let gone = |old: &&Row| !batch.rows.iter().any(|row| row.key == old.key);
        let missing: Vec<Row> = self
            .rows()
            .filter(gone)
            .map(|old| Row {
                key: old.key.clone(),
                version,
                value: None,
            })
            .collect();
        // Where this copy differs although its row is no older, it missed something in between.
        let rows = batch.rows.into_iter().map(|row| {
            let print = print_of(&row, fingerprint);
            let old = self.rows.get(&row.key);
            let stale =
                old.is_some_and(|old| old.fingerprint != print && old.row.version >= row.version);
            match stale {
                true => Row { version, ..row },
                false => row,
            }
        });
        let rows: Vec<Row> = rows.chain(missing).collect();
        self.floor = self.floor.max(version);
        self.put_all(rows, fingerprint)
    }

    /// Takes in what another host told of its copy, which was right at `as_of`; gives the rows that
    /// matter, and whether both copies now mean the same. If not, the whole table must be asked for.
    pub fn apply_from_host(
        &mut self,
        changes: TableChanges,
        as_of: Instant,
        fingerprint: impl Fn(&Row) -> u64,
    ) -> (Vec<Row>, bool) {
        if changes.version < self.version {
            return (Vec::new(), true);
        }
        let changed = match changes.whole {
            true => {
                let batch = RowBatch {
                    rows: changes.rows,
                    version: changes.version,
                    more: false,
                };
                self.put_whole(batch, &fingerprint)
            }
            false => self.put_all(changes.rows, &fingerprint),
        };
        let same = self.digest == changes.digest;
        if same {
            self.confirm(changes.version, as_of);
        }
        (changed, same)
    }

    /// Another host's copy stands at this version, has this digest and was right at `as_of`. If both
    /// mean the same, this copy was right then, too.
    pub fn compare(
        &mut self,
        version: u64,
        digest: u64,
        as_of: Instant,
    ) -> Comparison {
        if self.is_known() && digest == self.digest {
            self.confirm(version, as_of);
            return Comparison::Same;
        }
        match version > self.version || !self.is_known() {
            true => Comparison::Newer,
            false => Comparison::Older,
        }
    }

    /// What has changed since `version`, for another host.
    pub fn changes_since(
        &self,
        version: u64,
    ) -> TableChanges {
        let whole = version < self.floor || version == 0;
        let rows = self.rows.values().map(|kept| &kept.row);
        let rows = rows.filter(|row| match whole {
            true => row.value.is_some(),
            false => row.version > version,
        });
        TableChanges {
            rows: rows.cloned().collect(),
            version: self.version,
            digest: self.digest,
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

    /// Puts rows in place of older ones; gives those that matter.
    fn put_all(
        &mut self,
        rows: Vec<Row>,
        fingerprint: &impl Fn(&Row) -> u64,
    ) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            if self.put(&row, fingerprint) {
                changed.push(row);
            }
        }
        self.forget_gone();
        changed
    }

    /// Puts a row in place of an older one; true if that matters.
    fn put(
        &mut self,
        row: &Row,
        fingerprint: &impl Fn(&Row) -> u64,
    ) -> bool {
        let old = self.rows.get(&row.key);
        if old.is_some_and(|old| old.row.version >= row.version) {
            return false;
        }
        let was_there = old.is_some_and(|old| old.row.value.is_some());
        let is_there = row.value.is_some();
        if !was_there && !is_there {
            return false;
        }
        let old_print = old.map_or(0, |old| old.fingerprint);
        let print = print_of(row, fingerprint);
        if was_there && is_there && print == old_print {
            return false;
        }
        self.digest = self.digest.wrapping_sub(old_print).wrapping_add(print);
        let kept = KeptRow {
            row: row.clone(),
            fingerprint: print,
        };
        self.rows.insert(row.key.clone(), kept);
        true
    }

    /// Drops the oldest rows that are gone.
    fn forget_gone(&mut self) {
        let mut gone: Vec<u64> = self
            .rows
            .values()
            .filter(|kept| kept.row.value.is_none())
            .map(|kept| kept.row.version)
            .collect();
        if gone.len() <= MAX_GONE {
            return;
        }
        gone.sort_unstable();
        let floor = gone[gone.len() - MAX_GONE / 2];
        self.floor = self.floor.max(floor);
        self.rows
            .retain(|_, kept| kept.row.value.is_some() || kept.row.version > floor);
    }
}

/// What a row adds to the digest.
fn print_of(
    row: &Row,
    fingerprint: &impl Fn(&Row) -> u64,
) -> u64 {
    match row.value.is_some() {
        true => xxh3_64_with_seed(row.key.as_bytes(), fingerprint(row)),
        false => 0,
    }
}
