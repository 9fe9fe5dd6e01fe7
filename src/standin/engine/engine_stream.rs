use {
    crate::clock::Instant,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// The events of one answer, kept so that a reader can come back for them.
#[derive(Debug, Default)]
pub struct EngineStream {
    /// Index of the first event.
    first: u64,
    inner: Mutex<Inner>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Inner {
    events: Vec<Arc<str>>,
    ended: bool,
    broken: bool,
    cancelled: bool,
    readers: usize,
    alone_since: Option<Instant>,
}

/// What a reader finds at an index.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamStep {
    Event(Arc<str>),
    Ended,
    /// The engine lost the stream: it is cut.
    Broken,
}

impl EngineStream {
    /// A stream whose first event bears the index `first`.
    pub fn new(first: u64) -> Self {
        Self {
            first,
            ..Self::default()
        }
    }

    pub fn push(
        &self,
        event: String,
    ) {
        self.lock().events.push(event.into());
        self.changed.notify_waiters();
    }

    pub fn end(&self) {
        self.lock().ended = true;
        self.changed.notify_waiters();
    }

    /// Cuts the stream off without an end.
    pub fn cut(&self) {
        self.lock().broken = true;
        self.changed.notify_waiters();
    }

    pub fn cancel(&self) {
        self.lock().cancelled = true;
        self.cut();
    }

    pub fn is_cancelled(&self) -> bool {
        self.lock().cancelled
    }

    pub fn is_over(&self) -> bool {
        let inner = self.lock();
        inner.ended || inner.broken
    }

    /// True when no reader has been there for `grace`.
    pub fn is_abandoned(
        &self,
        grace: Duration,
    ) -> bool {
        let inner = self.lock();
        inner.readers == 0 && inner.alone_since.is_some_and(|at| at.elapsed() > grace)
    }

    /// Waits for the event at `index`, or the end.
    pub async fn step(
        &self,
        index: u64,
    ) -> StreamStep {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(step) = self.step_now(index) {
                return step;
            }
            changed.await;
        }
    }

    pub fn enter(self: &Arc<Self>) -> Reader {
        let mut inner = self.lock();
        inner.readers += 1;
        inner.alone_since = None;
        Reader(self.clone())
    }

    fn step_now(
        &self,
        index: u64,
    ) -> Option<StreamStep> {
        let inner = self.lock();
        let place = index.checked_sub(self.first)? as usize;
        if let Some(event) = inner.events.get(place) {
            return Some(StreamStep::Event(event.clone()));
        }
        match () {
            () if inner.broken => Some(StreamStep::Broken),
            () if inner.ended => Some(StreamStep::Ended),
            () => None,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }
}

/// Presence of one reader of a stream.
pub struct Reader(Arc<EngineStream>);

impl Drop for Reader {
    fn drop(&mut self) {
        let mut inner = self.0.lock();
        inner.readers -= 1;
        if inner.readers == 0 {
            inner.alone_since = Some(Instant::now());
        }
    }
}
