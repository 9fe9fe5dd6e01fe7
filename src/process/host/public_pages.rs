//! HTTP pages of a host: entry addresses for callers, readiness, metrics, operators' commands and pages
//! for other hosts.

use {
    super::{
        HostControl, peer_answer::PeerAnswer, peer_pages::answer_peer_request,
        replica_server::ReplicaServer,
    },
    crate::{
        clock::Instant,
        connection::{front::AnswerBody, targets::ControlRequest},
        formats::{Formats, PublicCall},
        metrics::metrics,
        request::poison::{Fingerprint, PoisonReport},
    },
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{cell::RefCell, convert::Infallible, rc::Rc, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::spawn_local},
};

/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

const METRICS_PATH: &str = "/metrics";

/// Path, before a fingerprint, on which operators clear the poison status of a request.
const CLEAR_POISON_PREFIX: &str = "/pardon/";

const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Lifetime given to callers for entry addresses, as a share of the longest allowed one.
const ENTRY_TTL_SHARE: f64 = 0.6;

/// Serves the HTTP pages of one host.
pub struct PublicPages {
    control: Rc<RefCell<HostControl>>,
    formats: Arc<dyn Formats>,
    entry_ttl: Duration,
    replicas: RefCell<ReplicaServer>,
    requests: flume::Sender<ControlRequest>,
}

/// The clients that can reach a listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Callers, other hosts and the platform's readiness checks.
    Anyone,
    /// Metrics collectors and operators.
    Operators,
}

impl PublicPages {
    pub fn new(
        control: Rc<RefCell<HostControl>>,
        formats: Arc<dyn Formats>,
        max_entry_ttl: Duration,
        link_mbps: Option<f64>,
        requests: flume::Sender<ControlRequest>,
    ) -> Self {
        Self {
            control,
            formats,
            entry_ttl: max_entry_ttl.mul_f64(ENTRY_TTL_SHARE),
            replicas: RefCell::new(ReplicaServer::new(link_mbps)),
            requests,
        }
    }

    /// Accepts connections until the process ends.
    pub async fn serve(
        self: Rc<Self>,
        listener: TcpListener,
        audience: Audience,
    ) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let pages = self.clone();
            let service = service_fn(move |request| {
                let response = match audience {
                    Audience::Operators => pages.answer_operator(&request),
                    Audience::Anyone => pages.answer(&request),
                };
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(IDLE_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            spawn_local(async move {
                let _ = connection.await;
            });
        }
    }

    /// Answers a request at the operators' address, which serves all other pages too.
    fn answer_operator(
        &self,
        request: &Request<Incoming>,
    ) -> Response<AnswerBody> {
        let fingerprint_text = request.uri().path().strip_prefix(CLEAR_POISON_PREFIX);
        let Some(fingerprint_text) = fingerprint_text.filter(|_| *request.method() == Method::POST)
        else {
            return self.answer(request);
        };
        let Ok(fingerprint) = fingerprint_text.parse::<Fingerprint>() else {
            return page(StatusCode::NOT_FOUND, Vec::new());
        };
        let report = PoisonReport::Cleared { fingerprint };
        let _ = self.requests.send(ControlRequest::ReportPoison(report));
        page(StatusCode::ACCEPTED, Vec::new())
    }

    fn answer(
        &self,
        request: &Request<Incoming>,
    ) -> Response<AnswerBody> {
        let target = request
            .uri()
            .path_and_query()
            .map_or("/", |text| text.as_str());
        let control = self.control.borrow();
        match self.formats.public_call(request.method(), target) {
            PublicCall::Ready if control.is_ready() => page(StatusCode::OK, Vec::new()),
            PublicCall::Ready => page(StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
            PublicCall::Entry { .. } => {
                let addresses = control.entry_addresses();
                if addresses.is_empty() {
                    return page(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
                }
                let body = self.formats.entry_body(&addresses, self.entry_ttl);
                let mut response = page(StatusCode::OK, body);
                response.headers_mut().insert(
                    header::CONTENT_TYPE,
                    HeaderValue::from_static("application/json"),
                );
                response
            }
            PublicCall::Unknown => {
                let (path, query) = target.split_once('?').unwrap_or((target, ""));
                if path == METRICS_PATH {
                    return page(StatusCode::OK, metrics().page().into_bytes());
                }
                let mut replicas = self.replicas.borrow_mut();
                match answer_peer_request(&control, &mut replicas, path, query, Instant::now()) {
                    PeerAnswer::Page(body) => page(StatusCode::OK, body),
                    PeerAnswer::Busy => page(StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
                    PeerAnswer::NotFound => page(StatusCode::NOT_FOUND, Vec::new()),
                }
            }
        }
    }
}

fn page(
    status: StatusCode,
    body: Vec<u8>,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::complete(body));
    *response.status_mut() = status;
    response
}
