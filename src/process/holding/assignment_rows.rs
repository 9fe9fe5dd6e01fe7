use {
    super::{HolderRow, HostRow},
    crate::{clock::Instant, formats::Row},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Another host's lease as known to membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLease {
    /// Version of the lease row.
    pub version: u64,
    /// When this host learnt of the version.
    pub known_since: Instant,
}

/// A holder row as last read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StoredHolder {
    pub version: u64,
    pub row: HolderRow,
}

/// Another host's lease as last read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StoredLease {
    version: u64,
    known_since: Instant,
}

/// The rows of leases and holders as last read from the store, and when this host learnt of each lease version.
#[derive(Debug, Default)]
pub(super) struct AssignmentRows {
    holders: BTreeMap<String, StoredHolder>,
    leases: BTreeMap<SocketAddr, StoredLease>,
}

impl AssignmentRows {
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
        version: u64,
        row: HolderRow,
    ) {
        let stored = StoredHolder { version, row };
        self.holders.insert(target.to_string(), stored);
    }

    /// Applies a row. Returns true if it was not known.
    pub fn apply(
        &mut self,
        row: &Row,
        now: Instant,
    ) -> bool {
        let Some(value) = &row.value else {
            return false;
        };
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
            return true;
        }
        let Some(target) = HolderRow::target_of(&row.key) else {
            return false;
        };
        let previous_version = self.holders.get(target).map_or(0, |stored| stored.version);
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
        version: u64,
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
    ) -> Option<u64> {
        let from_membership = membership
            .filter(|lease| lease.version > 0)
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
