use {
    crate::{
        connection::{
            peer::{PeerLinks, wire},
            platform::WeightStore,
        },
        errors::RunError,
        process::control::{ControlEvent, ControlHandle, SharedView},
        timeline::EventLog,
    },
    rouille::{Request, Response, Server, router},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
    tokio::{runtime::Handle, sync::oneshot},
};

/// Time between looks at whether to stop.
const STEP: Duration = Duration::from_millis(100);

/// Limit for another host's status.
const STATUS_LIMIT: Duration = Duration::from_millis(500);

/// The operators' pages: health, status and events.
#[derive(Clone)]
pub struct AdminPages {
    pub runtime: Handle,
    pub control: ControlHandle,
    pub view: SharedView,
    pub links: PeerLinks,
    pub log: EventLog,
    pub weights: Arc<dyn WeightStore>,
}

impl AdminPages {
    /// Serves the pages on a thread of its own until `stop` is set; returns the address.
    pub fn start(
        self,
        address: SocketAddr,
        stop: Arc<AtomicBool>,
    ) -> Result<SocketAddr, RunError> {
        let listen = |problem: String| RunError::Listen {
            address: address.to_string(),
            problem,
        };
        let server = Server::new(address, move |request| self.page(request))
            .map_err(|e| listen(e.to_string()))?;
        let bound = server.server_addr();
        thread::Builder::new()
            .name("admin".into())
            .spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    server.poll_timeout(STEP);
                }
            })
            .map_err(|e| listen(e.to_string()))?;
        Ok(bound)
    }

    fn page(
        &self,
        request: &Request,
    ) -> Response {
        router!(request,
            (GET) (/health/live) => { Response::text("live\n") },
            (GET) (/health/ready) => { self.ready() },
            (GET) (/status) => { self.status() },
            (GET) (/events) => { self.events(request) },
            _ => Response::empty_404()
        )
    }

    fn ready(&self) -> Response {
        let view = self.view.load();
        let state = json!({
            "ready": view.ready && !view.leaving,
            "leaving": view.leaving,
            "table_reachable": view.table_reachable,
            "config_revision": view.config.revision,
        });
        let status = match view.ready && !view.leaving {
            true => 200,
            false => 503,
        };
        Response::json(&state).with_status_code(status)
    }

    fn events(
        &self,
        request: &Request,
    ) -> Response {
        let after = request
            .get_param("after")
            .and_then(|after| after.parse().ok())
            .unwrap_or(0);
        let (events, lost) = self.log.after(after);
        Response::json(&json!({"events": events, "lost": lost}))
    }

    fn status(&self) -> Response {
        let hosts = self.runtime.block_on(self.gather());
        let view = self.view.load();
        let peers: Vec<Value> = view
            .hosts
            .iter()
            .map(|(name, host)| {
                json!({
                    "host": name,
                    "hall": host.hall,
                    "liveness": format!("{:?}", host.liveness).to_lowercase(),
                    "config_revision": host.config_revision,
                })
            })
            .collect();
        Response::json(&json!({
            "answered_by": view.me,
            "config_revision": view.config.revision,
            "hosts": hosts,
            "weight_store": self.weights.health().ok(),
            "seen_from_here": peers,
            "owners": view.owners.iter().map(|(target, owner)| {
                json!({"target": target, "host": owner.host, "fence": owner.fence})
            }).collect::<Vec<_>>(),
        }))
    }

    /// The status of every host; one that does not answer in time is named all the same.
    async fn gather(&self) -> Vec<Value> {
        let (reply, own) = oneshot::channel();
        self.control.send(ControlEvent::Status { reply });
        let mut answers = Vec::new();
        if let Ok(status) = own.await {
            answers.push(host_json(&status));
        }
        let hosts = self.view.load().hosts.clone();
        let asks = hosts.into_iter().map(|(name, host)| async move {
            let mut link = self.links.to(host.peer_address);
            let ask = link.status(wire::StatusQuery {});
            match tokio::time::timeout(STATUS_LIMIT, ask).await {
                Ok(Ok(status)) => host_json(&status.into_inner()),
                _ => json!({"host": name, "hall": host.hall, "answers": false}),
            }
        });
        answers.extend(futures_util::future::join_all(asks).await);
        answers
    }
}

fn host_json(status: &wire::StatusReply) -> Value {
    let adapter = |adapter: &wire::AdapterStatus| {
        json!({
            "model": format!("{}@{}", adapter.adapter, adapter.version),
            "state": adapter.state,
            "running": adapter.running,
        })
    };
    let target = |target: &wire::TargetStatus| {
        json!({
            "target": target.target,
            "fence": target.fence,
            "running": target.running,
            "waiting": target.waiting,
            "adapters": target.adapters.iter().map(adapter).collect::<Vec<_>>(),
        })
    };
    json!({
        "host": status.host,
        "hall": status.hall,
        "answers": true,
        "config_revision": status.config_revision,
        "table_reachable": status.table_reachable,
        "lease_valid": status.lease_valid,
        "load_scheduler": status.load_scheduler,
        "targets": status.targets.iter().map(target).collect::<Vec<_>>(),
    })
}
