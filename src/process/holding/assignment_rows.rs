use {
    super::{HolderRow, HostRow},
    crate::{
        clock::Instant,
        formats::{Row, StoreVersion},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Another host's lease as known to membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLease {
    /// Version of the lease row.
    pub version: StoreVersion,
    /// When this host learnt of the version.
    pub known_since: Instant,
}

/// A holder row as last read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StoredHolder {
    pub version: StoreVersion,
    pub row: HolderRow,
}

/// Another host's lease as last read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StoredLease {
    version: StoreVersion,
    known_since: Instant,
}

/// The rows of leases and holders as last read from the store, and when this host learnt of each lease version.
#[derive(Debug, Default)]
pub(super) struct AssignmentRows {
    /// Era of the store that all rows are of.
    era: u32,
    holders: BTreeMap<String, StoredHolder>,
    leases: BTreeMap<SocketAddr, StoredLease>,
    /// A row was written in an earlier era, or before all rows of this one were written, so that some may be lost.
    has_earlier_rows: bool,
}

impl AssignmentRows {
    /// Forgets all rows, as the store has entered another era.
    pub fn reset(
        &mut self,
        era: u32,
    ) {
        *self = Self {
            era,
            ..Self::default()
        };
    }

    /// Sets the era of the first answer.
    pub fn set_first_era(
        &mut self,
        era: u32,
    ) {
        self.era = self.era.max(era);
    }

    /// Returns true if a holder was recorded in the present era. What was recorded earlier may be outdated.
    pub fn is_current(
        &self,
        stored: &StoredHolder,
    ) -> bool {
        stored.row.era() == self.era
    }

    /// Returns true if a row was written in an earlier era, or before all rows of this one were written, so that some may be
    /// lost.
    pub fn has_earlier_rows(&self) -> bool {
        self.has_earlier_rows
    }

    /// Returns the holder row of an engine.
    pub fn holder(
        &self,
        target: &str,
    ) -> Option<&StoredHolder> {
        self.holders.get(target)
    }

    /// Returns the number of holder rows.
    pub fn holder_count(&self) -> usize {
        self.holders.len()
    }

    /// Returns the number of hosts with a lease row.
    pub fn host_count(&self) -> usize {
        self.leases.len()
    }

    /// Returns the engines that the rows assign to a host.
    pub fn assigned_to(
        &self,
        host: SocketAddr,
    ) -> impl Iterator<Item = (&String, &StoredHolder)> {
        let holders = self.holders.iter();
        holders.filter(move |(_, stored)| stored.row.holder == host)
    }

    /// Records a row that this host has written.
    pub fn record_written(
        &mut self,
        target: &str,
        version: StoreVersion,
        row: HolderRow,
    ) {
        let stored = StoredHolder { version, row };
        self.holders.insert(target.to_string(), stored);
    }

    /// Applies a row, unless it is of an earlier era. Returns true if it was not known.
    pub fn apply(
        &mut self,
        row: &Row,
        now: Instant,
    ) -> bool {
        let Some(value) = &row.value else {
            return false;
        };
        if row.version.era < self.era {
            return false;
        }
        if let Some(peer) = HostRow::peer_of(&row.key) {
            let known_version = self.leases.get(&peer).map(|lease| lease.version);
            if known_version == Some(row.version) {
                return false;
            }
            let lease = StoredLease {
                version: row.version,
                known_since: now,
            };
            self.leases.insert(peer, lease);
            let host = serde_json::from_slice::<HostRow>(value);
            self.has_earlier_rows |= host.is_ok_and(|host| host.settled_era < self.era);
            return true;
        }
        let Some(target) = HolderRow::target_of(&row.key) else {
            return false;
        };
        let previous_version = self
            .holders
            .get(target)
            .map_or(StoreVersion::default(), |stored| stored.version);
        if row.version < previous_version {
            return false;
        }
        let Ok(holder) = serde_json::from_slice::<HolderRow>(value) else {
            return self.on_malformed_row(target, row.version);
        };
        let stored = StoredHolder {
            version: row.version,
            row: holder,
        };
        self.has_earlier_rows |= !self.is_current(&stored);
        self.holders.insert(target.to_string(), stored);
        row.version > previous_version
    }

    /// Handles a malformed engine row.
    ///
    /// Keeps the holder named before, so that the engine is taken once that host's lease has lapsed. Without one, it is
    /// unknown whose lease to wait for.
    fn on_malformed_row(
        &mut self,
        target: &str,
        version: StoreVersion,
    ) -> bool {
        let Some(stored) = self.holders.get_mut(target) else {
            return false;
        };
        let is_newer = version > stored.version;
        stored.version = version;
        is_newer
    }

    /// Returns the version of a host's lease that has been known for `delay`, so that the lease has lapsed.
    pub fn lapsed_lease(
        &self,
        host: SocketAddr,
        membership: Option<KnownLease>,
        delay: Duration,
        now: Instant,
    ) -> Option<StoreVersion> {
        // Rows that were lost with an earlier era tell nothing of the lease.
        let from_membership = membership
            .filter(|lease| !lease.version.is_absent() && lease.version.era == self.era)
            .map(|lease| (lease.version, lease.known_since));
        let from_store = self
            .leases
            .get(&host)
            .map(|lease| (lease.version, lease.known_since));
        // The earliest time at which the newest version was known.
        let newest_version = from_membership
            .into_iter()
            .chain(from_store)
            .map(|(version, _)| version)
            .max()?;
        let since = from_membership
            .into_iter()
            .chain(from_store)
            .filter(|(version, _)| *version == newest_version)
            .map(|(_, since)| since)
            .min()?;
        let has_lapsed = now.saturating_duration_since(since) >= delay;
        has_lapsed.then_some(newest_version)
    }
}
