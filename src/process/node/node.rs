use {
    super::{
        ActionRunner, ActiveWork, AdminPages, ConfigFollower, JobPool, Metrics, PlatformPoller,
        SessionKeeper, report_loop,
    },
    crate::{
        clock::Instant,
        connection::{
            caller::{CallerFront, FrontContext, HttpListener, ListenerLimits},
            peer::{PeerLinks, PeerServer, wire::peer_server::PeerServer as PeerGrpc},
            platform::{HttpHostList, HttpObjectStore, HttpTable, HttpWeightStore, Table},
            target::TargetClient,
        },
        errors::RunError,
        process::{
            control::{Control, ControlEvent, ControlHandle, ControlThread, Input, SharedView},
            ownership::SessionLease,
            settings::HostSettings,
        },
        request::{
            AttemptLedger, ClaimStore, EntryService, Forwarder, OwnerContext, OwnerService,
            RateLimits,
        },
        timeline::{Event, EventLog},
        version::ConfigStore,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::{TcpListener, TcpSocket},
        runtime::Handle,
        sync::watch,
    },
    tonic::transport::server::TcpIncoming,
};

/// Threads for transactions on ownership.
const TABLE_THREADS: usize = 2;

/// Connections that wait to be taken; beyond it callers must try to connect again.
const BACKLOG: u32 = 4096;

/// Time between looks at whether a planned stop is done.
const STOP_STEP: Duration = Duration::from_millis(50);

/// Requests get this long to end during a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(120);

/// Ownership gets this long to move away during a planned stop.
const HANDOVER_LIMIT: Duration = Duration::from_secs(5);

/// One running host.
pub struct Node {
    settings: HostSettings,
    control: ControlHandle,
    view: SharedView,
    log: EventLog,
    active: ActiveWork,
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
    stop: watch::Sender<bool>,
    stop_admin: Arc<AtomicBool>,
    /// Dropped to end the session.
    session_stop: flume::Sender<()>,
    session_thread: Option<thread::JoinHandle<()>>,
}

