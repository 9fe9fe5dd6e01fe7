use {
    crate::clock::Instant,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// This process's own lease, readable from every thread at the last moment before an order.
///
/// It counts from the start of the renewal that succeeded, on the monotonic clock, which goes on
/// while the process is paused.
#[derive(Debug, Clone)]
pub struct SessionLease {
    start: Instant,
    length: Duration,
    /// Microseconds after `start` at which the lease ends.
    until_us: Arc<AtomicU64>,
    /// Grows whenever the lease is held again after it had lapsed.
    term: Arc<AtomicU64>,
}

impl SessionLease {
    /// A lease that has not begun.
    pub fn new(length: Duration) -> Self {
        Self {
            start: Instant::now(),
            length,
            until_us: Arc::default(),
            term: Arc::default(),
        }
    }

    /// Notes a renewal that was sent at `sent` and confirmed at `confirmed`.
    ///
    /// One that is confirmed after the lease had lapsed begins a new term: in between another
    /// host may have taken what was held, so what the old term gave is void.
    pub fn renewed(
        &self,
        sent: Instant,
        confirmed: Instant,
    ) {
        if self.micros(confirmed) >= self.until_us.load(Ordering::Acquire) {
            // Before the new end is seen, so that nobody takes the old term for the new one.
            self.term.fetch_add(1, Ordering::AcqRel);
        }
        let until = self.micros(sent + self.length);
        self.until_us.fetch_max(until, Ordering::AcqRel);
    }

    /// The term that the lease is in, or was in last; the first is 1.
    pub fn term(&self) -> u64 {
        self.term.load(Ordering::Acquire)
    }

    /// True while the lease holds and is in the term `term`.
    pub fn holds_in(
        &self,
        term: u64,
        now: Instant,
    ) -> bool {
        self.holds(now) && self.term() == term
    }

    /// True while the lease holds.
    pub fn holds(
        &self,
        now: Instant,
    ) -> bool {
        self.micros(now) < self.until_us.load(Ordering::Acquire)
    }

    fn micros(
        &self,
        at: Instant,
    ) -> u64 {
        at.saturating_duration_since(self.start).as_micros() as u64
    }
}
