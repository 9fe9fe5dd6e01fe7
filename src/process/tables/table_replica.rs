use {
    super::TableChanges,
    crate::{
        clock::Instant,
        formats::{Row, RowBatch, StoreVersion},
    },
    std::{
        collections::{BTreeMap, HashSet},
        sync::Arc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Maximum number of retained tombstones (rows without a value).
const MAX_TOMBSTONES: usize = 256;

/// Result of comparing another host's replica with this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// Both have the same digest.
    Same,
    /// The other replica is newer.
    Newer,
    /// The other replica is older.
    Older,
}

#[derive(Debug, Clone)]
struct ReplicaRow {
    row: Row,
    /// Equal for equivalent values of a row.
    fingerprint: u64,
}

/// A replica of one table of the store. Its version never decreases: after a restoration of the store, the older content of the
/// later era replaces that of the earlier one.
#[derive(Debug, Default)]
pub struct TableReplica {
    rows: BTreeMap<Arc<str>, ReplicaRow>,
    /// The replica holds every change up to this version of the store.
    version: StoreVersion,
    /// Sum of the digests of all rows; equal for equivalent replicas.
    digest: u64,
    /// When the replica was last known to match the store; `None` before the first read.
    confirmed_at: Option<Instant>,
    /// Deletions up to this version may be missing from the tombstones.
    compacted_version: StoreVersion,
}

impl TableReplica {
    /// Returns the store version of the replica; absent before the first read.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns the digest of all rows; equal for equivalent replicas.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns true once the table has been read.
    pub fn is_known(&self) -> bool {
        self.confirmed_at.is_some()
    }

    /// Returns when the replica was last known to match the store; `None` before the first read.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the time since the replica was known to match the store; `None` before the first read.
    pub fn staleness(
        &self,
        now: Instant,
    ) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    /// Returns the rows that have a value.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        let rows = self.rows.values().map(|entry| &entry.row);
        rows.filter(|row| row.value.is_some())
    }

    /// Returns a row that has a value.
    pub fn row(
        &self,
        key: &str,
    ) -> Option<&Row> {
        let row = &self.rows.get(key)?.row;
        row.value.is_some().then_some(row)
    }

    /// Applies changes that were requested from the store at `requested_at`; returns the rows whose meaning
    /// changed.
    ///
    /// `fingerprint` is equal for equivalent values of a row.
    pub fn apply_changes(
        &mut self,
        batch: RowBatch,
        requested_at: Instant,
        fingerprint: impl Fn(&Row) -> u64,
    ) -> Vec<Row> {
        match self.accept(&batch, requested_at) {
            true => self.upsert_all(batch.rows, &fingerprint),
            false => Vec::new(),
        }
    }

    /// Applies a snapshot that was requested from the store at `requested_at`; returns the rows whose meaning
    /// changed.
    pub fn apply_snapshot(
        &mut self,
        batch: RowBatch,
        requested_at: Instant,
        fingerprint: impl Fn(&Row) -> u64,
    ) -> Vec<Row> {
        match self.accept(&batch, requested_at) {
            true => self.replace_all(batch, &fingerprint),
            false => Vec::new(),
        }
    }

    /// Records a read requested at `requested_at`; returns false if it is older than the replica.
    fn accept(
        &mut self,
        batch: &RowBatch,
        requested_at: Instant,
    ) -> bool {
        if batch.version < self.version {
            return false;
        }
        self.confirm(batch.version, requested_at);
        true
    }

    /// Replaces all rows; returns those whose meaning changed.
    fn replace_all(
        &mut self,
        batch: RowBatch,
        fingerprint: &impl Fn(&Row) -> u64,
    ) -> Vec<Row> {
        let version = batch.version;
        let keys: HashSet<&str> = batch.rows.iter().map(|row| &*row.key).collect();
        let is_missing = |old: &&Row| !keys.contains(&*old.key);
        let missing: Vec<Row> = self
            .rows()
            .filter(is_missing)
            .map(|old| Row {
                key: old.key.clone(),
                version,
                value: None,
            })
            .collect();
        // A row that differs although its version is not older missed a change: it takes the version
        // of the snapshot, so that it is replaced.
        let rows = batch.rows.into_iter().map(|row| {
            let row_digest = digest_of(&row, fingerprint);
            let old = self.rows.get(&row.key);
            let stale = old
                .is_some_and(|old| old.fingerprint != row_digest && old.row.version >= row.version);
            match stale {
                true => Row { version, ..row },
                false => row,
            }
        });
        let rows: Vec<Row> = rows.chain(missing).collect();
        self.compacted_version = self.compacted_version.max(version);
        self.upsert_all(rows, fingerprint)
    }

    /// Applies changes from another host, whose replica matched the store at `confirmed_at`; returns the rows
    /// whose meaning changed and whether the digests now agree. If not, a full snapshot is required.
    pub fn apply_host_changes(
        &mut self,
        changes: TableChanges,
        confirmed_at: Instant,
        fingerprint: impl Fn(&Row) -> u64,
    ) -> (Vec<Row>, bool) {
        if changes.version < self.version {
            return (Vec::new(), true);
        }
        let changed = match changes.is_full {
            true => {
                let batch = RowBatch {
                    rows: changes.rows,
                    version: changes.version,
                    more: false,
                };
                self.replace_all(batch, &fingerprint)
            }
            false => self.upsert_all(changes.rows, &fingerprint),
        };
        let digests_match = self.digest == changes.digest;
        if digests_match {
            self.confirm(changes.version, confirmed_at);
        }
        (changed, digests_match)
    }

    /// Compares with another host's replica, which matched the store at `confirmed_at`. If the digests agree,
    /// this replica matched the store then as well.
    pub fn compare(
        &mut self,
        version: StoreVersion,
        digest: u64,
        confirmed_at: Instant,
    ) -> Comparison {
        if self.is_known() && digest == self.digest {
            self.confirm(version, confirmed_at);
            return Comparison::Same;
        }
        match version > self.version || !self.is_known() {
            true => Comparison::Newer,
            false => Comparison::Older,
        }
    }

    /// Returns the changes since `version`, or a full snapshot if they are no longer available.
    pub fn changes_since(
        &self,
        version: StoreVersion,
    ) -> TableChanges {
        // Of an earlier era, the other host may have rows that the store has lost.
        let is_full = version < self.compacted_version
            || version.era != self.version.era
            || version.is_absent();
        let rows = self.rows.values().map(|entry| &entry.row);
        let rows = rows.filter(|row| match is_full {
            true => row.value.is_some(),
            false => row.version > version,
        });
        TableChanges {
            rows: rows.cloned().collect(),
            version: self.version,
            digest: self.digest,
            is_full,
        }
    }

    /// Advances the version and the time of confirmation.
    fn confirm(
        &mut self,
        version: StoreVersion,
        requested_at: Instant,
    ) {
        self.version = self.version.max(version);
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
    }

    /// Replaces older rows; returns those whose meaning changed.
    fn upsert_all(
        &mut self,
        rows: Vec<Row>,
        fingerprint: &impl Fn(&Row) -> u64,
    ) -> Vec<Row> {
        let mut changed = Vec::new();
        for row in rows {
            if self.upsert(&row, fingerprint) {
                changed.push(row);
            }
        }
        self.evict_tombstones();
        changed
    }

    /// Replaces an older row; returns true if its meaning changed.
    fn upsert(
        &mut self,
        row: &Row,
        fingerprint: &impl Fn(&Row) -> u64,
    ) -> bool {
        let old = self.rows.get(&row.key);
        if old.is_some_and(|old| old.row.version >= row.version) {
            return false;
        }
        let had_value = old.is_some_and(|old| old.row.value.is_some());
        let has_value = row.value.is_some();
        if !had_value && !has_value {
            return false;
        }
        let old_row_digest = old.map_or(0, |old| old.fingerprint);
        let row_digest = digest_of(row, fingerprint);
        if had_value && has_value && row_digest == old_row_digest {
            return false;
        }
        self.digest = self
            .digest
            .wrapping_sub(old_row_digest)
            .wrapping_add(row_digest);
        let entry = ReplicaRow {
            row: row.clone(),
            fingerprint: row_digest,
        };
        self.rows.insert(row.key.clone(), entry);
        true
    }

    /// Evicts the older half of the tombstones when there are more than the maximum.
    fn evict_tombstones(&mut self) {
        let mut tombstone_versions: Vec<StoreVersion> = self
            .rows
            .values()
            .filter(|entry| entry.row.value.is_none())
            .map(|entry| entry.row.version)
            .collect();
        if tombstone_versions.len() <= MAX_TOMBSTONES {
            return;
        }
        tombstone_versions.sort_unstable();
        let compacted_version = tombstone_versions[tombstone_versions.len() - MAX_TOMBSTONES / 2];
        self.compacted_version = self.compacted_version.max(compacted_version);
        self.rows
            .retain(|_, entry| entry.row.value.is_some() || entry.row.version > compacted_version);
    }
}

/// Returns the contribution of a row to the digest; 0 for a tombstone.
fn digest_of(
    row: &Row,
    fingerprint: &impl Fn(&Row) -> u64,
) -> u64 {
    match row.value.is_some() {
        true => xxh3_64_with_seed(row.key.as_bytes(), fingerprint(row)),
        false => 0,
    }
}
