use {
    super::JobPool,
    crate::{
        clock::Instant,
        connection::{
            peer::{PeerLinks, heartbeat_from_wire, heartbeat_to_wire, wire},
            platform::{Commit, Condition, Table, Transaction, Write},
            target::{EngineOrder, OrderRequest, TargetClient},
        },
        errors::TargetError,
        process::{
            control::{ControlEvent, ControlHandle, Input, LoadGrant, SharedView},
            loads::{LoadRequest, LoadRequestId},
            membership::{Heartbeat, MembershipAction, Rumor},
            ownership::{
                OwnerRow, OwnershipAction, SessionLease, SessionRow, era_of, owner_key, session_key,
            },
        },
        timeline::{Event, EventLog},
        version::AdapterVersion,
    },
    std::{sync::Arc, time::Duration},
    tokio::{runtime::Handle, sync::oneshot},
};

/// An ask that the scheduler did not answer is made again after this pause.
const ASK_PAUSE: Duration = Duration::from_millis(100);

/// Longer than the scheduler lets an ask wait.
const ASK_LIMIT: Duration = Duration::from_secs(2);

/// A term that no lease is ever in.
const NO_TERM: u64 = 0;

/// Limit for orders that are carried out at once.
const SHORT_ORDER: Duration = Duration::from_secs(1);

/// Carries out what the control state wants done, without ever holding it up.
#[derive(Clone)]
pub struct ActionRunner {
    pub me: String,
    pub session: u64,
    pub runtime: Handle,
    pub control: ControlHandle,
    pub view: SharedView,
    pub links: PeerLinks,
    pub client: TargetClient,
    pub table: Arc<dyn Table>,
    pub jobs: JobPool,
    pub lease: SessionLease,
    pub wake_poller: flume::Sender<()>,
    pub probe_timeout: Duration,
    pub load_timeout: Duration,
    pub log: EventLog,
}

impl ActionRunner {
    /// Sends a probe, or asks another host to.
    pub fn membership(
        &self,
        action: MembershipAction,
        own: (Heartbeat, Vec<Rumor>),
    ) {
        let runner = self.clone();
        let message = heartbeat_to_wire(own.0, own.1);
        self.runtime.spawn(async move {
            match action {
                MembershipAction::Probe { host } => runner.probe(host, message).await,
                MembershipAction::ProbeVia { via, host } => {
                    runner.probe_via(&via, host, message).await;
                }
            }
        });
    }

    async fn probe(
        &self,
        host: String,
        message: wire::HeartbeatMessage,
    ) {
        match self.heartbeat(&host, message, self.probe_timeout).await {
            Some(answer) if answer.host == host => self.heard(answer),
            other => {
                // The host's former address may belong to another one by now.
                if let Some(answer) = other {
                    self.heard(answer);
                }
                self.control.input(Input::ProbeFailed { host });
            }
        }
    }

    async fn probe_via(
        &self,
        via: &str,
        host: String,
        mut message: wire::HeartbeatMessage,
    ) {
        message.probe = host.clone();
        let limit = self.probe_timeout * 2;
        let reached = match self.heartbeat(via, message, limit).await {
            Some(answer) => {
                let reached = answer.probe_answered;
                self.heard(answer);
                reached
            }
            None => false,
        };
        self.control.input(match reached {
            true => Input::HelperReached { host },
            false => Input::HelperFailed { host },
        });
    }

    async fn heartbeat(
        &self,
        host: &str,
        message: wire::HeartbeatMessage,
        limit: Duration,
    ) -> Option<wire::HeartbeatMessage> {
        let address = self.view.load().peer_address(host)?;
        let mut link = self.links.to(address);
        let answer = tokio::time::timeout(limit, link.heartbeat(message)).await;
        answer.ok()?.ok().map(|answer| answer.into_inner())
    }

    fn heard(
        &self,
        answer: wire::HeartbeatMessage,
    ) {
        let (heard, rumors) = heartbeat_from_wire(answer);
        self.control.input(Input::Heartbeat { heard, rumors });
    }

    /// Commits a change of ownership, or watches a session.
    pub fn ownership(
        &self,
        action: OwnershipAction,
    ) {
        let runner = self.clone();
        self.jobs.run(move || match action {
            OwnershipAction::Take {
                target,
                expected_version,
                era,
            } => {
                let row = OwnerRow {
                    host: runner.me.clone(),
                    session: runner.session,
                    era,
                };
                runner.commit_owner(&target, expected_version, row);
            }
            OwnershipAction::HandOver {
                target,
                expected_version,
                era,
                to,
                session,
            } => {
                let row = OwnerRow {
                    host: to,
                    session,
                    era,
                };
                runner.commit_owner(&target, expected_version, row);
            }
            OwnershipAction::WatchSession { host } => runner.read_session(host),
        });
    }

