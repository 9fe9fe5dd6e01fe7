use {super::TakenEngine, crate::formats::Transaction};

/// An engine that this host controls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldEngine {
    /// Fence of the orders that this host sends to the engine.
    pub fence: u64,
    /// Term of the lease in which the assignment was last confirmed.
    pub term: u64,
}

/// A store operation that is required.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AssignmentAction {
    /// Commits a renewal of this host's lease.
    Renew { transaction: Transaction },
    /// Reads the complete table.
    ReadTable,
    /// Commits a transaction that only reads the leases of lost hosts.
    CheckLeases { transaction: Transaction },
    /// Commits changes of engines' holders, all or none.
    Take {
        engines: Vec<TakenEngine>,
        transaction: Transaction,
    },
}
