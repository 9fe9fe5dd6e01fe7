use {
    super::{AssignmentAction, HOLDING_TABLE, HolderRow, engine_key, host_key},
    crate::formats::{Expectation, RowKey, RowWrite, Transaction},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Limit of the store for the entries of one transaction.
const MOST_ENTRIES: usize = 100;

/// One expectation and one write.
const ENTRIES_PER_ENGINE: usize = 2;

/// Engines that fit into one transaction if they have no former holder.
pub(super) const MOST_ENGINES: usize = MOST_ENTRIES / ENTRIES_PER_ENGINE;

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
    pub version: u64,
}

/// An engine that this host may take now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct VacantEngine {
    pub engine: TakenEngine,
    /// Version of its row, or 0 if there is none.
    pub version: u64,
    /// Lease of the holder that its row names.
    pub lapsed: Option<LapsedLease>,
}

/// Collects the engines that a host takes at one moment into as few transactions as possible.
pub(super) struct TakeBatches {
    me: SocketAddr,
    most_engines: usize,
    closed: Vec<AssignmentAction>,
    engines: Vec<TakenEngine>,
    lapsed: BTreeSet<LapsedLease>,
    transaction: Transaction,
}

impl TakeBatches {
    /// Creates batches of at most `most_engines` engines.
    pub fn new(
        me: SocketAddr,
        most_engines: usize,
    ) -> Self {
        Self {
            me,
            most_engines,
            closed: Vec::new(),
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
            holder: self.me,
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
        self.closed
    }

    fn has_room_for(
        &self,
        vacant: &VacantEngine,
    ) -> bool {
        let is_new = |lapsed: &LapsedLease| !self.lapsed.contains(lapsed);
        let needed = ENTRIES_PER_ENGINE + usize::from(vacant.lapsed.as_ref().is_some_and(is_new));
        let used = self.transaction.expected.len() + self.transaction.writes.len();
        used + needed <= MOST_ENTRIES && self.engines.len() < self.most_engines
    }

    fn expect(
        &mut self,
        row: RowKey,
        version: u64,
    ) {
        self.transaction.expected.push(Expectation { row, version });
    }

    fn close(&mut self) {
        if self.engines.is_empty() {
            return;
        }
        self.lapsed.clear();
        self.closed.push(AssignmentAction::Take {
            engines: std::mem::take(&mut self.engines),
            transaction: std::mem::take(&mut self.transaction),
        });
    }
}
