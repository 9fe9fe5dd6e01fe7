use {
    crate::{
        clock::Instant,
        formats::{TargetRecord, TargetStart, TargetState},
    },
    std::sync::Arc,
};

/// A target as the list has it.
#[derive(Debug, Clone)]
pub struct ListedTarget {
    /// Its last entry that could be used.
    pub record: Arc<TargetRecord>,
    /// Its entry has vanished without a word; it is used until then.
    pub vanished_until: Option<Instant>,
    /// What its key holds now names no target to use.
    pub names_no_target: bool,
}

/// What a target's entry means beside what is known of the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryNews {
    /// The target tells more of the same start, or is listed for the first time.
    Current,
    /// It has started anew.
    Restarted { before: TargetStart },
    /// The entry was written before what is known already.
    Late,
    /// The target has told of its starts before, and the entry does not.
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

    /// What an entry under this target's key means.
    ///
    /// Writes may reach the list late: an entry of an earlier start must not bring back what that start held
    /// or that it left, and of one start that has said that it leaves no entry makes it ready again.
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

    /// True if the target takes new requests.
    pub fn is_usable(&self) -> bool {
        !self.names_no_target && !self.has_left()
    }

    fn has_left(&self) -> bool {
        self.record.state == TargetState::Draining
    }
}
