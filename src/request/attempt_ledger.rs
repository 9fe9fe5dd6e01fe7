use {
    crate::clock::{Instant, timeout_at},
    bytes::Bytes,
    http::{HeaderMap, StatusCode},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Time for which a key is retained after its request has ended.
const KEY_TTL: Duration = Duration::from_secs(600);

/// Keys retained; the oldest ones whose requests have ended are evicted first.
const MAX_KEYS: usize = 100_000;

/// An answer cached for later attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// State of the request of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptState {
    Running,
    /// Answered; small answers are cached.
    Answered(Option<CachedAnswer>),
    Unknown,
}

/// The record of a key.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    pub request_id: String,
    pub state: AttemptState,
    updated_at: Instant,
    ended: Arc<Notify>,
}

/// Idempotency keys of requests that may not be repeated, kept by the owner of their target.
#[derive(Debug, Default)]
pub struct AttemptLedger {
    records: Mutex<HashMap<(String, String), AttemptRecord>>,
}

impl AttemptLedger {
    /// Reserves a key for a request. Returns the existing record if the key is already taken.
    pub fn begin(
        &self,
        service: &str,
        key: &str,
        request_id: &str,
    ) -> Option<AttemptRecord> {
        let mut records = self.lock();
        let name = (service.to_string(), key.to_string());
        if let Some(record) = records.get(&name) {
            return Some(record.clone());
        }
        evict_old(&mut records);
        let record = AttemptRecord {
            request_id: request_id.to_string(),
            state: AttemptState::Running,
            updated_at: Instant::now(),
            ended: Arc::default(),
        };
        records.insert(name, record);
        None
    }

    /// Returns the record of a key.
    pub fn find(
        &self,
        service: &str,
        key: &str,
    ) -> Option<AttemptRecord> {
        let name = (service.to_string(), key.to_string());
        self.lock().get(&name).cloned()
    }

    /// Records that the request of a key has ended.
    pub fn end(
        &self,
        service: &str,
        key: &str,
        state: AttemptState,
    ) {
        let name = (service.to_string(), key.to_string());
        if let Some(record) = self.lock().get_mut(&name) {
            record.state = state;
            record.updated_at = Instant::now();
            record.ended.notify_waiters();
        }
    }

    /// Releases the key of a request that did not run.
    pub fn release(
        &self,
        service: &str,
        key: &str,
    ) {
        let name = (service.to_string(), key.to_string());
        if let Some(record) = self.lock().remove(&name) {
            record.ended.notify_waiters();
        }
    }

    /// Waits until the request of a key has ended or the deadline has passed, and returns the record; `None` if the key
    /// was released.
    pub async fn wait_until_ended(
        &self,
        service: &str,
        key: &str,
        deadline: Instant,
    ) -> Option<AttemptRecord> {
        loop {
            let record = self.find(service, key)?;
            let notified = record.ended.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            // Read again, as the request may have ended before the notification was enabled.
            let record = self.find(service, key)?;
            if record.state != AttemptState::Running {
                return Some(record);
            }
            if timeout_at(deadline, notified).await.is_err() {
                return Some(record);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(String, String), AttemptRecord>> {
        self.records.lock().expect("no holder panics")
    }
}

fn evict_old(records: &mut HashMap<(String, String), AttemptRecord>) {
    if records.len() < MAX_KEYS {
        return;
    }
    records.retain(|_, record| {
        record.state == AttemptState::Running || record.updated_at.elapsed() < KEY_TTL
    });
    if records.len() < MAX_KEYS {
        return;
    }
    // Still full: evict the older half of the ended ones.
    let mut update_times: Vec<Instant> = records.values().map(|record| record.updated_at).collect();
    update_times.sort_unstable();
    let median = update_times[update_times.len() / 2];
    records.retain(|_, record| record.state == AttemptState::Running || record.updated_at > median);
}