    fn commit_owner(
        &self,
        target: &str,
        expected_version: u64,
        row: OwnerRow,
    ) {
        let term = self.lease.term();
        if !self.lease.is_valid(Instant::now()) {
            return self.owner_failed(target);
        }
        let key = owner_key(target);
        let value = serde_json::to_string(&row).expect("owners serialize");
        let committed = self.table.transact(&Transaction {
            conditions: vec![Condition::new(&key, expected_version)],
            writes: vec![Write::put(&key, value)],
        });
        match committed {
            Ok(Commit::Done { sequence }) => self.tell_owner(target, sequence, row, term),
            // The row itself tells who won, or whether a write with a lost reply took effect.
            Ok(Commit::Conflict { .. }) => self.reread_owner(target, &key, term),
            Err(error) if error.may_have_committed() => self.reread_owner(target, &key, term),
            Err(_) => self.owner_failed(target),
        }
    }

    fn reread_owner(
        &self,
        target: &str,
        key: &str,
        term: u64,
    ) {
        let row = match self.table.get(key) {
            Ok(Some(row)) => row,
            _ => return self.owner_failed(target),
        };
        match serde_json::from_str(&row.value) {
            Ok(owner) => self.tell_owner(target, row.version, owner, term),
            Err(_) => self.owner_failed(target),
        }
    }

    fn tell_owner(
        &self,
        target: &str,
        version: u64,
        row: OwnerRow,
        term: u64,
    ) {
        if row.host != self.me {
            self.log.note(
                Event::TargetHandedOver,
                &[("target", &target), ("to", &row.host), ("fence", &version)],
            );
        }
        self.control.input(Input::OwnerRow {
            target: target.to_string(),
            version,
            row,
            term,
        });
        self.owner_failed(target);
    }

    /// Nothing is under way for the target any more.
    fn owner_failed(
        &self,
        target: &str,
    ) {
        self.control.input(Input::OwnerFailed {
            target: target.to_string(),
        });
    }

    fn read_session(
        &self,
        host: String,
    ) {
        let asked = Instant::now();
        let Ok(row) = self.table.get(&session_key(&host)) else {
            return;
        };
        let version = row.as_ref().map_or(0, |row| row.version);
        let row = row.and_then(|row| serde_json::from_str::<SessionRow>(&row.value).ok());
        self.control.input(Input::SessionRead {
            host,
            version,
            row,
            asked,
        });
    }

    /// Asks the load scheduler; the answer comes back as an event.
    pub fn ask_load(
        &self,
        target: String,
        model: AdapterVersion,
        score: f64,
    ) {
        let runner = self.clone();
        self.runtime.spawn(async move {
            let ask = LoadRequest {
                host: runner.me.clone(),
                target: target.clone(),
                model: model.clone(),
                score,
            };
            let grant = runner.acquire(ask).await;
            if grant.is_none() {
                tokio::time::sleep(ASK_PAUSE).await;
            }
            let grant = grant.flatten();
            runner.control.send(ControlEvent::LoadAnswer {
                target,
                model,
                grant,
            });
        });
    }

    /// The scheduler's answer; none when there was none.
    async fn acquire(
        &self,
        ask: LoadRequest,
    ) -> Option<Option<LoadGrant>> {
        let view = self.view.load_full();
        let host = view.scheduler()?.to_string();
        if host == view.me {
            let (reply, answer) = oneshot::channel();
            self.control.send(ControlEvent::AskLoad { ask, reply });
            let granted = answer.await.ok()?;
            return Some(granted.map(|ask| LoadGrant { host, ask }));
        }
        let mut link = self.links.to(view.peer_address(&host)?);
        let call = link.acquire_load(wire::LoadAsk {
            host: ask.host,
            target: ask.target,
            adapter: ask.model.adapter().to_string(),
            version: ask.model.version().to_string(),
            score: ask.score,
            waiting_ms: 0,
            max_wait_ms: 0,
        });
        let answer = tokio::time::timeout(ASK_LIMIT, call).await.ok()?.ok()?;
        let answer = answer.into_inner();
        let grant = LoadGrant {
            host,
            ask: LoadRequestId(answer.grant),
        };
        Some(answer.granted.then_some(grant))
    }