impl Node {
    /// Starts every part of a host; it serves once it has read the configuration.
    pub async fn start(settings: HostSettings) -> Result<Self, RunError> {
        let callers = bind(settings.callers).await?;
        let peers = bind(settings.peers).await?;
        let peers_address = peers.local_addr().unwrap_or(settings.peers);
        let callers_address = callers.local_addr().unwrap_or(settings.callers);
        let session = new_session();
        let log = EventLog::new(&settings.name);
        let platform = &settings.platform;
        let table: Arc<dyn Table> = Arc::new(HttpTable::new(platform.table, platform.timeout));
        let lease = SessionLease::new(settings.lease.length);
        let (events, received) = flume::unbounded();
        let control = ControlHandle::new(events);
        let view = SharedView::default();
        let links = PeerLinks::default();
        let client = TargetClient::new();
        let active = ActiveWork::default();
        let metrics = Metrics::new(settings.statsd, &settings.name);
        let (stop, stopped) = watch::channel(false);
        let (wake_poller, wake) = flume::bounded(1);
        let wake_entry = wake_poller.clone();
        let runner = ActionRunner {
            me: settings.name.clone(),
            session,
            runtime: Handle::current(),
            control: control.clone(),
            view: view.clone(),
            links: links.clone(),
            client: client.clone(),
            table: table.clone(),
            jobs: JobPool::start("table", TABLE_THREADS),
            lease: lease.clone(),
            wake_poller,
            probe_timeout: settings.membership.probe_timeout,
            load_timeout: settings.loads.timeout,
            log: log.clone(),
        };
        let state = Control::new(
            settings.clone(),
            session,
            lease.clone(),
            log.clone(),
            Instant::now(),
        );
        let control_thread = ControlThread::new(state, runner, received, view.clone());
        spawn_thread("control", move || control_thread.run());
        start_poller(&settings, &table, &control, &lease, &log, wake);
        let (session_stop, session_stopped) = flume::bounded(1);
        let keeper = SessionKeeper::new(
            table.clone(),
            &settings.name,
            session,
            settings.lease.clone(),
            lease.clone(),
            session_stopped,
        );
        let session_thread = spawn_thread("session", move || keeper.run());
        let owner = OwnerService::new(Arc::new(OwnerContext {
            control: control.clone(),
            view: view.clone(),
            lease,
            client: client.clone(),
            ledger: AttemptLedger::default(),
            claims: ClaimStore::start(table),
            log: log.clone(),
            active: active.clone(),
        }));
        let peer_server = PeerServer::new(
            control.clone(),
            owner.clone(),
            view.clone(),
            links.clone(),
            settings.membership.probe_timeout,
        );
        tokio::spawn(serve_peers(peers, peer_server, stopped.clone()));
        tokio::spawn(report_loop(
            view.clone(),
            control.clone(),
            client,
            stopped.clone(),
        ));
        let entry = EntryService::new(
            view.clone(),
            Forwarder::new(owner, links.clone(), view.clone()),
            log.clone(),
            metrics,
            wake_entry,
            settings.policy.replicas,
        );
        let front = FrontContext {
            view: view.clone(),
            entry,
            limits: settings.limits.clone(),
            hall: settings.hall.clone(),
            own_address: callers_address,
            active: active.clone(),
            rates: RateLimits::default(),
        };
        let listener = HttpListener::new(callers, listener_limits(&settings));
        let router = CallerFront::router(Arc::new(front));
        tokio::spawn(listener.serve(router, stopped));
        let stop_admin = Arc::new(AtomicBool::new(false));
        let pages = AdminPages {
            runtime: Handle::current(),
            control: control.clone(),
            view: view.clone(),
            links,
            log: log.clone(),
            weights: Arc::new(HttpWeightStore::new(platform.weights, platform.timeout)),
        };
        let admin = pages.start(settings.admin, stop_admin.clone())?;
        log.note(Event::HostStarted, &[("callers", &callers_address)]);
        Ok(Self {
            settings,
            control,
            view,
            log,
            active,
            callers: callers_address,
            peers: peers_address,
            admin,
            stop,
            stop_admin,
            session_stop,
            session_thread: Some(session_thread),
        })
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where the other hosts connect.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Where operators connect.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// What traffic threads see of the control state.
    pub fn view(&self) -> &SharedView {
        &self.view
    }

    /// The planned stop: entry answers lead elsewhere, ownership moves, requests end, then all ends.
    pub async fn stop(mut self) {
        let began = Instant::now();
        self.control.input(Input::Leave);
        while !self.may_end(began.elapsed()) {
            tokio::time::sleep(STOP_STEP).await;
        }
        let _ = self.stop.send(true);
        self.stop_admin.store(true, Ordering::Release);
        let _ = self.session_stop.send(());
        if let Some(thread) = self.session_thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
        self.control.send(ControlEvent::Stop);
        self.log.note(Event::HostStopped, &[]);
    }

    fn may_end(
        &self,
        since: Duration,
    ) -> bool {
        if since >= STOP_LIMIT {
            return true;
        }
        // Callers may use this address until the entry answers that named it have run out.
        let kept = since >= self.settings.limits.entry_life;
        let view = self.view.load();
        let owns = view.owners.values().any(|owner| owner.host == view.me);
        let last = view.eligible.is_empty();
        let moved = !owns || last || since >= HANDOVER_LIMIT;
        view.leaving && kept && moved && self.active.count() == 0
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, RunError> {
    listen(address).map_err(|e| RunError::Listen {
        address: address.to_string(),
        problem: e.to_string(),
    })
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A host that starts anew must get the port of the process before it.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn start_poller(
    settings: &HostSettings,
    table: &Arc<dyn Table>,
    control: &ControlHandle,
    lease: &SessionLease,
    log: &EventLog,
    wake: flume::Receiver<()>,
) {
    let platform = &settings.platform;
    let objects = Arc::new(HttpObjectStore::new(platform.objects, platform.timeout));
    let hosts = Arc::new(HttpHostList::new(platform.hosts, platform.timeout));
    let (heads, seen_heads) = flume::unbounded();
    let follower = ConfigFollower {
        configs: ConfigStore::new(table.clone(), objects),
        control: control.clone(),
        log: log.clone(),
        pause: platform.poll,
        heads: seen_heads,
    };
    spawn_thread("configuration", move || follower.run());
    let poller = PlatformPoller::new(
        table.clone(),
        hosts,
        heads,
        control.clone(),
        lease.clone(),
        log.clone(),
        platform.poll,
        wake,
    );
    spawn_thread("poller", move || poller.run());
}

async fn serve_peers(
    listener: TcpListener,
    server: PeerServer,
    mut stop: watch::Receiver<bool>,
) {
    let stopped = async move {
        let _ = stop.wait_for(|stop| *stop).await;
    };
    // Without it each token would wait for the acknowledgement of the one before, up to 40 ms.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    // An error here is the listener's; peers see the host as dead and say so.
    let _ = tonic::transport::Server::builder()
        .add_service(PeerGrpc::new(server))
        .serve_with_incoming_shutdown(incoming, stopped)
        .await;
}

fn listener_limits(settings: &HostSettings) -> ListenerLimits {
    let limits = &settings.limits;
    ListenerLimits {
        connections: limits.connections,
        connections_per_address: limits.connections_per_address,
        head_timeout: limits.head_timeout,
    }
}

fn spawn_thread(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> thread::JoinHandle<()> {
    thread::Builder::new()
        .name(name.to_string())
        .spawn(run)
        .expect("the system gives a thread")
}

/// Names this process; grows from start to start on hosts whose clock does not go back.
fn new_session() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(1, |since| since.as_millis() as u64)
}
