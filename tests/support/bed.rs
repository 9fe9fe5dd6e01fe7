use {
    super::bound_child::spawn_bound,
    coveproxy::{
        client::CallerClient,
        clock::Instant,
        connection::platform::{HostState, HttpObjectStore, HttpTable, ListedHost},
        standin::{
            EngineStandin, EngineStandinSpec, FaultProxy, PlainStandin, PlatformStandin,
            PlatformStandinSpec,
        },
        version::{
            AdapterVersion, Change, ConfigStore, EngineSpec, KeyHash, KindSpec, OutfitterSpec,
            ServiceSpec, SiteConfig, TargetRole, TargetSpec,
        },
    },
    serde_json::Value,
    std::{
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpSocket,
        sync::{Semaphore, SemaphorePermit},
    },
};

/// A condition that does not come true within this time fails the test.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Beds that run at once, so that a busy machine does not change what is tested.
static BEDS: Semaphore = Semaphore::const_new(4);

/// Settings under which leases lapse and hosts are buried soon.
const QUICK_TIMINGS: &str = "timeout_ms = 500\npoll_ms = 100\n\
    [lease]\nlength_ms = 1500\nrenew_ms = 400\nmargin_ms = 300\npin_quiet_ms = 600\n\
    [membership]\nprobe_ms = 100\nprobe_timeout_ms = 100\nsuspect_ms = 300\n";

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// Sizes of a bed.
#[derive(Debug, Clone)]
pub struct BedPlan {
    pub hosts: usize,
    pub engines: usize,
    pub plain: usize,
    pub checks_fences: bool,
    pub adapters: usize,
    pub adapter_slots: usize,
    pub batch_slots: usize,
    pub token_time: Duration,
    /// Threads for traffic of each host.
    pub threads: usize,
    /// Without proxies before targets and hosts, for measurements of speed.
    pub direct: bool,
    /// The timings of a real site in place of quick ones.
    pub real_timings: bool,
}

impl Default for BedPlan {
    fn default() -> Self {
        Self {
            hosts: 4,
            engines: 2,
            plain: 2,
            checks_fences: true,
            adapters: 6,
            adapter_slots: 4,
            batch_slots: 8,
            token_time: Duration::from_millis(5),
            threads: 2,
            direct: false,
            real_timings: false,
        }
    }
}

/// A site under test.
pub struct Bed {
    pub plan: BedPlan,
    pub platform: PlatformStandin,
    pub engines: Vec<EngineStandin>,
    pub plain: Vec<PlainStandin>,
    pub engine_links: Vec<FaultProxy>,
    pub plain_links: Vec<FaultProxy>,
    /// In front of the platform, one for each host.
    pub platform_links: Vec<FaultProxy>,
    /// In front of each host's peer address.
    pub peer_links: Vec<FaultProxy>,
    pub hosts: Vec<HostProcess>,
    pub client: Arc<CallerClient>,
    _seat: SemaphorePermit<'static>,
}

/// One `coveproxyd`.
pub struct HostProcess {
    pub name: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
    threads: usize,
    settings: PathBuf,
    child: Option<Child>,
    /// Bound without listening, so that nobody else is given the ports meanwhile.
    _held: Vec<TcpSocket>,
}

impl Bed {
    /// Starts everything and waits until every target has an owner that knows it.
    pub async fn start(plan: BedPlan) -> Self {
        let seat = BEDS.acquire().await.expect("never closed");
        let spec = PlatformStandinSpec {
            address: any_port(),
            fetch_time: Duration::from_millis(40),
        };
        let platform = PlatformStandin::start(spec).await.unwrap();
        let mut bed = Self {
            platform,
            engines: Vec::new(),
            plain: Vec::new(),
            engine_links: Vec::new(),
            plain_links: Vec::new(),
            platform_links: Vec::new(),
            peer_links: Vec::new(),
            hosts: Vec::new(),
            client: Arc::new(CallerClient::new(Vec::new())),
            plan,
            _seat: seat,
        };
        bed.start_targets().await;
        bed.commit(&SiteConfig::default(), bed.declaration()).await;
        bed.start_hosts().await;
        bed.wait_owned().await;
        bed
    }

    async fn start_targets(&mut self) {
        for _ in 0..self.plan.engines {
            let mut spec = EngineStandinSpec::small(Some(self.platform.address()));
            spec.checks_fences = self.plan.checks_fences;
            spec.adapter_slots = self.plan.adapter_slots;
            spec.batch_slots = self.plan.batch_slots;
            spec.token_time = self.plan.token_time;
            spec.abandoned_after = Duration::from_secs(4);
            let engine = EngineStandin::start(spec).await.unwrap();
            let link = FaultProxy::start(engine.address()).await.unwrap();
            self.engines.push(engine);
            self.engine_links.push(link);
        }
        for _ in 0..self.plan.plain {
            let target = PlainStandin::start(any_port()).await.unwrap();
            let link = FaultProxy::start(target.address()).await.unwrap();
            self.plain.push(target);
            self.plain_links.push(link);
        }
    }

