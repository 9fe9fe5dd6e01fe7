use {
    super::{AnswerHead, AnswerPart, OwnerService, Refusal, RefusalCode, headers_from_wire},
    crate::{
        connection::peer::{
            PeerLinks,
            wire::{self, forward_reply::Part},
        },
        process::control::{SharedView, View},
    },
    http::StatusCode,
    std::{error::Error, time::Duration},
    tokio::sync::mpsc,
};

/// Parts of an answer that wait for a slow caller.
const PARTS_AHEAD: usize = 64;

/// An owner that has been silent for so long is looked up among the dead.
const QUIET: Duration = Duration::from_millis(100);

/// A link that does not answer a ping in this time is not used.
const PING_LIMIT: Duration = Duration::from_millis(300);

/// Brings requests to the owner of their target: this process itself, or another host.
#[derive(Clone)]
pub struct Forwarder {
    owner: OwnerService,
    links: PeerLinks,
    view: SharedView,
}

/// An owner that may be lost without its link showing it, as when it is paused.
pub struct Watched {
    view: SharedView,
    host: String,
}

impl Watched {
    /// Waits for an answer; none when the owner is believed dead meanwhile.
    async fn unless_gone<T>(
        &self,
        answer: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::pin!(answer);
        loop {
            // Tokens come faster than this, so that a stream that flows is never looked at.
            match tokio::time::timeout(QUIET, answer.as_mut()).await {
                Ok(answer) => return Some(answer),
                Err(_) if self.view.load().is_gone(&self.host) => return None,
                Err(_) => {}
            }
        }
    }
}

/// The parts of one forwarded request's answer.
pub enum Parts {
    Local(mpsc::Receiver<AnswerPart>),
    Remote {
        replies: Box<tonic::Streaming<wire::ForwardReply>>,
        owner: Watched,
    },
    /// The owner was not reached.
    Lost(Refusal),
}

impl Forwarder {
    pub fn new(
        owner: OwnerService,
        links: PeerLinks,
        view: SharedView,
    ) -> Self {
        Self { owner, links, view }
    }

    /// Starts a request at `host`; with `ping`, only over a link that has just answered.
    ///
    /// A link that breaks under a request leaves open whether the request arrived; one that is
    /// found broken before says that it was not sent.
    pub async fn forward(
        &self,
        view: &View,
        host: &str,
        request: wire::ForwardRequest,
        ping: bool,
    ) -> Parts {
        if host == view.me {
            let (sender, parts) = mpsc::channel(PARTS_AHEAD);
            let owner = self.owner.clone();
            tokio::spawn(async move { owner.run(request, sender).await });
            return Parts::Local(parts);
        }
        let unreached = || Parts::Lost(Refusal::elsewhere(RefusalCode::OwnerUnreachable));
        let Some(address) = view.peer_address(host) else {
            return unreached();
        };
        let mut link = self.links.to(address);
        if ping {
            let answered = tokio::time::timeout(PING_LIMIT, link.ping(wire::Ack {})).await;
            if !matches!(answered, Ok(Ok(_))) {
                return unreached();
            }
        }
        let owner = Watched {
            view: self.view.clone(),
            host: host.to_string(),
        };
        match owner.unless_gone(link.forward(request)).await {
            Some(Ok(reply)) => Parts::Remote {
                replies: Box::new(reply.into_inner()),
                owner,
            },
            Some(Err(status)) => Parts::Lost(link_lost(&status)),
            None => Parts::Lost(broken()),
        }
    }

    /// Runs a request at its target from here, while no host can own the target.
    pub fn run_unowned(
        &self,
        request: wire::ForwardRequest,
        fence: u64,
    ) -> Parts {
        let (sender, parts) = mpsc::channel(PARTS_AHEAD);
        let owner = self.owner.clone();
        tokio::spawn(async move { owner.run_unowned(request, fence, sender).await });
        Parts::Local(parts)
    }

    /// Stops a request's work: its caller has gone.
    pub async fn cancel(
        &self,
        view: &View,
        host: &str,
        target: &str,
        request_id: &str,
    ) {
        let remote = (host != view.me).then(|| view.peer_address(host)).flatten();
        let Some(address) = remote else {
            return self.owner.cancel(target, request_id).await;
        };
        let request = wire::CancelRequest {
            target: target.to_string(),
            request_id: request_id.to_string(),
        };
        // Without a reader the engine stops the work itself, only later.
        let _ = self.links.to(address).cancel(request).await;
    }

    /// Asks the owner of a target what became of a key.
    pub async fn outcome(
        &self,
        view: &View,
        host: &str,
        query: wire::OutcomeQuery,
    ) -> wire::OutcomeReply {
        let remote = (host != view.me).then(|| view.peer_address(host)).flatten();
        let here = self.owner.outcome(&query.service, &query.key);
        let Some(address) = remote else {
            return here.await;
        };
        match self.links.to(address).outcome(query.clone()).await {
            Ok(reply) => reply.into_inner(),
            Err(_) => here.await,
        }
    }
}

impl Parts {
    /// The next part; a lost link counts as a refusal.
    pub async fn next(&mut self) -> AnswerPart {
        match self {
            Self::Lost(refusal) => AnswerPart::Refused(refusal.clone()),
            Self::Local(parts) => match parts.recv().await {
                Some(part) => part,
                None => AnswerPart::Refused(broken()),
            },
            Self::Remote { replies, owner } => match owner.unless_gone(replies.message()).await {
                Some(Ok(Some(reply))) => part_from_wire(reply),
                Some(Err(status)) => AnswerPart::Refused(link_lost(&status)),
                Some(Ok(None)) | None => AnswerPart::Refused(broken()),
            },
        }
    }
}

/// The link broke while the request was under way.
fn broken() -> Refusal {
    Refusal {
        code: RefusalCode::OwnerUnreachable,
        may_have_run: true,
        try_elsewhere: true,
        retry_after: Duration::ZERO,
    }
}

/// Only a connection that was never made proves that nothing was sent.
fn link_lost(status: &tonic::Status) -> Refusal {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return Refusal::elsewhere(RefusalCode::OwnerUnreachable);
        }
        source = error.source();
    }
    broken()
}

fn part_from_wire(reply: wire::ForwardReply) -> AnswerPart {
    match reply.part {
        Some(Part::Head(head)) => AnswerPart::Head(AnswerHead {
            status: StatusCode::from_u16(head.status as u16).unwrap_or(StatusCode::BAD_GATEWAY),
            headers: headers_from_wire(&head.headers),
            target: head.target,
            load_wait: Duration::from_millis(head.load_wait_ms),
            replayed: head.replayed,
        }),
        Some(Part::Chunk(chunk)) => AnswerPart::Events {
            index: chunk.index,
            count: chunk.events,
            data: chunk.data,
        },
        Some(Part::End(_)) => AnswerPart::End,
        Some(Part::Refusal(refusal)) => AnswerPart::Refused(refusal.into()),
        None => AnswerPart::Refused(broken()),
    }
}
