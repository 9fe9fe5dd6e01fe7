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

/// The lease of this process, shared by all threads that check it before they send an order.
///
/// It runs from the time at which the last successful renewal was sent, by the monotonic clock, which
/// keeps running while the process is paused.
#[derive(Debug, Clone)]
pub struct SessionLease {
    start: Instant,
    length: Duration,
    /// End of the lease in microseconds after `start`.
    expires_at_us: Arc<AtomicU64>,
    /// Incremented when the lease is renewed after it had lapsed.
    term: Arc<AtomicU64>,
}

impl SessionLease {
    /// Returns a lease that is not valid until its first renewal.
    pub fn new(length: Duration) -> Self {
        Self {
            start: Instant::now(),
            length,
            expires_at_us: Arc::default(),
            term: Arc::default(),
        }
    }

    /// Records a renewal that was sent at `sent` and confirmed at `confirmed`.
    ///
    /// A renewal confirmed after the lease had lapsed starts a new term, as another host may have
    /// taken over targets in between.
    pub fn record_renewal(
        &self,
        sent: Instant,
        confirmed: Instant,
    ) {
        if self.micros(confirmed) >= self.expires_at_us.load(Ordering::Acquire) {
            // Incremented before the end is extended, so that no reader sees the old term as valid.
            self.term.fetch_add(1, Ordering::AcqRel);
        }
        let expires_at = self.micros(sent + self.length);
        self.expires_at_us.fetch_max(expires_at, Ordering::AcqRel);
    }

    /// Returns the current or, after a lapse, the last term; the first is 1.
    pub fn term(&self) -> u64 {
        self.term.load(Ordering::Acquire)
    }

    /// Returns true if the lease is valid and in term `term`.
    pub fn is_valid_in(
        &self,
        term: u64,
        now: Instant,
    ) -> bool {
        self.is_valid(now) && self.term() == term
    }

    /// Returns when the lease lapses unless it is renewed; the time of its creation before the first renewal.
    pub fn expires_at(&self) -> Instant {
        self.start + Duration::from_micros(self.expires_at_us.load(Ordering::Acquire))
    }

    /// Returns true if the lease has not lapsed.
    pub fn is_valid(
        &self,
        now: Instant,
    ) -> bool {
        self.micros(now) < self.expires_at_us.load(Ordering::Acquire)
    }

    fn micros(
        &self,
        at: Instant,
    ) -> u64 {
        at.saturating_duration_since(self.start).as_micros() as u64
    }
}