    async fn start_hosts(&mut self) {
        for at in 0..self.plan.hosts {
            let link = FaultProxy::start(self.platform.address()).await.unwrap();
            let host = HostProcess::new(at, link.address(), self.plan.real_timings);
            let peers = FaultProxy::start(host.peers).await.unwrap();
            self.platform_links.push(link);
            self.peer_links.push(peers);
            self.hosts.push(host);
        }
        self.list_hosts(|_| Some(HostState::Live));
        for host in &mut self.hosts {
            host.threads = self.plan.threads;
            host.start();
        }
        let callers = self.hosts.iter().map(|host| host.callers).collect();
        self.client = Arc::new(CallerClient::new(callers));
    }

    /// Sets the platform's host list; none leaves a host out.
    pub fn list_hosts(
        &self,
        state: impl Fn(usize) -> Option<HostState>,
    ) {
        let listed = |(at, host): (usize, &HostProcess)| {
            Some(ListedHost {
                name: host.name.clone(),
                hall: format!("hall-{}", at % 2),
                caller_address: host.callers,
                peer_address: match self.plan.direct {
                    true => host.peers,
                    false => self.peer_links[at].address(),
                },
                admin_address: host.admin,
                state: state(at)?,
            })
        };
        let hosts = self.hosts.iter().enumerate().filter_map(listed).collect();
        self.platform.set_hosts(hosts);
    }

    fn declaration(&self) -> Vec<Change> {
        let kind = |name: &str, priority, repeatable| Change::SetKind {
            name: name.into(),
            spec: KindSpec {
                priority,
                deadline_ms: 20_000,
                batch: false,
                repeatable,
            },
        };
        let service = |name: &str, kinds: &[&str], plain| Change::SetService {
            name: name.into(),
            spec: ServiceSpec {
                keys: vec![KeyHash::from_key(&format!("key-{name}"))],
                kinds: kinds.iter().map(|kind| kind.to_string()).collect(),
                outfitter: None,
                plain,
                retry_share: 1.0,
                rate: 0.0,
            },
        };
        let mut changes = vec![
            kind("live", 7, true),
            kind("booking", 6, false),
            service("notes", &["live", "booking"], false),
            service("seats", &["booking", "live"], true),
            Change::SetOutfitter {
                name: "hill".into(),
                spec: OutfitterSpec { worth: 1.5 },
            },
            Change::DeclareAdapters {
                base_model: "base".into(),
                versions: (0..self.plan.adapters).map(model).collect(),
            },
        ];
        for at in 0..self.plan.engines {
            changes.push(self.engine_change(at, false));
        }
        for (at, link) in self.plain_links.iter().enumerate() {
            let role = TargetRole::Plain {
                service: "seats".into(),
                calls: 32,
            };
            changes.push(target(
                &format!("seats-{at}"),
                link.address(),
                role,
                false,
                false,
            ));
        }
        changes
    }

    /// Declares an engine, leaving or not.
    pub fn engine_change(
        &self,
        at: usize,
        leaving: bool,
    ) -> Change {
        let role = TargetRole::Engine(EngineSpec {
            base_model: "base".into(),
            adapter_slots: self.plan.adapter_slots,
            batch_slots: self.plan.batch_slots,
        });
        let address = match self.plan.direct {
            true => self.engines[at].address(),
            false => self.engine_links[at].address(),
        };
        target(
            &format!("engine-{at}"),
            address,
            role,
            self.plan.checks_fences,
            leaving,
        )
    }

    pub fn store(&self) -> ConfigStore {
        let timeout = Duration::from_secs(2);
        let table = Arc::new(HttpTable::new(self.platform.address(), timeout));
        let objects = Arc::new(HttpObjectStore::new(self.platform.address(), timeout));
        ConfigStore::new(table, objects)
    }

    /// Commits changes on top of `seen`.
    pub async fn commit(
        &self,
        seen: &SiteConfig,
        changes: Vec<Change>,
    ) -> SiteConfig {
        let (store, seen) = (self.store(), seen.clone());
        let operation = format!("op-{}", NUMBER.fetch_add(1, Ordering::Relaxed));
        blocking(move || store.commit(&seen, changes, "test", &operation))
            .await
            .unwrap()
    }

    /// The newest configuration.
    pub async fn config(&self) -> SiteConfig {
        let store = self.store();
        blocking(move || store.read(&SiteConfig::default()))
            .await
            .unwrap()
    }

