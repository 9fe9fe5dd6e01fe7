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

/// Parts of an answer that are buffered for a slow caller.
const PART_BUFFER: usize = 64;

/// Interval without parts after which the liveness of the owner is checked.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time allowed for a ping before a link is used.
const PING_TIMEOUT: Duration = Duration::from_millis(300);

/// Forwards requests to the owner of their target, which is this process or another host.
#[derive(Clone)]
pub struct Forwarder {
    owner: OwnerService,
    links: PeerLinks,
    view: SharedView,
}

/// An owner whose liveness is checked while waiting for its answer, as a paused host keeps its links open.
pub struct WatchedOwner {
    view: SharedView,
    host: String,
}

impl WatchedOwner {
    /// Waits for an answer. Returns `None` if the owner is considered dead in the meantime.
    async fn while_alive<T>(
        &self,
        answer: impl Future<Output = T>,
    ) -> Option<T> {
        tokio::pin!(answer);
        loop {
            // Tokens arrive more often than this, so no check is made for an active stream.
            match tokio::time::timeout(LIVENESS_CHECK_INTERVAL, answer.as_mut()).await {
                Ok(answer) => return Some(answer),
                Err(_) if self.view.load().is_gone(&self.host) => return None,
                Err(_) => {}
            }
        }
    }
}

/// The parts of one forwarded request's answer.
pub enum AnswerParts {
    Local(mpsc::Receiver<AnswerPart>),
    Remote {
        replies: Box<tonic::Streaming<wire::ForwardReply>>,
        owner: WatchedOwner,
    },
    /// The call to the owner failed.
    Failed(Refusal),
}

impl Forwarder {
    pub fn new(
        owner: OwnerService,
        links: PeerLinks,
        view: SharedView,
    ) -> Self {
        Self { owner, links, view }
    }

    /// Starts a request at `host`. With `ping`, the link is checked first.
    ///
    /// If the link breaks during the request, whether the request arrived is unknown; if the check fails, the request
    /// was not sent.
    pub async fn forward(
        &self,
        view: &View,
        host: &str,
        request: wire::ForwardRequest,
        ping: bool,
    ) -> AnswerParts {
        if host == view.me {
            let (sender, parts) = mpsc::channel(PART_BUFFER);
            let owner = self.owner.clone();
            tokio::spawn(async move { owner.run(request, sender).await });
            return AnswerParts::Local(parts);
        }
        let unreachable = || AnswerParts::Failed(Refusal::elsewhere(RefusalCode::OwnerUnreachable));
        let Some(address) = view.peer_address(host) else {
            return unreachable();
        };
        let mut link = self.links.to(address);
        if ping {
            let answered = tokio::time::timeout(PING_TIMEOUT, link.ping(wire::Ack {})).await;
            if !matches!(answered, Ok(Ok(_))) {
                return unreachable();
            }
        }
        let owner = WatchedOwner {
            view: self.view.clone(),
            host: host.to_string(),
        };
        match owner.while_alive(link.forward(request)).await {
            Some(Ok(reply)) => AnswerParts::Remote {
                replies: Box::new(reply.into_inner()),
                owner,
            },
            Some(Err(status)) => AnswerParts::Failed(call_failed(&status)),
            None => AnswerParts::Failed(link_broken()),
        }
    }

    /// Runs a request at its target from this host, while no host can own the target.
    pub fn run_unowned(
        &self,
        request: wire::ForwardRequest,
        fence: u64,
    ) -> AnswerParts {
        let (sender, parts) = mpsc::channel(PART_BUFFER);
        let owner = self.owner.clone();
        tokio::spawn(async move { owner.run_unowned(request, fence, sender).await });
        AnswerParts::Local(parts)
    }

    /// Cancels a request whose caller has disconnected.
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
        // If this fails, the engine stops later by itself, as nobody reads the answer.
        let _ = self.links.to(address).cancel(request).await;
    }

    /// Queries the outcome of an idempotency key from `host`, or from this host if that one cannot be reached.
    pub async fn outcome(
        &self,
        view: &View,
        host: &str,
        query: wire::OutcomeQuery,
    ) -> wire::OutcomeReply {
        let remote = (host != view.me).then(|| view.peer_address(host)).flatten();
        let local_outcome = self.owner.outcome(&query.service, &query.key);
        let Some(address) = remote else {
            return local_outcome.await;
        };
        match self.links.to(address).outcome(query.clone()).await {
            Ok(reply) => reply.into_inner(),
            Err(_) => local_outcome.await,
        }
    }
}

impl AnswerParts {
    /// Returns the next part; a broken link yields a refusal.
    pub async fn next(&mut self) -> AnswerPart {
        match self {
            Self::Failed(refusal) => AnswerPart::Refused(refusal.clone()),
            Self::Local(parts) => match parts.recv().await {
                Some(part) => part,
                None => AnswerPart::Refused(link_broken()),
            },
            Self::Remote { replies, owner } => match owner.while_alive(replies.message()).await {
                Some(Ok(Some(reply))) => part_from_wire(reply),
                Some(Err(status)) => AnswerPart::Refused(call_failed(&status)),
                Some(Ok(None)) | None => AnswerPart::Refused(link_broken()),
            },
        }
    }
}

/// Returns the refusal for a link that broke during a request.
fn link_broken() -> Refusal {
    Refusal {
        code: RefusalCode::OwnerUnreachable,
        may_have_run: true,
        try_elsewhere: true,
        retry_after: Duration::ZERO,
    }
}

/// Returns the refusal for a failed call; only a failed connection attempt proves that nothing was sent.
fn call_failed(status: &tonic::Status) -> Refusal {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return Refusal::elsewhere(RefusalCode::OwnerUnreachable);
        }
        source = error.source();
    }
    link_broken()
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
        None => AnswerPart::Refused(link_broken()),
    }
}
