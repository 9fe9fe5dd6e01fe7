use {
    super::StandinServer,
    crate::connection::{
        caller::DropConnection,
        header_text,
        target::{KEY_HEADER, NOT_RUN_HEADER, REQUEST_ID_HEADER},
    },
    axum::{
        Json, Router,
        body::Bytes,
        extract::State,
        http::{HeaderMap, Method, StatusCode, Uri},
        response::{IntoResponse, Response},
        routing::{any, get, post},
    },
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Faults that a plain service's stand-in shows; `Default` shows none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlainFaults {
    /// Time before each call runs, in milliseconds.
    pub slow_ms: u64,
    /// So many of the next calls run and lose their reply.
    pub lose_replies: u32,
    /// So many of the next calls are refused, not run.
    pub refuse: u32,
    /// So many of the next answers bear another request's id.
    pub foreign: u32,
}

/// What a plain service has run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlainRecord {
    /// Runs of each idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Runs of calls without a key.
    pub unkeyed: u32,
}

#[derive(Default)]
struct PlainState {
    faults: Mutex<PlainFaults>,
    record: Mutex<PlainRecord>,
}

/// A plain service in small; it counts each run by key, so that a test can see a double.
pub struct PlainStandin {
    server: StandinServer,
    state: Arc<PlainState>,
}

type Shared = State<Arc<PlainState>>;

impl PlainStandin {
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(PlainState::default());
        let router = Router::new()
            .route("/control/faults", post(control_faults))
            .route("/control/record", get(control_record))
            .fallback(any(run))
            .with_state(state.clone());
        let server = StandinServer::start(address, router).await?;
        Ok(Self { server, state })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn set_faults(
        &self,
        faults: PlainFaults,
    ) {
        *self.state.faults.lock().expect("no holder panics") = faults;
    }

    pub fn record(&self) -> PlainRecord {
        self.state.record.lock().expect("no holder panics").clone()
    }
}

impl PlainState {
    /// Takes the faults for one call, counting down the ones that run out.
    fn next_faults(&self) -> PlainFaults {
        let mut faults = self.faults.lock().expect("no holder panics");
        let taken = faults.clone();
        match () {
            () if faults.refuse > 0 => faults.refuse -= 1,
            () if faults.lose_replies > 0 => faults.lose_replies -= 1,
            () => faults.foreign = faults.foreign.saturating_sub(1),
        }
        taken
    }

    fn note_run(
        &self,
        key: &str,
    ) -> u32 {
        let mut record = self.record.lock().expect("no holder panics");
        if key.is_empty() {
            record.unkeyed += 1;
            return 1;
        }
        let runs = record.runs.entry(key.to_string()).or_insert(0);
        *runs += 1;
        *runs
    }
}

async fn run(
    State(state): Shared,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let faults = state.next_faults();
    if faults.refuse > 0 {
        return (StatusCode::SERVICE_UNAVAILABLE, [(NOT_RUN_HEADER, "true")]).into_response();
    }
    sleep(Duration::from_millis(faults.slow_ms)).await;
    let key = header_text(&headers, KEY_HEADER);
    let runs = state.note_run(key);
    if faults.lose_replies > 0 {
        let mut response = StatusCode::OK.into_response();
        response.extensions_mut().insert(DropConnection);
        return response;
    }
    let id = match faults.foreign {
        0 => header_text(&headers, REQUEST_ID_HEADER),
        _ => "another-request",
    };
    let answer = json!({
        "key": key,
        "runs": runs,
        "method": method.as_str(),
        "path": uri.path_and_query().map_or("", |path| path.as_str()),
        "content_type": header_text(&headers, "content-type"),
        "bytes": body.len(),
        "body": String::from_utf8_lossy(&body),
    });
    ([(REQUEST_ID_HEADER, id.to_string())], Json(answer)).into_response()
}

async fn control_faults(
    State(state): Shared,
    Json(faults): Json<PlainFaults>,
) -> StatusCode {
    *state.faults.lock().expect("no holder panics") = faults;
    StatusCode::NO_CONTENT
}

async fn control_record(State(state): Shared) -> Json<PlainRecord> {
    Json(state.record.lock().expect("no holder panics").clone())
}
