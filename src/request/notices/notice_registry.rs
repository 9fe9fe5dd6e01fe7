use {
    super::{Notice, NoticeChange, TargetNotices},
    crate::{clock::Instant, formats::TargetStart},
    std::{
        collections::{HashMap, hash_map::Entry},
        sync::Arc,
        time::Duration,
    },
};

/// Entries without an update for this long are evicted.
const ENTRY_TTL: Duration = Duration::from_secs(600);

/// The notices of all targets, by target id. A later start of a target replaces the entry of an earlier one.
#[derive(Debug, Default)]
pub struct NoticeRegistry {
    by_target: HashMap<Arc<str>, TargetNotices>,
}

impl NoticeRegistry {
    /// Returns true if no target has sent a notice.
    pub fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Records the notices in the response to a request that was sent at `sent`, and returns what changed.
    pub fn record(
        &mut self,
        target: &str,
        start: Option<TargetStart>,
        notice: &Notice,
        sent: Instant,
        now: Instant,
    ) -> Vec<NoticeChange> {
        if !self.by_target.contains_key(target) && notice.is_empty() {
            return Vec::new();
        }
        match self.entry_of(target, start, now) {
            Some(notices) => notices.record(notice, sent, now),
            None => Vec::new(),
        }
    }

    /// Merges another host's entry for a target; returns true if it changed anything.
    pub fn merge(
        &mut self,
        target: &str,
        remote: &TargetNotices,
        now: Instant,
    ) -> bool {
        match self.entry_of(target, remote.start, now) {
            Some(notices) => notices.merge(remote),
            None => false,
        }
    }

    /// Returns the entry of a target if it is of this start.
    pub fn get(
        &self,
        target: &str,
        start: Option<TargetStart>,
    ) -> Option<&TargetNotices> {
        let notices = self.by_target.get(target);
        notices.filter(|notices| notices.start == start)
    }

    /// Returns the notices that bind all hosts now, with the ids of their targets.
    pub fn in_force(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Arc<str>, &TargetNotices)> {
        self.by_target
            .iter()
            .filter(move |(_, notices)| notices.bind_all_hosts(now))
    }

    /// Returns true if this start of the target has announced its shutdown.
    pub fn is_leaving(
        &self,
        target: &str,
        start: Option<TargetStart>,
    ) -> bool {
        self.get(target, start)
            .is_some_and(|notices| notices.leaving)
    }

    /// Returns the entry of a target, created if missing; `None` if a later start is known.
    fn entry_of(
        &mut self,
        target: &str,
        start: Option<TargetStart>,
        now: Instant,
    ) -> Option<&mut TargetNotices> {
        if !self.by_target.contains_key(target) {
            let is_fresh = |at: Instant| now.saturating_duration_since(at) < ENTRY_TTL;
            self.by_target
                .retain(|_, notices| is_fresh(notices.updated_at));
        }
        match self.by_target.entry(target.into()) {
            Entry::Occupied(known) => {
                let known = known.into_mut();
                if known.start < start {
                    *known = TargetNotices::new(start, now);
                }
                (known.start == start).then_some(known)
            }
            Entry::Vacant(vacant) => Some(vacant.insert(TargetNotices::new(start, now))),
        }
    }
}
