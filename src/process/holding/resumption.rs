use {
    super::{
        HOLDING_TABLE, assignment_rows::AssignmentRows, engine_key,
        takeover_batches::MAX_TRANSACTION_ENTRIES,
    },
    crate::formats::{Expectation, RowKey, StoreVersion},
    std::net::SocketAddr,
};

/// Transaction entries of the renewal itself: the expectation and the write of the host's own row.
pub(super) const RENEWAL_ENTRIES: usize = 2;

/// Resumption of the engines that an earlier process of this host held, by its first renewal.
///
/// Load addressed: a restart of all hosts of a large site, each of which has to resume its engines. The first renewal
/// expects the rows of these engines to be unchanged since they were read. If it succeeds, no other host has taken one
/// of them since, and the new version of the lease row prevents others from doing so. The table need not be read again.
#[derive(Debug, Default)]
pub(super) struct Resumption {
    is_abandoned: bool,
    /// Engines with the version and the fence of their rows.
    engines: Option<Vec<(String, StoreVersion, u64)>>,
}

impl Resumption {
    /// Begins with the engines that the rows assign to this host, if all fit into the renewal.
    pub fn begin(
        &mut self,
        rows: &AssignmentRows,
        local_host: SocketAddr,
    ) {
        let engines: Vec<(String, StoreVersion, u64)> = rows
            .assigned_to(local_host)
            .filter(|(_, stored)| rows.is_current(stored))
            .map(|(target, stored)| (target.clone(), stored.version, stored.row.fence))
            .collect();
        let fits = engines.len() + RENEWAL_ENTRIES <= MAX_TRANSACTION_ENTRIES;
        self.engines = (fits && !self.is_abandoned).then_some(engines);
    }

    /// Gives up after a conflict: the table is read after the renewal, as on a small site.
    pub fn abandon(&mut self) {
        self.is_abandoned = true;
        self.engines = None;
    }

    /// Returns what the renewal must expect besides the host's own row.
    pub fn expectations(&self) -> impl Iterator<Item = Expectation> {
        let engines = self.engines.iter().flatten();
        engines.map(|(target, version, _)| Expectation {
            row: RowKey::new(HOLDING_TABLE, &engine_key(target)),
            version: *version,
        })
    }

    /// Returns the engines with their fences once the renewal is committed; `None` if it confirmed nothing.
    pub fn finish(&mut self) -> Option<Vec<(String, u64)>> {
        let engines = self.engines.take()?;
        let fences = engines
            .into_iter()
            .map(|(target, _, fence)| (target, fence));
        Some(fences.collect())
    }
}
