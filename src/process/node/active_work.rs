use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Counts the requests that this process serves, so that a planned stop can wait for them.
#[derive(Debug, Clone, Default)]
pub struct ActiveWork {
    count: Arc<AtomicUsize>,
}

/// One request in service; it counts until dropped.
pub struct WorkGuard(Arc<AtomicUsize>);

impl ActiveWork {
    pub fn enter(&self) -> WorkGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        WorkGuard(self.count.clone())
    }

    pub fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
