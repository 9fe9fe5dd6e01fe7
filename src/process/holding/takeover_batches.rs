use {
    super::{AssignmentAction, HOLDING_TABLE, HolderRow, engine_key, host_key},
    crate::formats::{Expectation, RowKey, RowWrite, StoreVersion, Transaction},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Limit of the store for the entries of one transaction.
pub(super) const MAX_TRANSACTION_ENTRIES: usize = 100;

/// One expectation and one write.
pub(super) const ENTRIES_PER_ENGINE: usize = 2;

/// Engines that fit into one transaction if they have no former holder.
pub(super) const MAX_BATCH_ENGINES: usize = MAX_TRANSACTION_ENTRIES / ENTRIES_PER_ENGINE;

/// An engine that is taken, and the fence for this host's orders to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenEngine {
    pub target: String,
    pub fence: u64,
}

/// Another host's lease that has lapsed, provided that its row still has this version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LapsedLease {
    pub host: SocketAddr,
    pub version: StoreVersion,
}

/// An engine that this host may take now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct VacantEngine {
    pub engine: TakenEngine,
    /// Version of its row, absent if there is none.
    pub version: StoreVersion,
    /// Lease of the holder that its row names.
    pub lapsed: Option<LapsedLease>,
}

/// Collects the engines that a host takes at one moment into as few transactions as possible.
pub(super) struct TakeoverBatches {
    local_host: SocketAddr,
    max_engines: usize,
    finished: Vec<AssignmentAction>,
    engines: Vec<TakenEngine>,
    lapsed: BTreeSet<LapsedLease>,
    transaction: Transaction,
}

impl TakeoverBatches {
    /// Creates batches of at most `max_engines` engines.
    pub fn new(
        local_host: SocketAddr,
        max_engines: usize,
    ) -> Self {
        Self {
            local_host,
            max_engines,
            finished: Vec::new(),
            engines: Vec::new(),
            lapsed: BTreeSet::new(),
            transaction: Transaction::default(),
        }
    }

    pub fn add(
        &mut self,
        vacant: VacantEngine,
    ) {
        if !self.has_room_for(&vacant) {
            self.close();
        }
        let row = RowKey::new(HOLDING_TABLE, &engine_key(&vacant.engine.target));
        self.expect(row.clone(), vacant.version);
        if let Some(lapsed) = vacant.lapsed
            && self.lapsed.insert(lapsed)
        {
            let row = RowKey::new(HOLDING_TABLE, &host_key(lapsed.host));
            self.expect(row, lapsed.version);
        }
        let value = HolderRow {
            holder: self.local_host,
            fence: vacant.engine.fence,
        };
        let value = serde_json::to_vec(&value).expect("holder row serializes");
        self.transaction.writes.push(RowWrite {
            row,
            value: Some(value),
        });
        self.engines.push(vacant.engine);
    }

    /// Adds an engine in a transaction of its own.
    pub fn add_alone(
        &mut self,
        vacant: VacantEngine,
    ) {
        self.close();
        self.add(vacant);
        self.close();
    }

    /// Returns all transactions, including the last one that is not full.
    pub fn finish(mut self) -> Vec<AssignmentAction> {
        self.close();
        self.finished
    }

    fn has_room_for(
        &self,
        vacant: &VacantEngine,
    ) -> bool {
        let is_new = |lapsed: &LapsedLease| !self.lapsed.contains(lapsed);
        let needed = ENTRIES_PER_ENGINE + usize::from(vacant.lapsed.as_ref().is_some_and(is_new));
        let used = self.transaction.expected.len() + self.transaction.writes.len();
        used + needed <= MAX_TRANSACTION_ENTRIES && self.engines.len() < self.max_engines
    }

    fn expect(
        &mut self,
        row: RowKey,
        version: StoreVersion,
    ) {
        self.transaction.expected.push(Expectation { row, version });
    }

    fn close(&mut self) {
        if self.engines.is_empty() {
            return;
        }
        self.lapsed.clear();
        self.finished.push(AssignmentAction::Take {
            engines: std::mem::take(&mut self.engines),
            transaction: std::mem::take(&mut self.transaction),
        });
    }
}