    /// Gives a permission back to the host that gave it.
    pub fn release(
        &self,
        grant: LoadGrant,
    ) {
        if grant.host == self.me {
            return self.control.input(Input::LoadReleased { ask: grant.ask });
        }
        let runner = self.clone();
        self.runtime.spawn(async move {
            let address = runner.view.load().peer_address(&grant.host);
            let Some(address) = address else { return };
            // A lost release is made good by the permission's end of life.
            let _ = runner
                .links
                .to(address)
                .release_load(wire::LoadRelease {
                    grant: grant.ask.0,
                    host: runner.me.clone(),
                })
                .await;
        });
    }

    /// Gives an order to a target; how it ended comes back as an event.
    pub fn order(
        &self,
        target: String,
        fence: u64,
        term: u64,
        order: EngineOrder,
    ) {
        self.note_order(&target, &order);
        let runner = self.clone();
        self.runtime.spawn(async move {
            let outcome = runner.give_order(&target, fence, term, &order).await;
            runner.control.input(Input::OrderEnd {
                target,
                fence,
                order,
                outcome,
            });
        });
    }

    async fn give_order(
        &self,
        target: &str,
        fence: u64,
        term: u64,
        order: &EngineOrder,
    ) -> Result<(), TargetError> {
        let spec = self.view.load().config.targets.get(target).cloned();
        let spec = spec.ok_or_else(|| TargetError::NotReached("not declared".into()))?;
        let limit = match order {
            EngineOrder::LoadAdapter { .. } => self.load_timeout,
            _ => SHORT_ORDER,
        };
        let request = OrderRequest {
            fence,
            order: order.clone(),
        };
        // Looked at last: a process that was paused may have a successor by now.
        if !spec.checks_fences && !self.lease.is_valid_in(term, Instant::now()) {
            return Err(TargetError::NotReached("the lease has lapsed".into()));
        }
        self.client.order(spec.address, &request, limit).await
    }

    fn note_order(
        &self,
        target: &str,
        order: &EngineOrder,
    ) {
        let (event, model) = match order {
            EngineOrder::LoadAdapter { model } => (Event::LoadOrdered, model),
            EngineOrder::UnloadAdapter { model } => (Event::DropOrdered, model),
            _ => return,
        };
        self.log
            .note(event, &[("target", &target), ("adapter", model)]);
    }

    /// Has the configuration read without waiting for the next look.
    pub fn read_config(&self) {
        let _ = self.wake_poller.try_send(());
    }

    /// Has the configuration and the owners from a host that knows more.
    pub fn fetch_snapshot(
        &self,
        host: String,
        known_revision: u64,
    ) {
        let runner = self.clone();
        self.runtime.spawn(async move {
            let Some(address) = runner.view.load().peer_address(&host) else {
                return;
            };
            let mut link = runner.links.to(address);
            let query = wire::SnapshotQuery { known_revision };
            // Without an answer the next heartbeat leads here again.
            if let Ok(reply) = link.snapshot(query).await {
                runner.take_snapshot(reply.into_inner());
            }
        });
    }

    fn take_snapshot(
        &self,
        snapshot: wire::SnapshotReply,
    ) {
        if let Ok(config) = serde_json::from_slice(&snapshot.config) {
            self.control.input(Input::Config(Arc::new(config)));
        }
        for entry in snapshot.owners {
            self.control.input(Input::OwnerRow {
                target: entry.target,
                version: entry.fence,
                row: OwnerRow {
                    host: entry.host,
                    session: entry.session,
                    era: era_of(entry.fence),
                },
                // What another host remembers proves no term of this one's lease.
                term: NO_TERM,
            });
        }
    }

    /// Tells a host that it owns a target now.
    pub fn notice_handover(
        &self,
        host: String,
        target: String,
        fence: u64,
    ) {
        let runner = self.clone();
        self.runtime.spawn(async move {
            let address = runner.view.load().peer_address(&host);
            let Some(address) = address else { return };
            let handed = wire::HandedTarget {
                target,
                fence,
                pins: Vec::new(),
            };
            let notice = wire::HandoverNotice {
                targets: vec![handed],
            };
            // Without the notice the new owner sees the row at its next look.
            let _ = runner.links.to(address).handover(notice).await;
        });
    }
}
