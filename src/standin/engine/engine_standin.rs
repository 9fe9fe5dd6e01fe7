use {
    super::{EngineFaults, EngineRecord, engine_http::router, engine_state::EngineState},
    crate::{clock::Instant, standin::StandinServer, version::AdapterVersion},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
};

/// How an engine's stand-in is set up.
#[derive(Debug, Clone)]
pub struct EngineStandinSpec {
    pub address: SocketAddr,
    pub base_model: String,
    pub adapter_slots: usize,
    pub batch_slots: usize,
    /// Time from token to token.
    pub token_time: Duration,
    /// Time to read a prompt whose prefix is not cached.
    pub prefill_time: Duration,
    pub checks_fences: bool,
    /// Reports are as old as this when they are renewed.
    pub report_lag: Duration,
    pub cached_prefixes: usize,
    /// Where weights come from; none loads at once.
    pub weight_store: Option<SocketAddr>,
    /// A stream without a reader is cancelled after this time.
    pub abandoned_after: Duration,
}

impl EngineStandinSpec {
    /// An engine with fast tokens, for tests.
    pub fn small(weight_store: Option<SocketAddr>) -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            base_model: "base".into(),
            adapter_slots: 4,
            batch_slots: 8,
            token_time: Duration::from_millis(5),
            prefill_time: Duration::from_millis(2),
            checks_fences: true,
            report_lag: Duration::from_millis(100),
            cached_prefixes: 64,
            weight_store,
            abandoned_after: Duration::from_secs(5),
        }
    }
}

/// A model engine in small, listening.
pub struct EngineStandin {
    server: StandinServer,
    state: SharedEngine,
}

/// The engine's state as its tasks share it.
pub type SharedEngine = Arc<Mutex<EngineState>>;

/// Locks the engine's state.
pub fn lock(state: &SharedEngine) -> MutexGuard<'_, EngineState> {
    state.lock().expect("no holder panics")
}

impl EngineStandin {
    pub async fn start(spec: EngineStandinSpec) -> io::Result<Self> {
        let address = spec.address;
        let lag = spec.report_lag;
        let state: SharedEngine = Arc::new(Mutex::new(EngineState::new(spec)));
        let server = StandinServer::start(address, router(state.clone())).await?;
        tokio::spawn(renew_reports(Arc::downgrade(&state), lag));
        Ok(Self { server, state })
    }

    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn set_faults(
        &self,
        faults: EngineFaults,
    ) {
        lock(&self.state).faults = faults;
    }

    pub fn record(&self) -> EngineRecord {
        lock(&self.state).full_record()
    }

    /// Starts the engine anew, empty.
    pub fn restart(&self) {
        lock(&self.state).restart();
    }

    /// Adapters held now.
    pub fn adapters(&self) -> Vec<AdapterVersion> {
        lock(&self.state).adapters.keys().cloned().collect()
    }
}

async fn renew_reports(
    state: std::sync::Weak<Mutex<EngineState>>,
    lag: Duration,
) {
    loop {
        tokio::time::sleep(lag).await;
        let Some(state) = state.upgrade() else { return };
        let mut state = lock(&state);
        state.last_report = (Instant::now(), state.report());
    }
}
