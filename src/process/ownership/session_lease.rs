use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
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
}

impl SessionLease {
    /// A lease that has not begun.
    pub fn new(length: Duration) -> Self {
        Self {
            start: Instant::now(),
            length,
            until_us: Arc::default(),
        }
    }

    /// Notes a renewal that was sent at `sent` and has been confirmed.
    pub fn renewed(
        &self,
        sent: Instant,
    ) {
        let until = sent.saturating_duration_since(self.start) + self.length;
        let until = until.as_micros() as u64;
        self.until_us.fetch_max(until, Ordering::AcqRel);
    }

    /// True while the lease holds.
    pub fn holds(
        &self,
        now: Instant,
    ) -> bool {
        let now = now.saturating_duration_since(self.start).as_micros() as u64;
        now < self.until_us.load(Ordering::Acquire)
    }
}
