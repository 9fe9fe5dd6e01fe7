use {
    super::{SitePlan, site_plan::BASE_MODEL},
    crate::{
        clock::Instant,
        connection::platform::{HostState, HttpObjectStore, HttpTable, ListedHost},
        errors::RunError,
        process::{node::Node, settings::HostSettings},
        standin::{
            EngineStandin, EngineStandinSpec, PlainStandin, PlatformStandin, PlatformStandinSpec,
        },
        version::{Change, ConfigStore, SiteConfig},
    },
    std::{net::SocketAddr, path::Path, sync::Arc, time::Duration},
};

/// A site that does not come up within this time is not going to.
const START_LIMIT: Duration = Duration::from_secs(20);

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// A site whose stand-ins and hosts run in this process.
pub struct Site {
    pub plan: SitePlan,
    pub platform: PlatformStandin,
    pub engines: Vec<EngineStandin>,
    pub plain: Vec<PlainStandin>,
    pub nodes: Vec<Node>,
}

impl Site {
    /// Starts the stand-ins, declares the configuration and starts the hosts.
    pub async fn start(plan: SitePlan) -> Result<Self, RunError> {
        let platform = PlatformStandin::start(PlatformStandinSpec {
            address: any_port(),
            fetch_time: plan.fetch_time,
        });
        let platform = platform.await.map_err(cant_listen)?;
        let mut engines = Vec::new();
        for _ in 0..plan.engines {
            let engine = EngineStandin::start(engine_spec(&plan, platform.address())).await;
            engines.push(engine.map_err(cant_listen)?);
        }
        let mut plain = Vec::new();
        for _ in 0..plan.plain_targets {
            let target = PlainStandin::start(any_port()).await;
            plain.push(target.map_err(cant_listen)?);
        }
        let mut site = Self {
            plan,
            platform,
            engines,
            plain,
            nodes: Vec::new(),
        };
        site.declare().await?;
        site.start_nodes().await?;
        site.wait_ready().await?;
        Ok(site)
    }

    /// Where callers connect.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::callers).collect()
    }

    /// Stops the hosts by plan.
    pub async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
    }

    async fn declare(&self) -> Result<(), RunError> {
        let engines: Vec<SocketAddr> = self.engines.iter().map(EngineStandin::address).collect();
        let plain: Vec<SocketAddr> = self.plain.iter().map(PlainStandin::address).collect();
        let changes = self.plan.changes(&engines, &plain);
        let address = self.platform.address();
        let committed = tokio::task::spawn_blocking(move || commit(address, changes)).await;
        committed.map_err(|e| RunError::Call(e.to_string()))?
    }

    async fn start_nodes(&mut self) -> Result<(), RunError> {
        let mut listed = Vec::new();
        for at in 0..self.plan.hosts {
            let hall = self.plan.halls[at % self.plan.halls.len()];
            let settings = node_settings(at, hall, self.platform.address())?;
            let name = settings.name.clone();
            let node = Node::start(settings).await?;
            listed.push(ListedHost {
                name,
                hall: hall.to_string(),
                caller_address: node.callers(),
                peer_address: node.peers(),
                admin_address: node.admin(),
                state: HostState::Live,
            });
            self.nodes.push(node);
        }
        self.platform.set_hosts(listed);
        Ok(())
    }

    /// Waits until every host has the configuration and every target an owner.
    async fn wait_ready(&self) -> Result<(), RunError> {
        let began = Instant::now();
        while began.elapsed() < START_LIMIT {
            let ready = self.nodes.iter().all(|node| {
                let view = node.view().load();
                view.ready && view.owners.len() == view.config.targets.len()
            });
            if ready {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(RunError::Call("the site did not come up".into()))
    }
}

fn commit(
    platform: SocketAddr,
    changes: Vec<Change>,
) -> Result<(), RunError> {
    let table = Arc::new(HttpTable::new(platform, PLATFORM_TIMEOUT));
    let objects = Arc::new(HttpObjectStore::new(platform, PLATFORM_TIMEOUT));
    let store = ConfigStore::new(table, objects);
    store.commit(&SiteConfig::default(), changes, "demo", "demo-start")?;
    Ok(())
}

fn engine_spec(
    plan: &SitePlan,
    weight_store: SocketAddr,
) -> EngineStandinSpec {
    EngineStandinSpec {
        address: any_port(),
        base_model: BASE_MODEL.to_string(),
        adapter_slots: plan.adapter_slots,
        batch_slots: plan.batch_slots,
        token_time: plan.token_time,
        prefill_time: plan.token_time * 2,
        checks_fences: plan.checks_fences,
        report_lag: Duration::from_millis(100),
        cached_prefixes: 256,
        weight_store: Some(weight_store),
        abandoned_after: Duration::from_secs(5),
    }
}

fn node_settings(
    at: usize,
    hall: &str,
    platform: SocketAddr,
) -> Result<HostSettings, RunError> {
    let any = any_port();
    let text = format!(
        "[host]\nname = host-{at}\nhall = {hall}\n\
         [listen]\ncallers = {any}\npeers = {any}\nadmin = {any}\n\
         [platform]\ntable = {platform}\nobjects = {platform}\n\
         hosts = {platform}\nweights = {platform}\n\
         poll_ms = 200\n\
         [limits]\nentry_life_ms = 1000\n"
    );
    HostSettings::parse(Path::new("demo"), &text).map_err(RunError::Settings)
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn cant_listen(error: std::io::Error) -> RunError {
    RunError::Listen {
        address: "127.0.0.1".into(),
        problem: error.to_string(),
    }
}
