use {
    crate::{
        clock::Instant,
        formats::{TargetRecord, TargetStart, TargetState},
    },
    std::sync::Arc,
};

/// A target of the list of targets.
#[derive(Debug, Clone)]
pub struct ListedTarget {
    /// The last valid entry.
    pub record: Arc<TargetRecord>,
    /// When use of the target ends, if its entry has vanished without notice.
    pub usable_until: Option<Instant>,
    /// Era of the store in which the entry vanished without notice.
    pub vanished_in: Option<u32>,
    /// Set if the current entry is not valid.
    pub is_entry_invalid: bool,
}

/// How an entry relates to the known record of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryOrder {
    /// The entry is of the same incarnation, or the target is new.
    Current,
    /// The entry is of a newer incarnation.
    Restarted { before: TargetStart },
    /// The entry is older than the known record.
    Stale,
    /// The entry lacks an incarnation, although the known record has one.
    MissingIncarnation,
}

impl ListedTarget {
    pub fn new(record: TargetRecord) -> Self {
        Self {
            record: Arc::new(record),
            usable_until: None,
            vanished_in: None,
            is_entry_invalid: false,
        }
    }

    /// Compares an entry under this target's key with the known record.
    ///
    /// Writes may reach the list late: an entry of an earlier incarnation must not replace a newer record, and
    /// an incarnation that is leaving does not become ready again. Without incarnations, each start has an id of its own.
    pub fn compare(
        &self,
        record: &TargetRecord,
    ) -> EntryOrder {
        match (self.record.started, record.started) {
            (Some(_), None) => EntryOrder::MissingIncarnation,
            (Some(known), Some(reported)) if reported < known => EntryOrder::Stale,
            (Some(known), Some(reported)) if reported > known => {
                EntryOrder::Restarted { before: known }
            }
            _ if self.is_leaving() && record.state == TargetState::Ready => EntryOrder::Stale,
            _ => EntryOrder::Current,
        }
    }

    /// Returns true if an entry of this era shows a target as ready that was known as gone in an earlier era: it may stand in the
    /// copy that the store was restored from alone.
    pub fn is_returned_in(
        &self,
        era: u32,
        record: &TargetRecord,
    ) -> bool {
        record.state == TargetState::Ready && self.vanished_in.is_some_and(|before| before < era)
    }

    /// Returns true if the target accepts new requests.
    pub fn is_usable(&self) -> bool {
        !self.is_entry_invalid && !self.is_leaving()
    }

    fn is_leaving(&self) -> bool {
        self.record.state == TargetState::Leaving
    }
}
