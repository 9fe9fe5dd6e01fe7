//! The pages for callers that ask where to go, for whoever asks whether the host is ready, and for
//! other hosts.

use {
    super::{
        HostControl, copy_server::CopyServer, peer_answer::PeerAnswer, peer_pages::answer_peer,
    },
    crate::{
        clock::Instant,
        connection::{front::AnswerBody, targets::ControlRequest},
        formats::{Formats, PublicCall},
        metrics::metrics,
        request::poison::{PoisonKey, PoisonReport},
    },
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{cell::RefCell, convert::Infallible, rc::Rc, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::spawn_local},
};

/// An idle connection to a page is closed after this time.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Where figures are served.
const METRICS_PATH: &str = "/metrics";

/// Where operators let a request pass again that is refused since targets ended under it; its fingerprint follows.
const PARDON_PREFIX: &str = "/pardon/";

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Callers keep an answer for this share of the longest time that they may.
const LIFE_SHARE: f64 = 0.6;

/// Serves the pages of one host.
pub struct PublicPages {
    control: Rc<RefCell<HostControl>>,
    formats: Arc<dyn Formats>,
    entry_life: Duration,
    copies: RefCell<CopyServer>,
    requests: flume::Sender<ControlRequest>,
}

/// Who can reach an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Callers, other hosts and the platform's checks.
    Anyone,
    /// Whoever gathers figures, and operators.
    Operators,
}

impl PublicPages {
    pub fn new(
        control: Rc<RefCell<HostControl>>,
        formats: Arc<dyn Formats>,
        longest_life: Duration,
        link_mbps: Option<f64>,
        requests: flume::Sender<ControlRequest>,
    ) -> Self {
        Self {
            control,
            formats,
            entry_life: longest_life.mul_f64(LIFE_SHARE),
            copies: RefCell::new(CopyServer::new(link_mbps)),
            requests,
        }
    }

    /// Accepts connections for as long as the process runs.
    pub async fn serve(
        self: Rc<Self>,
        listener: TcpListener,
        audience: Audience,
    ) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
                .header_read_timeout(IDLE_LIMIT)
                .serve_connection(TokioIo::new(stream), service);
            spawn_local(async move {
                let _ = connection.await;
            });
        }
    }

    /// What operators may ask for besides what anyone may.
    fn answer_operator(
        &self,
        request: &Request<Incoming>,
    ) -> Response<AnswerBody> {
        let named = request.uri().path().strip_prefix(PARDON_PREFIX);
        let Some(named) = named.filter(|_| *request.method() == Method::POST) else {
            return self.answer(request);
        };
        let Ok(key) = named.parse::<PoisonKey>() else {
            return page(StatusCode::NOT_FOUND, Vec::new());
        };
        let report = PoisonReport::Cleared { key };
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
                let body = self.formats.entry_body(&addresses, self.entry_life);
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
                let mut copies = self.copies.borrow_mut();
                match answer_peer(&control, &mut copies, path, query, Instant::now()) {
                    PeerAnswer::Page(body) => page(StatusCode::OK, body),
                    PeerAnswer::Busy => page(StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
                    PeerAnswer::NoPage => page(StatusCode::NOT_FOUND, Vec::new()),
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
