use {
    super::{
        PeerLinks, heartbeat_from_wire, heartbeat_to_wire,
        wire::{self, peer_server::Peer},
    },
    crate::{
        process::{
            control::{ControlEvent, ControlHandle, Input, SharedView},
            loads::{LoadRequest, LoadRequestId},
        },
        request::{AnswerPart, OwnerService},
        version::AdapterVersion,
    },
    futures_util::StreamExt,
    std::{pin::Pin, time::Duration},
    tokio::sync::{mpsc, oneshot},
    tokio_stream::wrappers::ReceiverStream,
    tonic::{Request, Response, Status},
};

/// Parts of an answer that wait for a slow link.
const PARTS_AHEAD: usize = 64;

/// What this host answers the others.
pub struct PeerServer {
    control: ControlHandle,
    owner: OwnerService,
    view: SharedView,
    links: PeerLinks,
    probe_timeout: Duration,
}

type Parts = Pin<Box<dyn futures_util::Stream<Item = Result<wire::ForwardReply, Status>> + Send>>;

impl PeerServer {
    pub fn new(
        control: ControlHandle,
        owner: OwnerService,
        view: SharedView,
        links: PeerLinks,
        probe_timeout: Duration,
    ) -> Self {
        Self {
            control,
            owner,
            view,
            links,
            probe_timeout,
        }
    }

    /// Probes another host on the asker's behalf.
    async fn probe_for(
        &self,
        host: &str,
        message: wire::HeartbeatMessage,
    ) -> bool {
        let Some(address) = self.view.load().peer_address(host) else {
            return false;
        };
        let mut link = self.links.to(address);
        let probe = link.heartbeat(message);
        let answered = tokio::time::timeout(self.probe_timeout, probe).await;
        let Ok(Ok(answer)) = answered else {
            return false;
        };
        let (heard, rumors) = heartbeat_from_wire(answer.into_inner());
        // The host's former address may belong to another one by now.
        let is_host = heard.host == host;
        self.control.input(Input::Heartbeat { heard, rumors });
        is_host
    }
}

#[tonic::async_trait]
impl Peer for PeerServer {
    type ForwardStream = Parts;

    async fn forward(
        &self,
        request: Request<wire::ForwardRequest>,
    ) -> Result<Response<Parts>, Status> {
        let (sender, parts) = mpsc::channel(PARTS_AHEAD);
        let owner = self.owner.clone();
        let request = request.into_inner();
        tokio::spawn(async move { owner.run(request, sender).await });
        let parts = ReceiverStream::new(parts).map(|part| Ok(part_to_wire(part)));
        Ok(Response::new(Box::pin(parts)))
    }

    async fn cancel(
        &self,
        request: Request<wire::CancelRequest>,
    ) -> Result<Response<wire::Ack>, Status> {
        let request = request.into_inner();
        self.owner
            .cancel(&request.target, &request.request_id)
            .await;
        Ok(Response::new(wire::Ack {}))
    }

    async fn ping(
        &self,
        _request: Request<wire::Ack>,
    ) -> Result<Response<wire::Ack>, Status> {
        Ok(Response::new(wire::Ack {}))
    }

    async fn heartbeat(
        &self,
        request: Request<wire::HeartbeatMessage>,
    ) -> Result<Response<wire::HeartbeatMessage>, Status> {
        let message = request.into_inner();
        let probe = message.probe.clone();
        let (heard, rumors) = heartbeat_from_wire(message);
        let (reply, own) = oneshot::channel();
        self.control.send(ControlEvent::Heartbeat {
            heard,
            rumors,
            reply,
        });
        let (heartbeat, rumors) = own.await.map_err(stopped)?;
        let mut answer = heartbeat_to_wire(heartbeat, rumors);
        if !probe.is_empty() {
            answer.probe_answered = self.probe_for(&probe, answer.clone()).await;
        }
        Ok(Response::new(answer))
    }

    async fn acquire_load(
        &self,
        request: Request<wire::LoadAsk>,
    ) -> Result<Response<wire::LoadAnswer>, Status> {
        let ask = request.into_inner();
        let model = AdapterVersion::new(&ask.adapter, &ask.version)
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let ask = LoadRequest {
            host: ask.host,
            target: ask.target,
            model,
            score: ask.score,
        };
        let (reply, answer) = oneshot::channel();
        self.control.send(ControlEvent::AskLoad { ask, reply });
        let grant = answer.await.map_err(stopped)?;
        Ok(Response::new(wire::LoadAnswer {
            granted: grant.is_some(),
            grant: grant.map_or(0, |ask| ask.0),
            queue_ahead: 0,
        }))
    }

    async fn release_load(
        &self,
        request: Request<wire::LoadRelease>,
    ) -> Result<Response<wire::Ack>, Status> {
        let ask = LoadRequestId(request.into_inner().grant);
        self.control.input(Input::LoadReleased { ask });
        Ok(Response::new(wire::Ack {}))
    }

    async fn handover(
        &self,
        _request: Request<wire::HandoverNotice>,
    ) -> Result<Response<wire::Ack>, Status> {
        self.control.input(Input::HandoverNoticed);
        Ok(Response::new(wire::Ack {}))
    }

    async fn outcome(
        &self,
        request: Request<wire::OutcomeQuery>,
    ) -> Result<Response<wire::OutcomeReply>, Status> {
        let query = request.into_inner();
        let found = self.owner.outcome(&query.service, &query.key).await;
        Ok(Response::new(found))
    }

    async fn snapshot(
        &self,
        request: Request<wire::SnapshotQuery>,
    ) -> Result<Response<wire::SnapshotReply>, Status> {
        let known = request.into_inner().known_revision;
        let (reply, snapshot) = oneshot::channel();
        self.control.send(ControlEvent::Snapshot { known, reply });
        Ok(Response::new(snapshot.await.map_err(stopped)?))
    }

    async fn status(
        &self,
        _request: Request<wire::StatusQuery>,
    ) -> Result<Response<wire::StatusReply>, Status> {
        let (reply, status) = oneshot::channel();
        self.control.send(ControlEvent::Status { reply });
        Ok(Response::new(status.await.map_err(stopped)?))
    }
}

fn stopped<E>(_: E) -> Status {
    Status::unavailable("the host stops")
}

fn part_to_wire(part: AnswerPart) -> wire::ForwardReply {
    use wire::forward_reply::Part;
    let part = match part {
        AnswerPart::Head(head) => Part::Head(wire::Head {
            status: u32::from(head.status.as_u16()),
            headers: crate::request::headers_to_wire(&head.headers),
            load_wait_ms: head.load_wait.as_millis() as u64,
            target: head.target,
            replayed: head.replayed,
        }),
        AnswerPart::Events { index, count, data } => Part::Chunk(wire::Chunk {
            index,
            events: count,
            data,
        }),
        AnswerPart::End => Part::End(wire::End {}),
        AnswerPart::Refused(refusal) => Part::Refusal(refusal.into()),
    };
    wire::ForwardReply { part: Some(part) }
}
