use {
    std::{
        sync::atomic::{AtomicU32, AtomicU64, Ordering},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Length of a step in which running fetches share the store's bandwidth.
const STEP: Duration = Duration::from_millis(5);

/// Fetches of weights, which share the bandwidth of one fetch at full speed.
#[derive(Debug, Default)]
pub struct WeightFetches {
    running: AtomicU32,
    done: AtomicU64,
}

impl WeightFetches {
    /// Waits as long as one fetch takes, given the others that run beside it.
    pub async fn fetch(
        &self,
        alone: Duration,
    ) {
        let _running = Running::new(&self.running);
        let mut left = alone;
        while !left.is_zero() {
            let sharers = self.running.load(Ordering::Relaxed).max(1);
            let step = left.saturating_mul(sharers).min(STEP);
            sleep(step).await;
            left = left.saturating_sub(step / sharers);
        }
        self.done.fetch_add(1, Ordering::Relaxed);
    }

    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    pub fn done(&self) -> u64 {
        self.done.load(Ordering::Relaxed)
    }
}

struct Running<'a>(&'a AtomicU32);

impl<'a> Running<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
