use {
    super::{EntryEnd, Refusal, entry_progress::EntryProgress},
    crate::clock::Instant,
    rand::RngExt,
    std::{collections::BTreeSet, time::Duration},
};

/// Pauses between tries; they double from the first to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_millis(60);

/// What a request has met so far.
#[derive(Default)]
pub struct TryHistory {
    /// Targets that are not tried again.
    pub avoid: BTreeSet<String>,
    /// Targets that were full.
    pub full: u32,
    /// Engines that failed to load the adapter.
    pub failed_loads: u32,
    /// The target that may run the request.
    pub begun_at: Option<String>,
    /// What the caller had when the last try came back there.
    pub begun_index: u64,
    /// A link to an owner broke: the next one is tried before it is used.
    pub lost_owner: bool,
    /// A target may have begun the request.
    pub may_have_run: bool,
    pub pause: Duration,
    pub waiting_since: Option<Instant>,
    /// Why the last try got no answer.
    pub last: Option<Refusal>,
}

impl TryHistory {
    /// Does not try a target again.
    pub fn leave(
        &mut self,
        target: &str,
    ) {
        self.avoid.insert(target.to_string());
        if self.begun_at.as_deref() == Some(target) {
            self.begun_at = None;
        }
    }

    /// The request may run at a target: the next try comes back to it there.
    pub fn begin_at(
        &mut self,
        target: &str,
        progress: &EntryProgress,
    ) {
        let came_back = self.begun_at.as_deref() == Some(target);
        let stands_still = progress.next_index == self.begun_index;
        self.begun_index = progress.next_index;
        match came_back && stands_still {
            // Coming back did not help.
            true => self.leave(target),
            false => self.begun_at = Some(target.to_string()),
        }
    }

    /// Time since the request first had to wait for an owner or a target.
    pub fn waited(&mut self) -> Duration {
        self.waiting_since
            .get_or_insert_with(Instant::now)
            .elapsed()
    }

    /// The pause before the next try, with jitter.
    pub fn next_pause(&mut self) -> Duration {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.pause.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// The end of a request that got no answer.
    pub fn end(
        self,
        fallback: Refusal,
    ) -> EntryEnd {
        let refusal = self.last.unwrap_or(fallback);
        match self.may_have_run {
            true => EntryEnd::Unknown(refusal),
            false => EntryEnd::NotRun(refusal),
        }
    }
}
