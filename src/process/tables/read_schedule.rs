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
    pub base_limit: Duration,
    /// Added to that staleness for each further rank.
    pub limit_per_rank: Duration,
    /// Staleness at which every host reads.
    pub max_limit: Duration,
    /// Backoff after the first failed read; doubles with each further failure.
    pub initial_backoff: Duration,
    /// Upper limit of the backoff at rank 0.
    pub max_leader_backoff: Duration,
    /// Upper limit of the backoff at any rank.
    pub max_backoff: Duration,
}

impl ReadTimings {
    /// Returns timings that keep staleness below `bound` even if one read fails.
    pub fn within(bound: Duration) -> Self {
        Self {
            base_limit: bound.mul_f64(0.30),
            limit_per_rank: bound.mul_f64(0.12),
            max_limit: bound.mul_f64(0.60),
            initial_backoff: bound.mul_f64(0.10),
            max_leader_backoff: bound.mul_f64(0.50),
            max_backoff: bound * 2,
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
    /// When the last read ended that was older than the replica.
    outdated_at: Option<Instant>,
    /// Earliest time of the first read once it is known that no other host has a replica.
    expedited_read: Option<Instant>,
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
            outdated_at: None,
            expedited_read: None,
        }
    }

    /// Moves the first read forward to `at`, as no other host has a replica. Later calls have no effect.
    pub fn on_no_replica(
        &mut self,
        at: Instant,
    ) {
        self.expedited_read.get_or_insert(at);
    }

    /// Returns true if a read is due and marks it as running until `on_end` is called.
    pub fn start_if_due(
        &mut self,
        staleness: Option<Duration>,
        rank: usize,
        now: Instant,
    ) -> bool {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let backs_off = |at: Instant| now.saturating_duration_since(at) < self.backoff(rank);
        let pauses = |at: Instant| now.saturating_duration_since(at) < self.timings.initial_backoff;
        if self.reading
            || self.failed_at.is_some_and(backs_off)
            || self.outdated_at.is_some_and(pauses)
        {
            return false;
        }
        let due = match staleness {
            Some(staleness) => staleness >= self.staleness_limit(rank),
            None => now >= self.first_read(rank),
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

    /// Records that the running read was answered with an older version than that of the replica, which it leaves as stale as it
    /// was. The store has not failed, but the next read must not follow at once.
    pub fn on_outdated(
        &mut self,
        now: Instant,
    ) {
        self.on_end(true, now);
        self.outdated_at = Some(now);
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
    fn backoff(
        &self,
        rank: u32,
    ) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(8);
        let backoff = self.timings.initial_backoff * 2u32.pow(doublings);
        let backoff = backoff.min(self.timings.max_leader_backoff);
        let ranked = backoff.mul_f64(1.0 + BACKOFF_SHARE_PER_RANK * f64::from(rank));
        ranked.min(self.timings.max_backoff)
    }

    /// Returns when the first read is due.
    fn first_read(
        &self,
        rank: u32,
    ) -> Instant {
        let ranked =
            self.started + FIRST_READ_DELAY + FIRST_READ_STAGGER * rank.min(MAX_STAGGERED_RANK);
        self.expedited_read.map_or(ranked, |at| at.min(ranked))
    }

    /// Returns the staleness at which a host of this rank reads.
    fn staleness_limit(
        &self,
        rank: u32,
    ) -> Duration {
        let staleness_limit =
            self.timings.base_limit + self.timings.limit_per_rank.saturating_mul(rank);
        staleness_limit.min(self.timings.max_limit.max(self.timings.base_limit))
    }
}
