use {
    super::{PlatformFaults, TableRows, WeightFetches},
    crate::{
        clock::Instant,
        connection::{
            caller::DropConnection,
            platform::{ERA_HEADER, ListedHost, Transaction, WeightStoreHealth},
        },
        standin::StandinServer,
    },
    axum::{
        Json, Router,
        extract::{Path, Query, State},
        http::{
            HeaderMap, StatusCode,
            header::{ETAG, IF_NONE_MATCH},
        },
        response::{IntoResponse, Response},
        routing::{get, post, put},
    },
    serde::Deserialize,
    std::{
        collections::{HashMap, VecDeque},
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
    xxhash_rust::xxh3::xxh3_64,
};

/// How the platform's stand-in is set up.
#[derive(Debug, Clone)]
pub struct PlatformStandinSpec {
    pub address: SocketAddr,
    /// Time of one fetch of weights that runs alone.
    pub fetch_time: Duration,
}

/// State behind the stand-in's addresses.
pub struct PlatformState {
    fetch_time: Duration,
    table: Mutex<TableRows>,
    objects: Mutex<HashMap<String, String>>,
    hosts: Mutex<VecDeque<(Instant, Vec<ListedHost>)>>,
    faults: Mutex<PlatformFaults>,
    fetches: WeightFetches,
    /// Calls by table, for measurements: reads, then writes.
    calls: Mutex<TableCalls>,
}

/// Calls that the table has taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize, Deserialize)]
pub struct TableCalls {
    pub reads: u64,
    pub writes: u64,
}

/// The platform in small, listening.
pub struct PlatformStandin {
    server: StandinServer,
    state: Arc<PlatformState>,
}

type Shared = State<Arc<PlatformState>>;

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Deserialize)]
struct ScanQuery {
    prefixes: String,
    since: u64,
}

impl PlatformStandin {
    pub async fn start(spec: PlatformStandinSpec) -> io::Result<Self> {
        let state = Arc::new(PlatformState {
            fetch_time: spec.fetch_time,
            table: Mutex::default(),
            objects: Mutex::default(),
            hosts: Mutex::default(),
            faults: Mutex::default(),
            fetches: WeightFetches::default(),
            calls: Mutex::default(),
        });
        let server = StandinServer::start(spec.address, router(state.clone())).await?;
        Ok(Self { server, state })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults shown from now on.
    pub fn set_faults(
        &self,
        faults: PlatformFaults,
    ) {
        *lock(&self.state.faults) = faults;
    }

    /// The faults shown now.
    pub fn faults(&self) -> PlatformFaults {
        lock(&self.state.faults).clone()
    }

    /// Replaces the host list.
    pub fn set_hosts(
        &self,
        hosts: Vec<ListedHost>,
    ) {
        self.state.set_hosts(hosts);
    }

    /// Fetches of weights that have ended.
    pub fn loads(&self) -> u64 {
        self.state.fetches.done()
    }

    /// What the table holds now.
    pub fn table_copy(&self) -> TableRows {
        lock(&self.state.table).clone()
    }

    /// The table comes back from an older copy.
    pub fn restore_table(
        &self,
        copy: &TableRows,
    ) {
        lock(&self.state.table).restore(copy);
    }

    /// Calls that the table has taken.
    pub fn table_calls(&self) -> TableCalls {
        *lock(&self.state.calls)
    }
}

impl PlatformState {
    fn set_hosts(
        &self,
        hosts: Vec<ListedHost>,
    ) {
        lock(&self.hosts).push_back((Instant::now(), hosts));
    }

    fn hosts_now(&self) -> Vec<ListedHost> {
        let lag = Duration::from_millis(lock(&self.faults).hosts_lag_ms);
        let mut history = lock(&self.hosts);
        while history.len() > 1 && history[1].0.elapsed() >= lag {
            history.pop_front();
        }
        history
            .front()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default()
    }

    /// Shows the table's faults; none when the call may go on.
    async fn table_fault(&self) -> Option<Response> {
        let faults = lock(&self.faults).clone();
        if faults.table_slow_ms > 0 {
            sleep(Duration::from_millis(faults.table_slow_ms)).await;
        }
        faults
            .table_down
            .then(|| StatusCode::SERVICE_UNAVAILABLE.into_response())
    }

