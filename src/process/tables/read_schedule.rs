use {crate::clock::Instant, std::time::Duration};

/// After its start, a host waits this long for a replica from another host before it reads the store.
const FIRST_READ_DELAY: Duration = Duration::from_millis(150);

/// Added to the delay of the first read for each rank, to spread hosts that start together.
const FIRST_READ_STAGGER: Duration = Duration::from_millis(25);

/// Ranks above this one delay the first read no further.
const MAX_STAGGERED_RANK: u32 = 12;

/// Share of the backoff that is added for each rank, to limit the calls of a large site while the
/// store is unavailable.
const BACKOFF_SHARE_PER_RANK: f64 = 0.25;

/// Staleness limits and retry backoffs of the reads of one table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTimings {
    /// Staleness at which the host of rank 0 reads.
    pub period: Duration,
    /// Added to that staleness for each further rank.
    pub step: Duration,
    /// Staleness at which every host reads.
    pub most: Duration,
    /// Backoff after the first failed read; doubles with each further failure.
    pub retry: Duration,
    /// Upper limit of the backoff at rank 0.
    pub most_retry: Duration,
    /// Upper limit of the backoff at any rank.
    pub longest_retry: Duration,
}

impl ReadTimings {
    /// Returns timings that keep staleness below `bound` even if one read fails.
    pub fn within(bound: Duration) -> Self {
        Self {
            period: bound.mul_f64(0.30),
            step: bound.mul_f64(0.12),
            most: bound.mul_f64(0.60),
            retry: bound.mul_f64(0.10),
            most_retry: bound.mul_f64(0.50),
            longest_retry: bound * 2,
        }
    }
}

/// Decides when this host reads a table from the store.
///
/// All hosts agree on a ranking of the live hosts. The host of rank 0 reads at a fixed interval and
/// forwards the changes; each other host reads only when its replica is staler than its rank allows.
#[derive(Debug)]
pub struct ReadSchedule {
    timings: ReadTimings,
    started: Instant,
    reading: bool,
    failures: u32,
    /// When the last read failed; `None` if it succeeded.
    failed_at: Option<Instant>,
    /// Earliest time of the first read once it is known that no other host has a replica.
    no_copy_read: Option<Instant>,
}

impl ReadSchedule {
    pub fn new(
        timings: ReadTimings,
        now: Instant,
    ) -> Self {
        Self {
            timings,
            started: now,
            reading: false,
            failures: 0,
            failed_at: None,
            no_copy_read: None,
        }
    }

    /// Moves the first read forward to `at`, as no other host has a replica. Later calls have no effect.
    pub fn on_no_copy(
        &mut self,
        at: Instant,
    ) {
        self.no_copy_read.get_or_insert(at);
    }

    /// Returns true if a read is due and marks it as running until `on_end` is called.
    pub fn start(
        &mut self,
        age: Option<Duration>,
        place: usize,
        now: Instant,
    ) -> bool {
        let place = u32::try_from(place).unwrap_or(u32::MAX);
        let pauses = |at: Instant| now.saturating_duration_since(at) < self.pause(place);
        if self.reading || self.failed_at.is_some_and(pauses) {
            return false;
        }
        let due = match age {
            Some(age) => age >= self.limit(place),
            None => now >= self.first_read(place),
        };
        self.reading = due;
        due
    }

    /// Records the outcome of the running read.
    pub fn on_end(
        &mut self,
        succeeded: bool,
        now: Instant,
    ) {
        self.reading = false;
        if succeeded {
            self.failures = 0;
            self.failed_at = None;
            return;
        }
        self.failures += 1;
        self.failed_at = Some(now);
    }

    /// Returns the number of failed reads since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns when the last read failed, or `None` if it succeeded.
    pub fn failed_at(&self) -> Option<Instant> {
        self.failed_at
    }

    /// Returns the exponential backoff after the last failed read.
    fn pause(
        &self,
        place: u32,
    ) -> Duration {
        let doubled = self.failures.saturating_sub(1).min(8);
        let pause = self.timings.retry * 2u32.pow(doubled);
        let pause = pause.min(self.timings.most_retry);
        let in_turn = pause.mul_f64(1.0 + BACKOFF_SHARE_PER_RANK * f64::from(place));
        in_turn.min(self.timings.longest_retry)
    }

    /// Returns when the first read is due.
    fn first_read(
        &self,
        place: u32,
    ) -> Instant {
        let in_turn =
            self.started + FIRST_READ_DELAY + FIRST_READ_STAGGER * place.min(MAX_STAGGERED_RANK);
        self.no_copy_read.map_or(in_turn, |at| at.min(in_turn))
    }

    /// Returns the staleness at which a host of this rank reads.
    fn limit(
        &self,
        place: u32,
    ) -> Duration {
        let limit = self.timings.period + self.timings.step.saturating_mul(place);
        limit.min(self.timings.most.max(self.timings.period))
    }
}
