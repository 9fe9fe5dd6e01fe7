use {
    super::{AttemptState, CachedAnswer},
    crate::{
        clock::Instant,
        connection::platform::{Commit, Condition, Table, Transaction, Write},
        errors::PlatformError,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE},
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// Claims that arrive within this time are written in one transaction.
const BATCH_WINDOW: Duration = Duration::from_millis(10);

/// Claims per transaction.
const MAX_BATCH: usize = 128;

/// Claims waiting to be written; beyond this, pending ones are dropped.
const MAX_PENDING: usize = 50_000;

/// Exponential backoff after a failed transaction.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A row is deleted this long after the last write of its claim.
const ROW_TTL: Duration = Duration::from_secs(900);

/// Size limit of an answer stored with a claim, in bytes.
const MAX_ANSWER_BYTES: usize = 2048;

/// State of the request of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    Running,
    Answered,
    Unknown,
}

/// Value of the row `claim/<service>/<key>`: records that a request with this idempotency key was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub request_id: String,
    pub state: ClaimState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answer: Option<StoredAnswer>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredAnswer {
    status: u16,
    content_type: String,
    body: String,
}

impl Claim {
    pub fn new(
        request_id: &str,
        state: &AttemptState,
    ) -> Self {
        let (claim_state, answer) = match state {
            AttemptState::Running => (ClaimState::Running, None),
            AttemptState::Unknown => (ClaimState::Unknown, None),
            AttemptState::Answered(cached) => {
                (ClaimState::Answered, cached.as_ref().and_then(to_stored))
            }
        };
        Self {
            request_id: request_id.to_string(),
            state: claim_state,
            answer,
        }
    }

    /// Returns the state of the attempt; one that was still running on another host counts as unknown.
    pub fn attempt_state(&self) -> AttemptState {
        match self.state {
            ClaimState::Running | ClaimState::Unknown => AttemptState::Unknown,
            ClaimState::Answered => {
                AttemptState::Answered(self.answer.as_ref().and_then(from_stored))
            }
        }
    }
}

fn to_stored(answer: &CachedAnswer) -> Option<StoredAnswer> {
    let body = std::str::from_utf8(&answer.body).ok()?;
    let content_type = answer
        .headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    (body.len() <= MAX_ANSWER_BYTES).then(|| StoredAnswer {
        status: answer.status.as_u16(),
        content_type: content_type.to_string(),
        body: body.to_string(),
    })
}

fn from_stored(stored: &StoredAnswer) -> Option<CachedAnswer> {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&stored.content_type) {
        headers.insert(CONTENT_TYPE, value);
    }
    Some(CachedAnswer {
        status: StatusCode::from_u16(stored.status).ok()?,
        headers,
        body: Bytes::from(stored.body.clone()),
    })
}

/// Key of a row and the claim to write, or `None` to delete the row.
type Update = (String, Option<Claim>);

/// Access to the claims in the shared table. Claims are written in batches in the background, or before the request runs
/// where that is required.
#[derive(Clone)]
pub struct ClaimStore {
    table: Arc<dyn Table>,
    updates: flume::Sender<Update>,
}

impl ClaimStore {
    /// Starts the writer thread, which stops when the last handle is dropped.
    pub fn start(table: Arc<dyn Table>) -> Self {
        let (updates, receiver) = flume::unbounded();
        let writer = ClaimWriter::new(table.clone(), receiver);
        thread::Builder::new()
            .name("claims".into())
            .spawn(move || writer.run())
            .expect("failed to spawn the claims thread");
        Self { table, updates }
    }

    /// Queues a claim to be written in the background; `None` deletes the row.
    pub fn write_behind(
        &self,
        service: &str,
        key: &str,
        claim: Option<Claim>,
    ) {
        let _ = self.updates.send((claim_key(service, key), claim));
    }

    /// Reads a claim from the table.
    pub async fn find(
        &self,
        service: &str,
        key: &str,
    ) -> Result<Option<Claim>, PlatformError> {
        let (table, key) = (self.table.clone(), claim_key(service, key));
        blocking(move || {
            let row = table.get(&key)?;
            Ok(row.and_then(|row| serde_json::from_str(&row.value).ok()))
        })
        .await
    }

    /// Writes a claim if the key has none. Returns the existing claim otherwise.
    pub async fn insert(
        &self,
        service: &str,
        key: &str,
        claim: Claim,
    ) -> Result<Option<Claim>, PlatformError> {
        let (table, key) = (self.table.clone(), claim_key(service, key));
        blocking(move || insert(table.as_ref(), &key, &claim)).await
    }
}

