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

/// How long a key is remembered after its request has ended.
const KEPT: Duration = Duration::from_secs(600);

/// Keys remembered at the most; the oldest ended ones go first.
const MAX_KEYS: usize = 100_000;

/// An answer kept for a later attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct KeptAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// How far the request of a key has come.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptState {
    Running,
    /// Answered; the answer is kept when it is small.
    Answered(Option<KeptAnswer>),
    Unknown,
}

/// What is on record for a key.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    pub request_id: String,
    pub state: AttemptState,
    at: Instant,
    ended: Arc<Notify>,
}

/// The keys of requests that may not be repeated, as the owner of their target remembers them.
#[derive(Debug, Default)]
pub struct AttemptLedger {
    records: Mutex<HashMap<(String, String), AttemptRecord>>,
}

impl AttemptLedger {
    /// Takes a key for a request; what is on record when it is taken already.
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
        make_room(&mut records);
        let record = AttemptRecord {
            request_id: request_id.to_string(),
            state: AttemptState::Running,
            at: Instant::now(),
            ended: Arc::default(),
        };
        records.insert(name, record);
        None
    }

    /// What is on record for a key.
    pub fn find(
        &self,
        service: &str,
        key: &str,
    ) -> Option<AttemptRecord> {
        let name = (service.to_string(), key.to_string());
        self.lock().get(&name).cloned()
    }

    /// The request of a key has ended.
    pub fn end(
        &self,
        service: &str,
        key: &str,
        state: AttemptState,
    ) {
        let name = (service.to_string(), key.to_string());
        if let Some(record) = self.lock().get_mut(&name) {
            record.state = state;
            record.at = Instant::now();
            record.ended.notify_waiters();
        }
    }

    /// The request of a key was not run: the key is free again.
    pub fn forget(
        &self,
        service: &str,
        key: &str,
    ) {
        let name = (service.to_string(), key.to_string());
        if let Some(record) = self.lock().remove(&name) {
            record.ended.notify_waiters();
        }
    }

    /// Waits until the request of a key has ended, or the deadline.
    pub async fn ended(
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
            // Looked at again, as it may have ended before the wait was set up.
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

fn make_room(records: &mut HashMap<(String, String), AttemptRecord>) {
    if records.len() < MAX_KEYS {
        return;
    }
    records.retain(|_, record| record.state == AttemptState::Running || record.at.elapsed() < KEPT);
    if records.len() < MAX_KEYS {
        return;
    }
    // Still full of young keys: the older half of the ended ones goes.
    let mut ages: Vec<Instant> = records.values().map(|record| record.at).collect();
    ages.sort_unstable();
    let middle = ages[ages.len() / 2];
    records.retain(|_, record| record.state == AttemptState::Running || record.at > middle);
}
