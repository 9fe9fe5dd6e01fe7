//! Carries the control thread's actions out, and brings back how they ended.

use {
    super::{
        ControlAction, ControlEvent, HostControl,
        call_pool::CallPool,
        control_tables::quoted,
        poison_rows::POISON_TABLE,
        table_reader::{STORE_CALL_LIMIT, TableReader},
        traffic::TrafficInput,
        wake_monitor::{WakeMonitor, record_wake},
    },
    crate::{
        clock::{Instant, sleep_until},
        connection::{
            datagram::DatagramSocket,
            http1::CallLimit,
            store::{StoreClient, StoreFailure},
            targets::ControlRequest,
        },
        formats::{Commit, Formats, Order, OrderReply, RowWrite, Transaction},
        metrics::{OrderLabels, metrics},
        note,
        process::{
            holding::{HOLDING_TABLE, TakenEngine},
            ownership::SessionLease,
            settings::NodeSettings,
        },
        timeline::Event,
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::task::spawn_local,
};

/// Longest time for an engine's answer to an order; engines answer within some milliseconds.
const ORDER_LIMIT: Duration = Duration::from_millis(120);

/// Longest time for an engine's report.
const REPORT_LIMIT: Duration = Duration::from_millis(400);

/// Rows that the store takes in one transaction.
const MAX_WRITES: usize = 100;

/// Tries to keep rows, and the pause between them: an outage of the store lasts seconds to a minute.
const KEEP_TRIES: u32 = 30;
const KEEP_PAUSE: Duration = Duration::from_secs(2);

/// An order is not sent so shortly before the lease ends.
const LEASE_MARGIN: Duration = Duration::from_millis(200);

/// Runs the control thread's decisions against the world.
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
    calls: Rc<CallPool>,
    copies: TableReader,
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
        let store = StoreClient::new(settings.store, formats.clone(), STORE_CALL_LIMIT);
        let store = Rc::new(store);
        let calls = Rc::<CallPool>::default();
        Self {
            copies: TableReader {
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

    /// Where events go that come from elsewhere.
    pub fn events(&self) -> flume::Sender<ControlEvent> {
        self.events.clone()
    }

    /// Runs until the process ends.
    pub async fn run(self) {
        let mut watch = WakeMonitor::new(Instant::now());
        loop {
            let looked = Instant::now();
            let wake = self.control.borrow().next_wake(looked);
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
                    if wake > looked {
                        // What had arrived by then would have come first.
                        self.socket.note_drained(looked);
                    }
                    ControlEvent::Tick
                }
            };
            let (kind, begun) = (event.kind(), Instant::now());
            let actions = self.control.borrow_mut().on(event, begun);
            for action in actions {
                self.carry_out(action);
            }
            record_wake(&mut watch, kind, begun);
        }
    }

    fn carry_out(
        &self,
        action: ControlAction,
    ) {
        match action {
            ControlAction::Send { to, message } => self.socket.send(to, message),
            ControlAction::ReadChanges { table, since } => self.copies.read_changes(table, since),
            ControlAction::ReadTable { table } => self.copies.read_table(table),
            ControlAction::PullChanges { table, from, since } => {
                self.copies.pull(table, from, since);
            }
            ControlAction::PullHosts { from } => self.copies.pull_hosts(from),
            ControlAction::Renew { transaction } => self.renew(transaction),
            ControlAction::ReadHolders { term } => self.read_holders(term),
            ControlAction::Take {
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
            ControlAction::AskReport { target, address } => self.ask_report(target, address),
            ControlAction::Publish(view) => self.tell_traffic(TrafficInput::View(view)),
            ControlAction::Confirm(confirmation) => {
                self.tell_traffic(TrafficInput::Freshness(confirmation));
            }
            ControlAction::Place(placement) => {
                self.tell_traffic(TrafficInput::Placement(placement));
            }
            ControlAction::Load(load) => self.tell_traffic(TrafficInput::Load(load)),
            ControlAction::Stand(standing) => {
                self.tell_traffic(TrafficInput::EngineStatus(standing));
            }
            ControlAction::PlaceGiven(given) => self.tell_traffic(TrafficInput::SlotAnswer(given)),
            ControlAction::Permit(answer) => self.tell_traffic(TrafficInput::Permit(answer)),
            ControlAction::TargetNews { target, notices } => {
                self.tell_traffic(TrafficInput::TargetNotices { target, notices });
            }
            ControlAction::Charged(answer) => self.tell_traffic(TrafficInput::QuotaAnswer(answer)),
            ControlAction::Borrow(loan) => self.tell_traffic(TrafficInput::BorrowedBudget(loan)),
            ControlAction::Stands {
                fingerprint,
                standing,
            } => self.tell_traffic(TrafficInput::PoisonStatus {
                fingerprint,
                status: standing,
            }),
            ControlAction::ReadPoison => self.read_poison(),
            ControlAction::KeepPoison { writes } => self.keep_poison(writes),
            ControlAction::Lend { to, ask } => {
                self.tell_traffic(TrafficInput::BorrowRequest { to, request: ask });
            }
        }
    }

    fn tell_traffic(
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
            let commit = committed(store.commit(&transaction).await);
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
            if let Err(problem) = &rows {
                note!(
                    Event::PoisonStoreFailed,
                    call = "read",
                    problem = quoted(problem)
                );
            }
            let rows = rows.ok();
            let _ = events.send(ControlEvent::PoisonRead { rows });
        });
    }

    /// Writes rows, again and again until the store takes them or they are no longer worth it: hosts know without the store,
    /// which only stands for a loss of all of them.
    fn keep_poison(
        &self,
        writes: Vec<RowWrite>,
    ) {
        let store = self.store.clone();
        spawn_local(async move {
            for group in writes.chunks(MAX_WRITES) {
                let transaction = Transaction {
                    expected: Vec::new(),
                    writes: group.to_vec(),
                };
                if !keep_group(&store, &transaction).await {
                    note!(Event::PoisonStoreFailed, call = "keep", rows = group.len());
                }
            }
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
            let commit = committed(store.commit(&transaction).await);
            let _ = events.send(ControlEvent::Taken {
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
            let expect = expect_line(&formats, &target);
            let call = formats.order_call(&order);
            // The last moment before the order leaves.
            if !lease.holds_in(term, Instant::now() + LEASE_MARGIN) {
                let _ = events.send(ControlEvent::OrderWithheld { target });
                return;
            }
            let limit = CallLimit::whole(ORDER_LIMIT);
            let reply = calls.call(address, &call, &expect, limit).await;
            let reply = reply.ok();
            let reply = reply.and_then(|reply| formats.order_reply(reply.status).ok());
            let labels = OrderLabels {
                order: order.kind.label(),
                reply: reply.map_or("none", OrderReply::label),
            };
            metrics().orders.get_or_create(&labels).inc();
            let _ = events.send(ControlEvent::OrderEnded { target, reply });
        });
    }

    fn ask_report(
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
            let expect = expect_line(&formats, &target);
            let call = formats.report_call();
            let limit = CallLimit::whole(REPORT_LIMIT);
            let reply = calls.call(address, &call, &expect, limit).await;
            let report = reply.ok();
            let report = report.and_then(|reply| formats.report_reply(&reply).ok());
            let _ = events.send(ControlEvent::Reported { target, report });
        });
    }
}

/// Commits rows, however often the store fails; false if it failed too often.
async fn keep_group(
    store: &StoreClient,
    transaction: &Transaction,
) -> bool {
    for _ in 0..KEEP_TRIES {
        if let Ok(Commit::Done { .. }) = store.commit(transaction).await {
            return true;
        }
        tokio::time::sleep(KEEP_PAUSE).await;
    }
    false
}

/// How a transaction ended; `None` if that is not known.
fn committed(outcome: Result<Commit, StoreFailure>) -> Option<Commit> {
    match outcome {
        Ok(commit) => Some(commit),
        Err(failure) if failure.left_nothing() => Some(Commit::Rejected),
        Err(_) => None,
    }
}

/// The header line that lets only one target answer.
fn expect_line(
    formats: &Arc<dyn Formats>,
    target: &str,
) -> String {
    format!("{}: {target}\r\n", formats.headers().expect_target)
}