fn insert(
    table: &dyn Table,
    key: &str,
    claim: &Claim,
) -> Result<Option<Claim>, PlatformError> {
    let transaction = Transaction {
        conditions: vec![Condition::new(key, 0)],
        writes: vec![Write::put(key, to_json(claim))],
    };
    match table.transact(&transaction) {
        Ok(Commit::Done { .. }) => return Ok(None),
        Ok(Commit::Conflict { .. }) => {}
        Err(error) if error.may_have_committed() => {}
        Err(error) => return Err(error),
    }
    // After a conflict or a lost reply, read the row to see whose claim was written.
    let row = table.get(key)?;
    let found: Option<Claim> = row.and_then(|row| serde_json::from_str(&row.value).ok());
    match found {
        Some(found) if found.request_id == claim.request_id => Ok(None),
        Some(found) => Ok(Some(found)),
        None => Err(PlatformError::BadReply {
            what: "table",
            problem: "the claim was deleted or is unreadable after a write conflict".into(),
        }),
    }
}

async fn blocking<T: Send + 'static>(
    call: impl FnOnce() -> Result<T, PlatformError> + Send + 'static
) -> Result<T, PlatformError> {
    let done = tokio::task::spawn_blocking(call).await;
    done.unwrap_or_else(|e| {
        Err(PlatformError::NotReached {
            what: "table",
            problem: e.to_string(),
        })
    })
}

/// Writes claims in batches, and deletes expired ones.
struct ClaimWriter {
    table: Arc<dyn Table>,
    updates: flume::Receiver<Update>,
    pending: BTreeMap<String, Option<Claim>>,
    written: VecDeque<(Instant, String)>,
}

impl ClaimWriter {
    fn new(
        table: Arc<dyn Table>,
        updates: flume::Receiver<Update>,
    ) -> Self {
        Self {
            table,
            updates,
            pending: BTreeMap::new(),
            written: VecDeque::new(),
        }
    }

    fn run(mut self) {
        let mut backoff = MIN_BACKOFF;
        while self.collect_batch() {
            self.expire();
            match self.write() {
                Ok(()) => backoff = MIN_BACKOFF,
                Err(_) => {
                    let jitter = rand::rng().random_range(0.5..1.0);
                    thread::sleep(backoff.mul_f64(jitter));
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Collects the updates of one transaction. Returns false once all senders are gone.
    fn collect_batch(&mut self) -> bool {
        if self.pending.is_empty() {
            match self.updates.recv_timeout(MAX_BACKOFF) {
                Ok(update) => self.take(update),
                Err(flume::RecvTimeoutError::Timeout) => return true,
                Err(flume::RecvTimeoutError::Disconnected) => return false,
            }
        }
        let until = Instant::now() + BATCH_WINDOW;
        while self.pending.len() < MAX_BATCH {
            match self.updates.recv_timeout(until - Instant::now()) {
                Ok(update) => self.take(update),
                Err(_) => break,
            }
        }
        true
    }

    /// Adds an update, replacing an older one of the same key that has not been written yet.
    fn take(
        &mut self,
        (key, claim): Update,
    ) {
        self.pending.insert(key, claim);
        while self.pending.len() > MAX_PENDING {
            self.pending.pop_first();
        }
    }

    fn expire(&mut self) {
        while let Some((at, _)) = self.written.front() {
            if at.elapsed() < ROW_TTL {
                break;
            }
            if let Some((_, key)) = self.written.pop_front() {
                self.pending.entry(key).or_insert(None);
            }
        }
    }

    fn write(&mut self) -> Result<(), PlatformError> {
        let batch: Vec<(String, Option<Claim>)> = self
            .pending
            .iter()
            .take(MAX_BATCH)
            .map(|(key, claim)| (key.clone(), claim.clone()))
            .collect();
        if batch.is_empty() {
            return Ok(());
        }
        let writes = batch
            .iter()
            .map(|(key, claim)| Write {
                key: key.clone(),
                value: claim.as_ref().map(to_json),
            })
            .collect();
        self.table.transact(&Transaction {
            conditions: Vec::new(),
            writes,
        })?;
        for (key, claim) in batch {
            self.pending.remove(&key);
            if claim.is_some_and(|claim| claim.state != ClaimState::Running) {
                self.written.push_back((Instant::now(), key));
            }
        }
        Ok(())
    }
}

fn claim_key(
    service: &str,
    key: &str,
) -> String {
    format!("claim/{service}/{key}")
}

fn to_json(claim: &Claim) -> String {
    serde_json::to_string(claim).expect("claims serialize")
}
