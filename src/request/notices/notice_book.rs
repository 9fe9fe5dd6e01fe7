use {
    super::{Notice, NoticeNews, TargetNotices},
    crate::{clock::Instant, formats::TargetStart},
    std::{
        collections::{HashMap, hash_map::Entry},
        sync::Arc,
        time::Duration,
    },
};

/// What a target said is forgotten after so long without a word of it: it is gone by then, or its entry says the same.
const MEMORY: Duration = Duration::from_secs(600);

/// What all targets have said of themselves, by id. A later start of a target makes what an earlier one said void.
#[derive(Debug, Default)]
pub struct NoticeBook {
    by_target: HashMap<Arc<str>, TargetNotices>,
}

impl NoticeBook {
    /// True if no target has said anything.
    pub fn is_empty(&self) -> bool {
        self.by_target.is_empty()
    }

    /// Takes in what an answer says to a request that was sent at `sent`; gives what is new.
    pub fn hear(
        &mut self,
        target: &str,
        start: Option<TargetStart>,
        notice: &Notice,
        sent: Instant,
        now: Instant,
    ) -> Vec<NoticeNews> {
        if !self.by_target.contains_key(target) && notice.says_nothing() {
            return Vec::new();
        }
        match self.of_start(target, start, now) {
            Some(notices) => notices.hear(notice, sent, now),
            None => Vec::new(),
        }
    }

    /// Takes in what another host knows of a start of a target; true if something is new.
    pub fn take(
        &mut self,
        target: &str,
        told: &TargetNotices,
        now: Instant,
    ) -> bool {
        match self.of_start(target, told.start, now) {
            Some(notices) => notices.join(told),
            None => false,
        }
    }

    /// What a start of a target has said; `None` if that is nothing.
    pub fn get(
        &self,
        target: &str,
        start: Option<TargetStart>,
    ) -> Option<&TargetNotices> {
        let notices = self.by_target.get(target);
        notices.filter(|notices| notices.start == start)
    }

    /// True if this start of a target has said that it leaves.
    pub fn leaves(
        &self,
        target: &str,
        start: Option<TargetStart>,
    ) -> bool {
        self.get(target, start).is_some_and(|said| said.leaves)
    }

    /// What is kept of a start of a target; `None` if a later start has spoken.
    fn of_start(
        &mut self,
        target: &str,
        start: Option<TargetStart>,
        now: Instant,
    ) -> Option<&mut TargetNotices> {
        if !self.by_target.contains_key(target) {
            let is_fresh = |at: Instant| now.saturating_duration_since(at) < MEMORY;
            self.by_target.retain(|_, notices| is_fresh(notices.heard));
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
