//! Executes the control thread's actions and feeds their results back as events.

use {
    super::{
        ControlAction, ControlEvent, HostControl,
        copy_reader::{CopyReader, STORE_LIMIT},
        kept_calls::KeptCalls,
        origin_rows::ORIGIN_TABLE,
        poison_rows::POISON_TABLE,
        traffic::TrafficInput,
        wake_watch::{WakeWatch, tell_wake},
    },
    crate::{
        clock::{Instant, sleep_until},
        connection::{
            datagram::DatagramSocket,
            http1::{CallHeaders, CallLimit},
            store::{StoreClient, StoreFailure},
            targets::{ControlRequest, OriginReply},
        },
        formats::{Commit, Formats, Order, OrderReply, RowWrite, Transaction},
        metrics::{OrderLabels, metrics},
        note,
        process::{
            holding::{HOLDING_TABLE, TakenEngine},
            ownership::SessionLease,
            settings::NodeSettings,
        },
        timeline::{Event, quoted},
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::task::spawn_local,
};

const ORDER_TIMEOUT: Duration = Duration::from_millis(120);

const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Bytes of a target's reply to an order, and of its report.
const MAX_ORDER_REPLY: usize = 64 * 1024;
const MAX_REPORT: usize = 1024 * 1024;

/// Maximum number of rows that the store accepts in one transaction.
const MAX_ROWS_PER_TRANSACTION: usize = 100;

/// Attempts to write poison rows, and the delay between them; together they cover a store outage of a minute.
const STORE_MAX_ATTEMPTS: u32 = 30;
const STORE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Minimum remaining lease time for sending an order.
const MIN_REMAINING_LEASE: Duration = Duration::from_millis(200);

/// Event loop of the control thread: passes events to [`HostControl`] and executes the resulting actions.
pub struct ControlRunner {
    control: Rc<RefCell<HostControl>>,
    formats: Arc<dyn Formats>,
    store: Rc<StoreClient>,
    socket: Rc<DatagramSocket>,
    lease: SessionLease,
    events: flume::Sender<ControlEvent>,
    inbox: flume::Receiver<ControlEvent>,
    requests: flume::Receiver<ControlRequest>,
    traffic: flume::Sender<TrafficInput>,
    calls: Rc<KeptCalls>,
    table_reader: CopyReader,
}

impl ControlRunner {
    pub fn new(
        control: Rc<RefCell<HostControl>>,
        formats: Arc<dyn Formats>,
        settings: &NodeSettings,
        socket: DatagramSocket,
        requests: flume::Receiver<ControlRequest>,
        traffic: flume::Sender<TrafficInput>,
    ) -> Self {
        let (events, inbox) = flume::unbounded();
        let lease = control.borrow().lease();
        let store = StoreClient::new(settings.store, formats.clone(), STORE_LIMIT);
        let store = Rc::new(store);
        let calls = Rc::<KeptCalls>::default();
        Self {
            table_reader: CopyReader {
                formats: formats.clone(),
                store: store.clone(),
                calls: calls.clone(),
                events: events.clone(),
            },
            store,
            control,
            formats,
            socket: Rc::new(socket),
            lease,
            events,
            inbox,
            requests,
            traffic,
            calls,
        }
    }

    /// Returns the sender for external events.
    pub fn events(&self) -> flume::Sender<ControlEvent> {
        self.events.clone()
    }

    /// Runs until the event or request channel is closed.
    pub async fn run(self) {
        let mut wake_watch = WakeWatch::new(Instant::now());
        loop {
            let waiting_since = Instant::now();
            let wake = self.control.borrow().next_wake(waiting_since);
            let event = tokio::select! {
                biased;
                event = self.inbox.recv_async() => match event {
                    Ok(event) => event,
                    Err(_) => return,
                },
                request = self.requests.recv_async() => match request {
                    Ok(request) => ControlEvent::Request(request),
                    Err(_) => return,
                },
                (from, message) = self.socket.receive() => ControlEvent::Message {
                    from,
                    message,
                    arrived_after: self.socket.drained_at(),
                },
                _ = sleep_until(wake) => {
                    if wake > waiting_since {
                        // Datagrams that had arrived by then would have been received first.
                        self.socket.note_drained(waiting_since);
                    }
                    ControlEvent::Tick
                }
            };
            let (kind, started_at) = (event.kind(), Instant::now());
            let actions = self.control.borrow_mut().on(event, started_at);
            for action in actions {
                self.execute(action);
            }
            tell_wake(&mut wake_watch, kind, started_at);
        }
    }

    fn execute(
        &self,
        action: ControlAction,
    ) {
        match action {
            ControlAction::Send { to, message } => self.socket.send(to, message),
            ControlAction::ReadChanges { table, since } => {
                self.table_reader.read_changes(table, since)
            }
            ControlAction::ReadTable { table } => self.table_reader.read_table(table),
            ControlAction::PullChanges { table, from, since } => {
                self.table_reader.pull(table, from, since);
            }
            ControlAction::PullHosts { from } => self.table_reader.pull_hosts(from),
            ControlAction::Renew { transaction } => self.renew(transaction),
            ControlAction::ReadHolders { term } => self.read_holders(term),
            ControlAction::CheckLeases { transaction } => self.check_leases(transaction),
            ControlAction::TakeEngines {
                engines,
                term,
                transaction,
            } => self.take(engines, term, transaction),
            ControlAction::Order {
                target,
                address,
                term,
                order,
            } => self.order(target, address, term, order),
            ControlAction::RequestReport { target, address } => {
                self.request_report(target, address)
            }
            ControlAction::PublishView(view) => self.send_to_traffic(TrafficInput::View(view)),
            ControlAction::PublishFreshness(freshness) => {
                self.send_to_traffic(TrafficInput::Confirmed(freshness));
            }
            ControlAction::DeliverPlacement(placement) => {
                self.send_to_traffic(TrafficInput::Placement(placement));
            }
            ControlAction::DeliverLoad(load) => self.send_to_traffic(TrafficInput::Load(load)),
            ControlAction::DeliverEngineStatus(status) => {
                self.send_to_traffic(TrafficInput::Standing(status));
            }
            ControlAction::DeliverSlotResponse(given) => {
                self.send_to_traffic(TrafficInput::PlaceGiven(given))
            }
            ControlAction::DeliverPermitAnswer(answer) => {
                self.send_to_traffic(TrafficInput::Permit(answer))
            }
            ControlAction::DeliverOwnOrigin { answer, asked } => {
                self.send_to_traffic(TrafficInput::Origin(OriginReply::Own { answer, asked }))
            }
            ControlAction::DeliverOrigin(answer) => {
                self.send_to_traffic(TrafficInput::Origin(OriginReply::Other(answer)))
            }
            ControlAction::DeliverNotices { target, notices } => {
                self.send_to_traffic(TrafficInput::TargetNews { target, notices });
            }
            ControlAction::DeliverChargeAnswer(answer) => {
                self.send_to_traffic(TrafficInput::Charged(answer))
            }
            ControlAction::DeliverLoan(loan) => self.send_to_traffic(TrafficInput::Borrowed(loan)),
            ControlAction::SetPoisonVerdict { key, verdict } => {
                self.send_to_traffic(TrafficInput::PoisonVerdict { key, verdict });
            }
            ControlAction::ReadPoison => self.read_poison(),
            ControlAction::WritePoison { writes } => self.store_poison(writes),
            ControlAction::ReadOrigins => self.read_origins(),
            ControlAction::WriteOrigins { writes } => self.store_origins(writes),
            ControlAction::LendQuota { to, ask } => {
                self.send_to_traffic(TrafficInput::LoanAsked { to, ask });
            }
        }
    }

    fn send_to_traffic(
        &self,
        input: TrafficInput,
    ) {
        let _ = self.traffic.send(input);
    }

    fn renew(
        &self,
        transaction: Transaction,
    ) {
        let (store, events) = (self.store.clone(), self.events.clone());
        spawn_local(async move {
            let sent = Instant::now();
            let commit = commit_outcome(store.commit(&transaction).await);
            let _ = events.send(ControlEvent::Renewed { sent, commit });
        });
    }

    fn read_holders(
        &self,
        term: u64,
    ) {
        let (store, events) = (self.store.clone(), self.events.clone());
        spawn_local(async move {
            let rows = store.read_table(HOLDING_TABLE).await.ok();
            let _ = events.send(ControlEvent::HoldersRead { term, rows });
        });
    }

    fn read_poison(&self) {
        let (store, events) = (self.store.clone(), self.events.clone());
        spawn_local(async move {
            let rows = store.read_table(POISON_TABLE).await;
            if let Err(error) = &rows {
                note!(
                    Event::PoisonStoreFailed,
                    call = "read",
                    problem = quoted(error)
                );
            }
            let rows = rows.ok();
            let _ = events.send(ControlEvent::PoisonRead { rows });
        });
    }

    /// Writes poison rows to the store, retrying on failure. Giving up is safe: hosts keep the records in memory, and the
    /// store only covers the loss of all hosts.
    fn store_poison(
        &self,
        writes: Vec<RowWrite>,
    ) {
        let store = self.store.clone();
        spawn_local(async move {
            for chunk in writes.chunks(MAX_ROWS_PER_TRANSACTION) {
                let transaction = Transaction {
                    expected: Vec::new(),
                    writes: chunk.to_vec(),
                };
                if !commit_with_retries(&store, &transaction).await {
                    note!(Event::PoisonStoreFailed, call = "keep", rows = chunk.len());
                }
            }
        });
    }

    fn read_origins(&self) {
        let (store, events) = (self.store.clone(), self.events.clone());
        spawn_local(async move {
            let rows = store.read_table(ORIGIN_TABLE).await.ok();
            let _ = events.send(ControlEvent::OriginsRead { rows });
        });
    }

    fn store_origins(
        &self,
        writes: Vec<RowWrite>,
    ) {
        let (store, events) = (self.store.clone(), self.events.clone());
        let transaction = Transaction {
            expected: Vec::new(),
            writes,
        };
        spawn_local(async move {
            let commit = commit_outcome(store.commit(&transaction).await);
            let _ = events.send(ControlEvent::OriginsWritten { commit });
        });
    }

    fn check_leases(
        &self,
        transaction: Transaction,
    ) {
        let (store, events) = (self.store.clone(), self.events.clone());
        spawn_local(async move {
            let commit = commit_outcome(store.commit(&transaction).await);
            let _ = events.send(ControlEvent::LeasesChecked { commit });
        });
    }

    fn take(
        &self,
        engines: Vec<TakenEngine>,
        term: u64,
        transaction: Transaction,
    ) {
        let (store, events) = (self.store.clone(), self.events.clone());
        spawn_local(async move {
            let commit = commit_outcome(store.commit(&transaction).await);
            let _ = events.send(ControlEvent::EnginesTaken {
                engines,
                term,
                commit,
            });
        });
    }

    fn order(
        &self,
        target: String,
        address: SocketAddr,
        term: u64,
        order: Order,
    ) {
        let (events, calls, formats) = (
            self.events.clone(),
            self.calls.clone(),
            self.formats.clone(),
        );
        let lease = self.lease.clone();
        spawn_local(async move {
            let headers = call_headers(&formats, &target);
            let call = formats.order_call(&order);
            // The lease is checked as late as possible before sending.
            if !lease.is_valid_in(term, Instant::now() + MIN_REMAINING_LEASE) {
                let _ = events.send(ControlEvent::OrderCancelled { target });
                return;
            }
            let limit = CallLimit::whole(ORDER_TIMEOUT).with_body(MAX_ORDER_REPLY);
            let reply = calls.call(address, &call, &headers, limit).await;
            let reply = reply.ok();
            let reply = reply.and_then(|reply| formats.order_reply(reply.status).ok());
            let labels = OrderLabels {
                order: order.kind.word(),
                reply: reply.map_or("none", OrderReply::word),
            };
            metrics().orders.get_or_create(&labels).inc();
            let _ = events.send(ControlEvent::OrderEnded { target, reply });
        });
    }

    fn request_report(
        &self,
        target: String,
        address: SocketAddr,
    ) {
        let (events, calls, formats) = (
            self.events.clone(),
            self.calls.clone(),
            self.formats.clone(),
        );
        spawn_local(async move {
            let headers = call_headers(&formats, &target);
            let call = formats.report_call();
            let limit = CallLimit::whole(REPORT_TIMEOUT).with_body(MAX_REPORT);
            let reply = calls.call(address, &call, &headers, limit).await;
            let report = reply.ok();
            let report = report.and_then(|reply| formats.report_reply(&reply).ok());
            let _ = events.send(ControlEvent::ReportReceived { target, report });
        });
    }
}

/// Commits a transaction with up to `STORE_MAX_ATTEMPTS` attempts; returns true on success.
async fn commit_with_retries(
    store: &StoreClient,
    transaction: &Transaction,
) -> bool {
    for _ in 0..STORE_MAX_ATTEMPTS {
        if let Ok(Commit::Done { .. }) = store.commit(transaction).await {
            return true;
        }
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
    false
}

/// Returns the outcome of a transaction; `None` if it is unknown whether it was committed.
fn commit_outcome(outcome: Result<Commit, StoreFailure>) -> Option<Commit> {
    match outcome {
        Ok(commit) => Some(commit),
        Err(failure) if failure.left_nothing() => Some(Commit::TurnedAway),
        Err(_) => None,
    }
}

/// Returns the headers of a call to a target: the only one that may answer, and what its reply is told by.
fn call_headers(
    formats: &Arc<dyn Formats>,
    target: &str,
) -> CallHeaders {
    let names = formats.headers();
    CallHeaders::default()
        .with(&names.expect_target, target)
        .with_id(&names.request_id)
}