    fn loses_reply(&self) -> bool {
        let mut faults = lock(&self.faults);
        let loses = faults.lose_replies > 0;
        faults.lose_replies = faults.lose_replies.saturating_sub(1);
        loses
    }
}

fn router(state: Arc<PlatformState>) -> Router {
    Router::new()
        .route("/table/row", get(table_row))
        .route("/table/rows", get(table_rows))
        .route("/table/transact", post(table_transact))
        .route("/objects/{name}", put(object_put).get(object_get))
        .route("/hosts", get(hosts_get))
        .route("/weights/health", get(weights_health))
        .route("/weights/fetch", post(weights_fetch))
        .route("/control/faults", post(control_faults))
        .route("/control/hosts", post(control_hosts))
        .route("/control/calls", get(control_calls))
        .layer(axum::extract::DefaultBodyLimit::disable())
        .with_state(state)
}

async fn table_row(
    State(state): Shared,
    Query(query): Query<KeyQuery>,
) -> Response {
    if let Some(fault) = state.table_fault().await {
        return fault;
    }
    lock(&state.calls).reads += 1;
    let table = lock(&state.table);
    let answer = match table.get(&query.key) {
        Some(row) => Json(row).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    };
    in_era(table.era(), answer)
}

async fn table_rows(
    State(state): Shared,
    Query(query): Query<ScanQuery>,
) -> Response {
    if let Some(fault) = state.table_fault().await {
        return fault;
    }
    lock(&state.calls).reads += 1;
    let prefixes: Vec<&str> = query.prefixes.split(',').collect();
    let table = lock(&state.table);
    let answer = match table.scan(&prefixes, query.since) {
        Some(scan) => Json(scan).into_response(),
        None => StatusCode::GONE.into_response(),
    };
    in_era(table.era(), answer)
}

async fn table_transact(
    State(state): Shared,
    Json(transaction): Json<Transaction>,
) -> Response {
    if let Some(fault) = state.table_fault().await {
        return fault;
    }
    lock(&state.calls).writes += 1;
    let (commit, era) = {
        let mut table = lock(&state.table);
        (table.transact(&transaction), table.era())
    };
    if state.loses_reply() {
        return dropped();
    }
    in_era(era, Json(commit).into_response())
}

/// Names the table's era in an answer.
fn in_era(
    era: u32,
    mut answer: Response,
) -> Response {
    answer.headers_mut().insert(ERA_HEADER, era.into());
    answer
}

async fn object_put(
    State(state): Shared,
    Path(name): Path<String>,
    content: String,
) -> Response {
    if lock(&state.faults).objects_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    lock(&state.objects).insert(name, content);
    StatusCode::NO_CONTENT.into_response()
}

async fn object_get(
    State(state): Shared,
    Path(name): Path<String>,
) -> Response {
    if lock(&state.faults).objects_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let content = lock(&state.objects).get(&name).cloned();
    match content {
        Some(content) => content.into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn hosts_get(
    State(state): Shared,
    headers: HeaderMap,
) -> Response {
    let list = serde_json::to_vec(&state.hosts_now()).expect("host lists serialize");
    let tag = format!("\"{:016x}\"", xxh3_64(&list));
    let known = headers.get(IF_NONE_MATCH).and_then(|tag| tag.to_str().ok());
    match known == Some(tag.as_str()) {
        true => (StatusCode::NOT_MODIFIED, [(ETAG, tag)]).into_response(),
        false => ([(ETAG, tag)], list).into_response(),
    }
}

async fn weights_health(State(state): Shared) -> Response {
    let faults = lock(&state.faults).clone();
    let slow = faults.weights_slow.max(1.0);
    Json(WeightStoreHealth {
        up: !faults.weights_down,
        loads_per_second: 1.0 / (state.fetch_time.as_secs_f64() * slow),
        loading: state.fetches.running(),
    })
    .into_response()
}

async fn weights_fetch(State(state): Shared) -> Response {
    let faults = lock(&state.faults).clone();
    if faults.weights_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let time = state.fetch_time.mul_f64(faults.weights_slow.max(1.0));
    state.fetches.fetch(time).await;
    StatusCode::NO_CONTENT.into_response()
}

async fn control_faults(
    State(state): Shared,
    Json(faults): Json<PlatformFaults>,
) -> Response {
    *lock(&state.faults) = faults;
    StatusCode::NO_CONTENT.into_response()
}

async fn control_hosts(
    State(state): Shared,
    Json(hosts): Json<Vec<ListedHost>>,
) -> Response {
    state.set_hosts(hosts);
    StatusCode::NO_CONTENT.into_response()
}

async fn control_calls(State(state): Shared) -> Response {
    Json(*lock(&state.calls)).into_response()
}

fn dropped() -> Response {
    let mut response = StatusCode::OK.into_response();
    response.extensions_mut().insert(DropConnection);
    response
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}
