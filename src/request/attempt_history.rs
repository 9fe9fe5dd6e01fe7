use {
    super::{EntryEnd, Refusal, entry_progress::EntryProgress},
    crate::clock::Instant,
    rand::RngExt,
    std::{collections::BTreeSet, time::Duration},
};

/// Exponential backoff between attempts.
const MIN_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(60);

/// The failed attempts of a request.
#[derive(Default)]
pub struct AttemptHistory {
    /// Targets that are not tried again.
    pub excluded: BTreeSet<String>,
    /// Attempts rejected because the target was full.
    pub rejections: u32,
    /// Attempts that failed as the adapter could not be loaded.
    pub failed_loads: u32,
    /// Target that may be running the request.
    pub resume_target: Option<String>,
    /// Index of the next event for the caller when the last attempt at `resume_target` failed.
    pub resume_index: u64,
    /// An owner was unreachable: links are pinged before they are used.
    pub ping_owner: bool,
    /// A target may have started the request.
    pub may_have_run: bool,
    pub backoff: Duration,
    pub waiting_since: Option<Instant>,
    /// Refusal of the last attempt.
    pub last_refusal: Option<Refusal>,
}

impl AttemptHistory {
    /// Excludes a target from further attempts.
    pub fn exclude(
        &mut self,
        target: &str,
    ) {
        self.excluded.insert(target.to_string());
        if self.resume_target.as_deref() == Some(target) {
            self.resume_target = None;
        }
    }

    /// Records that a target may be running the request, so that the next attempt resumes it there. A target at which the
    /// last attempt made no progress is excluded instead.
    pub fn set_resume_target(
        &mut self,
        target: &str,
        progress: &EntryProgress,
    ) {
        let was_resumed = self.resume_target.as_deref() == Some(target);
        let made_no_progress = progress.next_index == self.resume_index;
        self.resume_index = progress.next_index;
        match was_resumed && made_no_progress {
            true => self.exclude(target),
            false => self.resume_target = Some(target.to_string()),
        }
    }

    /// Returns the time since the request first had to wait for an owner or a target.
    pub fn waited(&mut self) -> Duration {
        self.waiting_since
            .get_or_insert_with(Instant::now)
            .elapsed()
    }

    /// Returns the backoff before the next attempt, with jitter.
    pub fn next_backoff(&mut self) -> Duration {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// Returns the end of a request that got no answer; `fallback` is used if no attempt was refused.
    pub fn end(
        self,
        fallback: Refusal,
    ) -> EntryEnd {
        let refusal = self.last_refusal.unwrap_or(fallback);
        match self.may_have_run {
            true => EntryEnd::Unknown(refusal),
            false => EntryEnd::NotRun(refusal),
        }
    }
}
