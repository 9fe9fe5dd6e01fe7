//! Carries the control thread's actions out, and brings back how they ended.

use {
    super::{
        ControlAction, ControlEvent, HostControl, TableName,
        copy_transfer::{CopySource, CopyTransfer},
        peer_pages::{copy_call, hosts_call, parse_hosts},
        traffic::TrafficInput,
        wake_watch::{WakeWatch, tell_wake},
    },
    crate::{
        connection::{
            datagram::DatagramSocket,
            http1::{CallClient, CallFailure, CallLimit},
            pull::CopyPage,
            store::{StoreClient, StoreFailure},
        },
        formats::{
            Formats, HttpCall, HttpReply, Order, OrderReply, RowBatch, RowsReply, Transaction,
        },
        metrics::{OrderLabels, metrics},
        process::{
            holding::HOLDING_TABLE, ownership::SessionLease, settings::NodeSettings,
            tables::TableChanges,
        },
    },
    std::{
        cell::RefCell,
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::task::spawn_local,
};

/// Longest time for a whole table: 4 MB, the most that operators may declare, take 4.5 s on a link of
/// 10 Mbit/s in the store's text form.
///
/// A shorter limit on the whole would cut each transfer that does not fit into it, and each try would
/// begin anew: such a table never arrives, and its link is full of bytes that nobody uses.
const TRANSFER_LIMIT: Duration = Duration::from_secs(10);

/// Calls to the store, which answers within some milliseconds unless it is slow or out.
const STORE_LIMIT: CallLimit = CallLimit {
    whole: TRANSFER_LIMIT,
    silence: Duration::from_millis(900),
};

/// Longest time for an engine's answer to an order; engines answer within some milliseconds.
const ORDER_LIMIT: Duration = Duration::from_millis(120);

/// Longest time for an engine's report.
const REPORT_LIMIT: Duration = Duration::from_millis(400);

/// Calls to other hosts, which answer within some milliseconds.
const PULL_LIMIT: CallLimit = CallLimit {
    whole: TRANSFER_LIMIT,
    silence: Duration::from_millis(500),
};

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
    requests: flume::Receiver<crate::connection::targets::ControlRequest>,
    traffic: flume::Sender<TrafficInput>,
    /// Connections to engines and other hosts that rest.
    clients: Rc<RefCell<HashMap<SocketAddr, CallClient>>>,
}

impl ControlRunner {
    pub fn new(
        control: Rc<RefCell<HostControl>>,
        formats: Arc<dyn Formats>,
        settings: &NodeSettings,
        socket: DatagramSocket,
        requests: flume::Receiver<crate::connection::targets::ControlRequest>,
        traffic: flume::Sender<TrafficInput>,
    ) -> Self {
        let (events, inbox) = flume::unbounded();
        let lease = control.borrow().lease();
        Self {
            store: Rc::new(StoreClient::new(
                settings.store,
                formats.clone(),
                STORE_LIMIT,
            )),
            control,
            formats,
            socket: Rc::new(socket),
            lease,
            events,
            inbox,
            requests,
            traffic,
            clients: Rc::default(),
        }
    }

    /// Where events go that come from elsewhere.
    pub fn events(&self) -> flume::Sender<ControlEvent> {
        self.events.clone()
    }