    /// What a host says of the site; none when it does not answer.
    pub async fn status(
        &self,
        host: usize,
    ) -> Option<Value> {
        let body = self
            .client
            .get(self.hosts[host].admin, "/status")
            .await
            .ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Events that a host keeps.
    pub async fn events(
        &self,
        host: usize,
    ) -> Vec<Value> {
        let body = self.client.get(self.hosts[host].admin, "/events").await;
        let value: Value = body
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok())
            .unwrap_or_default();
        value["events"].as_array().cloned().unwrap_or_default()
    }

    /// Number of the host that owns a target, as the running hosts themselves say.
    pub async fn owner(
        &self,
        target: &str,
    ) -> usize {
        let found = wait_for("an owner", async || {
            for at in 0..self.hosts.len() {
                let Some(status) = self.status(at).await else {
                    continue;
                };
                for host in status["hosts"].as_array()? {
                    let targets = host["targets"].as_array();
                    let mut targets = targets.into_iter().flatten();
                    if targets.any(|owned| owned["target"] == target) {
                        return self.hosts.iter().position(|h| host["host"] == h.name);
                    }
                }
            }
            None
        });
        found.await
    }

    /// Waits until each target is owned by a host that runs.
    pub async fn wait_owned(&self) {
        let targets = self.plan.engines + self.plan.plain;
        wait_for("owners for all targets", async || {
            let status = self.any_status().await?;
            let hosts = status["hosts"].as_array()?;
            let owned: usize = hosts
                .iter()
                .filter_map(|host| Some(host["targets"].as_array()?.len()))
                .sum();
            (owned == targets).then_some(())
        })
        .await;
    }

    async fn any_status(&self) -> Option<Value> {
        for at in 0..self.hosts.len() {
            if self.hosts[at].child.is_some()
                && let Some(status) = self.status(at).await
            {
                return Some(status);
            }
        }
        None
    }
}

impl HostProcess {
    fn new(
        at: usize,
        platform: SocketAddr,
        real_timings: bool,
    ) -> Self {
        let held: Vec<TcpSocket> = (0..3).map(|_| hold_port()).collect();
        let address = |at: usize| held[at].local_addr().unwrap();
        let [callers, peers, admin] = [address(0), address(1), address(2)];
        let name = format!("host-{at}");
        let timings = if real_timings { "" } else { QUICK_TIMINGS };
        let text = format!(
            "[host]\nname = {name}\nhall = hall-{}\n\
             [listen]\ncallers = {callers}\npeers = {peers}\nadmin = {admin}\n\
             [platform]\ntable = {platform}\nobjects = {platform}\nhosts = {platform}\n\
             weights = {platform}\n\
             {timings}\
             [limits]\nbody_bytes = 65536\nhead_timeout_ms = 1500\nbody_timeout_ms = 1500\n\
             entry_life_ms = 300\n\
             [loads]\ntimeout_ms = 1500\n",
            at % 2
        );
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let file = format!("coveproxy-{}-{number}.ini", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).unwrap();
        Self {
            name,
            callers,
            peers,
            admin,
            threads: 1,
            settings,
            child: None,
            _held: held,
        }
    }

    pub fn start(&mut self) {
        let level = std::env::var("BED_LOG").unwrap_or_else(|_| "off".into());
        let mut command = Command::new(env!("CARGO_BIN_EXE_coveproxyd"));
        command
            .arg("--settings")
            .arg(&self.settings)
            .args(["--threads", &self.threads.to_string()])
            .env("RUST_LOG", level)
            .stdin(Stdio::null());
        self.child = Some(spawn_bound(&mut command).unwrap());
    }

    /// The process's number, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    pub fn signal(
        &self,
        signal: &str,
    ) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let done = Command::new("kill").args([signal, &pid]).status().unwrap();
            assert!(done.success(), "kill {signal}");
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }

    /// Waits for the process to end by itself.
    pub async fn exit(&mut self) -> ExitStatus {
        let mut child = self.child.take().expect("it runs");
        blocking(move || child.wait().unwrap()).await
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// The adapter version with this number.
pub fn model(number: usize) -> AdapterVersion {
    AdapterVersion::new(&format!("adapter-{number}"), "1").unwrap()
}

/// Waits until `check` gives a value.
pub async fn wait_for<T>(
    what: &str,
    check: impl AsyncFn() -> Option<T>,
) -> T {
    let began = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(began.elapsed() < PATIENCE, "waited in vain for {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub async fn blocking<T: Send + 'static>(call: impl FnOnce() -> T + Send + 'static) -> T {
    tokio::task::spawn_blocking(call).await.unwrap()
}

fn target(
    name: &str,
    address: SocketAddr,
    role: TargetRole,
    checks_fences: bool,
    leaving: bool,
) -> Change {
    Change::SetTarget {
        name: name.into(),
        spec: TargetSpec {
            address,
            hall: "hall-0".into(),
            role,
            checks_fences,
            leaving,
        },
    }
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Takes a port from the system; a listener that allows address reuse may still bind it.
fn hold_port() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(any_port()).unwrap();
    socket
}
