use {
    super::{EntryEnd, Refusal, entry_progress::EntryProgress},
    crate::clock::Instant,
    rand::RngExt,
    std::{collections::BTreeSet, time::Duration},
};

/// Exponential backoff between attempts.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_millis(60);

/// The failed attempts of a request.
#[derive(Default)]
pub struct AttemptHistory {
    /// Targets that are not tried again.
    pub avoid: BTreeSet<String>,
    /// Attempts rejected because the target was full.
    pub full: u32,
    /// Attempts that failed as the adapter could not be loaded.
    pub failed_loads: u32,
    /// Target that may be running the request.
    pub begun_at: Option<String>,
    /// Index of the next event for the caller when the last attempt at `begun_at` failed.
    pub begun_index: u64,
    /// An owner was unreachable: links are pinged before they are used.
    pub lost_owner: bool,
    /// A target may have started the request.
    pub may_have_run: bool,
    pub pause: Duration,
    pub waiting_since: Option<Instant>,
    /// Refusal of the last attempt.
    pub last: Option<Refusal>,
}

impl AttemptHistory {
    /// Excludes a target from further attempts.
    pub fn leave(
        &mut self,
        target: &str,
    ) {
        self.avoid.insert(target.to_string());
        if self.begun_at.as_deref() == Some(target) {
            self.begun_at = None;
        }
    }

    /// Records that a target may be running the request, so that the next attempt resumes it there. A target at which the
    /// last attempt made no progress is excluded instead.
    pub fn begin_at(
        &mut self,
        target: &str,
        progress: &EntryProgress,
    ) {
        let came_back = self.begun_at.as_deref() == Some(target);
        let stands_still = progress.next_index == self.begun_index;
        self.begun_index = progress.next_index;
        match came_back && stands_still {
            true => self.leave(target),
            false => self.begun_at = Some(target.to_string()),
        }
    }

    /// Returns the time since the request first had to wait for an owner or a target.
    pub fn waited(&mut self) -> Duration {
        self.waiting_since
            .get_or_insert_with(Instant::now)
            .elapsed()
    }

    /// Returns the backoff before the next attempt, with jitter.
    pub fn next_pause(&mut self) -> Duration {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.pause.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// Returns the end of a request that got no answer; `fallback` is used if no attempt was refused.
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
