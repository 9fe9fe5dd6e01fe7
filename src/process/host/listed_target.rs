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
    pub vanished_until: Option<Instant>,
    /// Set if the current entry is not valid.
    pub names_no_target: bool,
}

/// How an entry relates to the known record of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryNews {
    /// The entry is of the same incarnation, or the target is new.
    Current,
    /// The entry is of a newer incarnation.
    Restarted { before: TargetStart },
    /// The entry is older than the known record.
    Late,
    /// The entry lacks an incarnation, although the known record has one.
    Foreign,
}

impl ListedTarget {
    pub fn new(record: TargetRecord) -> Self {
        Self {
            record: Arc::new(record),
            vanished_until: None,
            names_no_target: false,
        }
    }

    /// Compares an entry under this target's key with the known record.
    ///
    /// Writes may reach the list late: an entry of an earlier incarnation must not replace a newer record, and
    /// an incarnation that is leaving does not become ready again.
    pub fn compare(
        &self,
        record: &TargetRecord,
    ) -> EntryNews {
        match (self.record.started, record.started) {
            (Some(_), None) => EntryNews::Foreign,
            (Some(known), Some(told)) if told < known => EntryNews::Late,
            (Some(known), Some(told)) if told > known => EntryNews::Restarted { before: known },
            (Some(_), Some(_)) if self.has_left() && record.state == TargetState::Ready => {
                EntryNews::Late
            }
            _ => EntryNews::Current,
        }
    }

    /// Returns true if the target accepts new requests.
    pub fn is_usable(&self) -> bool {
        !self.names_no_target && !self.has_left()
    }

    fn has_left(&self) -> bool {
        self.record.state == TargetState::Leaving
    }
}
