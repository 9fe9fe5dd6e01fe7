use {
    super::Input,
    crate::{
        process::{
            loads::{LoadRequest, LoadRequestId},
            membership::{Heartbeat, Rumor},
            target::{Admission, Ticket, TicketId},
        },
        request::RunPermit,
        version::AdapterVersion,
    },
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::oneshot,
};

/// A load permission and the host that gave it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadGrant {
    pub host: String,
    pub ask: LoadRequestId,
}

/// What this host sends with a heartbeat.
pub type OwnHeartbeat = (Heartbeat, Vec<Rumor>);

/// What other threads send to the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    Input(Input),
    Admit {
        target: String,
        ticket: Ticket,
        reply: oneshot::Sender<Admission>,
    },
    /// An ask to this process's load queue.
    AskLoad {
        ask: LoadRequest,
        reply: oneshot::Sender<Option<LoadRequestId>>,
    },
    /// The answer to an ask of this process.
    LoadAnswer {
        target: String,
        model: AdapterVersion,
        grant: Option<LoadGrant>,
    },
    /// A heartbeat came in; this host's own goes back.
    Heartbeat {
        heard: Heartbeat,
        rumors: Vec<Rumor>,
        reply: oneshot::Sender<OwnHeartbeat>,
    },
    Status {
        reply: oneshot::Sender<crate::connection::peer::wire::StatusReply>,
    },
    /// What another host lacks that knows the configuration up to this revision.
    Snapshot {
        known: u64,
        reply: oneshot::Sender<crate::connection::peer::wire::SnapshotReply>,
    },
    /// End the control thread.
    Stop,
}

/// The way to the control thread, for every other thread.
#[derive(Clone)]
pub struct ControlHandle {
    events: flume::Sender<ControlEvent>,
    tickets: Arc<AtomicU64>,
}

impl ControlHandle {
    pub fn new(events: flume::Sender<ControlEvent>) -> Self {
        Self {
            events,
            tickets: Arc::new(AtomicU64::new(1)),
        }
    }

    /// A number that no other request of this process has.
    pub fn next_ticket(&self) -> TicketId {
        TicketId(self.tickets.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends an event; after the control thread's end it is dropped.
    pub fn send(
        &self,
        event: ControlEvent,
    ) {
        let _ = self.events.send(event);
    }

    /// Sends an input to the control state.
    pub fn input(
        &self,
        input: Input,
    ) {
        self.send(ControlEvent::Input(input));
    }

    /// Asks for leave to run; the permit gives the place back when it is dropped.
    pub fn admit(
        &self,
        target: &str,
        ticket: Ticket,
    ) -> (RunPermit, oneshot::Receiver<Admission>) {
        let (reply, verdict) = oneshot::channel();
        let permit = RunPermit::new(self.clone(), target, ticket.id);
        self.send(ControlEvent::Admit {
            target: target.to_string(),
            ticket,
            reply,
        });
        (permit, verdict)
    }
}
