use {crate::clock::Instant, std::time::Duration};

/// A host that starts leaves others this time to hand it their copies, before it reads itself.
const FIRST_WAIT: Duration = Duration::from_millis(150);

/// Hosts that start at once read for the first time one after the other, so far apart.
const FIRST_STEP: Duration = Duration::from_millis(25);

/// Steps that a host waits at the most before its first read.
const MOST_FIRST_STEPS: u32 = 12;

/// While reads fail, the first reader's pause is as given; the pause of each further host is longer by
/// this share of it. When the store is out for all, somebody looks for it every half bound, and tells
/// the others when it is back. In an outage of 8 s 195 hosts make 268 calls for each table; with equal
/// pauses they made 975 (a test plays it).
const RETRY_STEP: f64 = 0.25;

/// How often tables are read, and how long others wait before they read themselves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTimings {
    /// The first reader lets its copy get so old before it reads again.
    pub period: Duration,
    /// Each further host waits so much longer.
    pub step: Duration,
    /// No host waits longer than this.
    pub most: Duration,
    /// First pause after a failed read; it doubles with each further one.
    pub retry: Duration,
    /// The first reader pauses for no longer than this.
    pub most_retry: Duration,
    /// No host pauses longer than this.
    pub longest_retry: Duration,
}

impl ReadTimings {
    /// Timings that keep every copy younger than `bound`, with room for one read that fails.
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
/// The hosts that answer are in an order that all agree on. The first reads each period and tells
/// the others; a further one reads when what it was told has got too old for its place in the order.
#[derive(Debug)]
pub struct ReadSchedule {
    timings: ReadTimings,
    started: Instant,
    reading: bool,
    failures: u32,
    /// When the last read failed, if none has succeeded since.
    failed_at: Option<Instant>,
    /// The first read, if no other host can hand a copy over.
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

    /// No other host has a copy to hand over: the first read is at `at`, if not before.
    pub fn on_no_copy(
        &mut self,
        at: Instant,
    ) {
        self.no_copy_read.get_or_insert(at);
    }

    /// True if this host should read now; it must say later how that ended.
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

    /// The read ended.
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

    /// Reads that failed since the last one that succeeded.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// When the last read failed, if none has succeeded since.
    pub fn failed_at(&self) -> Option<Instant> {
        self.failed_at
    }

    /// Pause after the last read that failed.
    fn pause(
        &self,
        place: u32,
    ) -> Duration {
        let doubled = self.failures.saturating_sub(1).min(8);
        let pause = self.timings.retry * 2u32.pow(doubled);
        let pause = pause.min(self.timings.most_retry);
        let in_turn = pause.mul_f64(1.0 + RETRY_STEP * f64::from(place));
        in_turn.min(self.timings.longest_retry)
    }

    fn first_read(
        &self,
        place: u32,
    ) -> Instant {
        let in_turn = self.started + FIRST_WAIT + FIRST_STEP * place.min(MOST_FIRST_STEPS);
        self.no_copy_read.map_or(in_turn, |at| at.min(in_turn))
    }

    fn limit(
        &self,
        place: u32,
    ) -> Duration {
        let limit = self.timings.period + self.timings.step.saturating_mul(place);
        limit.min(self.timings.most.max(self.timings.period))
    }
}
