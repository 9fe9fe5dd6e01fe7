use {
    super::{HOLDING_TABLE, host_key, takeover_batches::MAX_TRANSACTION_ENTRIES},
    crate::{
        clock::Instant,
        formats::{Expectation, RowKey, StoreVersion, Transaction},
    },
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Lost hosts whose lease rows are read from the store, once for each loss.
///
/// A host may have renewed its lease just before it was lost, so that no other host knows the newest version. Without a
/// read, the takeover would find that version only after the known one has lapsed, and wait for a lapse once more.
#[derive(Debug)]
pub(super) struct LeaseChecks {
    checked: BTreeSet<SocketAddr>,
    is_checking: bool,
    next_check: Instant,
}

impl LeaseChecks {
    pub fn new(now: Instant) -> Self {
        Self {
            checked: BTreeSet::new(),
            is_checking: false,
            next_check: now,
        }
    }

    /// Returns a transaction that changes nothing and whose conflict tells the leases of the lost hosts that were not
    /// checked yet.
    ///
    /// `lost` are all hosts whose engines this host would take now if their leases had lapsed.
    pub fn next_check(
        &mut self,
        lost: &BTreeSet<SocketAddr>,
        now: Instant,
    ) -> Option<Transaction> {
        self.checked.retain(|host| lost.contains(host));
        if self.is_checking || now < self.next_check {
            return None;
        }
        let unchecked = lost.difference(&self.checked).copied();
        let hosts: Vec<SocketAddr> = unchecked.take(MAX_TRANSACTION_ENTRIES).collect();
        if hosts.is_empty() {
            return None;
        }
        let expectation = |host: &SocketAddr| Expectation {
            row: RowKey::new(HOLDING_TABLE, &host_key(*host)),
            version: StoreVersion::default(),
        };
        let expected = hosts.iter().map(expectation).collect();
        self.checked.extend(hosts);
        self.is_checking = true;
        Some(Transaction {
            expected,
            writes: Vec::new(),
        })
    }

    /// Handles the end of a check.
    pub fn on_checked(&mut self) {
        self.is_checking = false;
    }

    /// Handles a check without an answer; the next one is not sent before `retry_at`.
    pub fn on_failed(
        &mut self,
        retry_at: Instant,
    ) {
        self.is_checking = false;
        self.checked.clear();
        self.next_check = retry_at;
    }
}