    /// Runs until the process ends.
    pub async fn run(self) {
        let mut watch = WakeWatch::new(Instant::now());
        loop {
            let wake = self.control.borrow().next_wake(Instant::now());
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
                (from, message) = self.socket.receive() => ControlEvent::Message { from, message },
                _ = tokio::time::sleep_until(wake.into()) => ControlEvent::Tick,
            };
            let (kind, begun) = (event.kind(), Instant::now());
            let actions = self.control.borrow_mut().on(event, begun);
            for action in actions {
                self.carry_out(action);
            }
            tell_wake(&mut watch, kind, begun);
        }
    }

    fn carry_out(
        &self,
        action: ControlAction,
    ) {
        match action {
            ControlAction::Send { to, message } => self.socket.send(to, message),
            ControlAction::ReadChanges { table, since } => self.read_changes(table, since),
            ControlAction::ReadTable { table } => self.read_table(table),
            ControlAction::PullChanges { table, from, since } => self.pull(table, from, since),
            ControlAction::PullHosts { from } => self.pull_hosts(from),
            ControlAction::Renew { transaction } => self.renew(transaction),
            ControlAction::ReadHolders { term } => self.read_holders(term),
            ControlAction::Take {
                target,
                fence,
                term,
                transaction,
            } => self.take(target, fence, term, transaction),
            ControlAction::Order {
                target,
                address,
                term,
                order,
            } => self.order(target, address, term, order),
            ControlAction::AskReport { target, address } => self.ask_report(target, address),
            ControlAction::Publish(view) => self.tell_traffic(TrafficInput::View(view)),
            ControlAction::Place(placement) => {
                self.tell_traffic(TrafficInput::Placement(placement));
            }
            ControlAction::Load(load) => self.tell_traffic(TrafficInput::Load(load)),
            ControlAction::Stand(standing) => {
                self.tell_traffic(TrafficInput::Standing(standing));
            }
        }
    }

    fn tell_traffic(
        &self,
        input: TrafficInput,
    ) {
        let _ = self.traffic.send(input);
    }

    fn table(
        &self,
        table: TableName,
    ) -> String {
        match table {
            TableName::Declared => self.formats.declared_table().to_string(),
            TableName::Targets => self.formats.target_table().to_string(),
        }
    }

    fn read_changes(
        &self,
        table: TableName,
        since: u64,
    ) {
        let (store, events, name) = (self.store.clone(), self.events.clone(), self.table(table));
        spawn_local(async move {
            let transfer = CopyTransfer::begin(table, CopySource::Store, since);
            let reply = store.read_changes(&name, since, Duration::ZERO).await;
            tell_store_read(&transfer, reply.as_ref().map(RowsReply::bytes));
            let _ = events.send(ControlEvent::ChangesRead {
                table,
                asked: transfer.begun(),
                reply: reply.ok(),
            });
        });
    }

    fn read_table(
        &self,
        table: TableName,
    ) {
        let (store, events, name) = (self.store.clone(), self.events.clone(), self.table(table));
        spawn_local(async move {
            let transfer = CopyTransfer::begin(table, CopySource::Store, 0);
            let rows = store.read_table(&name).await;
            tell_store_read(&transfer, rows.as_ref().map(RowBatch::bytes));
            let _ = events.send(ControlEvent::TableRead {
                table,
                asked: transfer.begun(),
                rows: rows.ok(),
            });
        });
    }

    fn pull(
        &self,
        table: TableName,
        from: SocketAddr,
        since: u64,
    ) {
        let events = self.events.clone();
        let clients = self.clients.clone();
        spawn_local(async move {
            let call = copy_call(table, since);
            let transfer = CopyTransfer::begin(table, CopySource::Host(from), since);
            let reply = call_once(&clients, from, &call, "", PULL_LIMIT).await;
            let changes = understand_pull(&transfer, reply);
            let _ = events.send(ControlEvent::ChangesPulled {
                table,
                from,
                changes,
            });
        });
    }

    fn pull_hosts(
        &self,
        from: SocketAddr,
    ) {
        let events = self.events.clone();
        let clients = self.clients.clone();
        spawn_local(async move {
            let reply = call_once(&clients, from, &hosts_call(), "", PULL_LIMIT).await;
            let hosts = reply
                .ok()
                .filter(|reply| reply.status == 200)
                .and_then(|reply| parse_hosts(&reply.body));
            let _ = events.send(ControlEvent::HostsPulled { from, hosts });
        });
    }

    fn renew(
        &self,
        transaction: Transaction,
    ) {
        let (store, events) = (self.store.clone(), self.events.clone());
        spawn_local(async move {
            let sent = Instant::now();
            let commit = store.commit(&transaction).await.ok();
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

    fn take(
        &self,
        target: String,
        fence: u64,
        term: u64,
        transaction: Transaction,
    ) {
        let (store, events) = (self.store.clone(), self.events.clone());
        spawn_local(async move {
            let commit = store.commit(&transaction).await.ok();
            let _ = events.send(ControlEvent::Taken {
                target,
                fence,
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
        let (events, clients, formats) = (
            self.events.clone(),
            self.clients.clone(),
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
            let reply = call_once(&clients, address, &call, &expect, limit).await;
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

    fn ask_report(
        &self,
        target: String,
        address: SocketAddr,
    ) {
        let (events, clients, formats) = (
            self.events.clone(),
            self.clients.clone(),
            self.formats.clone(),
        );
        spawn_local(async move {
            let expect = expect_line(&formats, &target);
            let call = formats.report_call();
            let limit = CallLimit::whole(REPORT_LIMIT);
            let reply = call_once(&clients, address, &call, &expect, limit).await;
            let report = reply.ok();
            let report = report.and_then(|reply| formats.report_reply(&reply).ok());
            let _ = events.send(ControlEvent::Reported { target, report });
        });
    }
}

/// The header line that lets only one target answer.
fn expect_line(
    formats: &Arc<dyn Formats>,
    target: &str,
) -> String {
    format!("{}: {target}\r\n", formats.headers().expect_target)
}

/// Makes a call over a connection that rests, or a new one.
async fn call_once(
    clients: &Rc<RefCell<HashMap<SocketAddr, CallClient>>>,
    address: SocketAddr,
    call: &HttpCall,
    headers: &str,
    limit: CallLimit,
) -> Result<HttpReply, CallFailure> {
    let idle = clients.borrow_mut().remove(&address);
    let mut client = idle.unwrap_or_else(|| CallClient::new(address));
    let reply = client.call(call, headers, limit).await;
    clients.borrow_mut().insert(address, client);
    reply
}

/// Tells how a read of a table from the store ended.
fn tell_store_read(
    transfer: &CopyTransfer,
    bytes: Result<usize, &StoreFailure>,
) {
    match bytes {
        Ok(bytes) => transfer.note_taken(bytes),
        Err(failure) => transfer.note_failed(failure.received(), failure),
    }
}

/// Understands another host's copy, with the time at which it was right, and tells how its transfer ended.
fn understand_pull(
    transfer: &CopyTransfer,
    reply: Result<HttpReply, CallFailure>,
) -> Option<(TableChanges, Instant)> {
    let reply = match reply {
        Ok(reply) => reply,
        Err(failure) => {
            transfer.note_failed(failure.received, &failure);
            return None;
        }
    };
    let bytes = reply.body.len();
    match reply.status {
        200 => {}
        503 => {
            transfer.note_deferred();
            return None;
        }
        status => {
            transfer.note_failed(bytes, &format!("status {status}"));
            return None;
        }
    }
    let (body, age) = match CopyPage::read(&reply.body) {
        Ok(page) => page,
        Err(problem) => {
            transfer.note_failed(bytes, &problem);
            return None;
        }
    };
    transfer.note_taken(bytes);
    let as_of = Instant::now().checked_sub(age)?;
    Some((body.into(), as_of))
}
