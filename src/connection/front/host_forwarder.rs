//! Forwards requests to other hosts while this host reaches no target of their service.
//!
//! The other host serves a forwarded request as if the caller had sent it there: it checks the key and charges the quota, and its
//! answer goes back unchanged. A host never forwards a forwarded request; it declines what it can't serve either, before it has
//! done anything for it.

use {
    super::{
        AnswerBody, AnswerReader, ErrorCause, LocalAnswer,
        exchange::{check_stamp, log_refused},
        forwarded_relay::{ForwardedAnswer, ForwardedRelay},
        host_stop::StopWatch,
        request_trace::millis,
    },
    crate::{
        clock::{Instant, timeout_at},
        connection::{
            http1::{BodyFraming, ExchangeError, HttpConnection, ResponseHead},
            targets::TargetTable,
        },
        formats::{Formats, HeaderNames},
        metrics::{StateLabels, metrics},
        note,
        request::direct::CallRequest,
        timeline::Event,
        version::routing::RouteKind,
    },
    http::{HeaderMap, HeaderName, HeaderValue, Response, header},
    rand::seq::IteratorRandom,
    std::{
        cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
    },
    tokio::time::timeout,
};

/// Header of an answer to a forwarded request that its sender may forward to another host: nothing was done for it.
pub const DECLINED: HeaderName = HeaderName::from_static("x-coveproxy-declined");

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Hosts to which one request is forwarded, one after the other, if they decline.
const MAX_HOSTS: usize = 4;

/// A host that declined a request for a service gets none for that service for so long.
const DECLINE_TTL: Duration = Duration::from_millis(500);

/// An idle connection to another host is used for so long, well below the time after which hosts close theirs.
const IDLE_TTL: Duration = Duration::from_secs(2);

/// Idle connections to one host.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The other host's deadline is earlier by this, so that its answer arrives here in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// How a request that was sent to another host ended there.
enum ForwardEnd {
    /// The answer for the caller.
    Answered(Response<AnswerBody>),
    /// The other host has done nothing for the request.
    Declined,
    /// No connection opened.
    NotReached,
    /// The connection ended without an answer.
    Lost,
}

impl ForwardEnd {
    /// Returns the word for logs and metrics.
    fn word(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Declined => "declined",
            Self::NotReached => "not_reached",
            Self::Lost => "lost",
        }
    }
}

/// Checks the head of another host's answer.
fn check_head(
    names: &HeaderNames,
    head: &ResponseHead,
) -> Result<(), ExchangeError> {
    // Hosts frame each answer, so that its end shows.
    if head.framing == BodyFraming::UntilClose {
        return Err(ExchangeError::Nonsense("a host's answer without framing"));
    }
    check_stamp(names, head)
}

/// Logs an answer of another host that was malformed.
pub fn log_if_malformed(
    id: &str,
    host: SocketAddr,
    problem: ExchangeError,
) {
    if let ExchangeError::Nonsense(reason) = problem {
        log_refused(id, &host.to_string(), reason);
    }
}

/// An idle connection to another host.
struct IdleConnection {
    connection: HttpConnection,
    since: Instant,
}

/// Forwards requests to other hosts.
pub struct HostForwarder {
    table: Rc<RefCell<TargetTable>>,
    formats: Arc<dyn Formats>,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Until when a host gets no requests for a service that it declined.
    declined: RefCell<HashMap<(SocketAddr, String), Instant>>,
    pub(super) stop: StopWatch,
}

impl HostForwarder {
    pub fn new(
        table: Rc<RefCell<TargetTable>>,
        formats: Arc<dyn Formats>,
        stop: StopWatch,
    ) -> Self {
        Self {
            table,
            formats,
            stop,
            idle: RefCell::default(),
            declined: RefCell::default(),
        }
    }

    /// Forwards a request; returns `None` if no other host takes it, so that it has certainly not run.
    pub async fn forward(
        self: &Rc<Self>,
        request: &CallRequest,
    ) -> Option<Response<AnswerBody>> {
        for _ in 0..MAX_HOSTS {
            let host = self.pick_host(&request.service.name, Instant::now())?;
            let sent_at = Instant::now();
            if request.time_left(sent_at) <= DEADLINE_MARGIN {
                return None;
            }
            let sent = timeout_at(request.deadline, self.send(host, request));
            let end = match self.stop.before_the_end(sent).await {
                Some(Ok(end)) => end,
                Some(Err(_)) => self.given_up(request, ErrorCause::DeadlineExceeded),
                None => self.given_up(request, ErrorCause::Interrupted),
            };
            self.record_end(host, request, &end, sent_at);
            match end {
                ForwardEnd::Answered(response) => return Some(response),
                ForwardEnd::Lost => {
                    return Some(self.local_answer(request, ErrorCause::AnswerLost));
                }
                ForwardEnd::Declined | ForwardEnd::NotReached => {}
            }
        }
        None
    }

    /// Returns a host that may reach targets of a service, chosen at random so that no host gets the requests of all others.
    fn pick_host(
        &self,
        service: &str,
        now: Instant,
    ) -> Option<SocketAddr> {
        let mut declined = self.declined.borrow_mut();
        declined.retain(|_, until| *until > now);
        let view = self.table.borrow().view.clone();
        let takes = |host: &&SocketAddr| !declined.contains_key(&(**host, service.to_string()));
        view.other_hosts
            .iter()
            .filter(takes)
            .choose(&mut rand::rng())
            .copied()
    }

    async fn send(
        self: &Rc<Self>,
        host: SocketAddr,
        request: &CallRequest,
    ) -> ForwardEnd {
        let Some(mut connection) = self.connect(host).await else {
            return ForwardEnd::NotReached;
        };
        let names = self.formats.headers();
        let head = self.request_head(request, Instant::now());
        let is_own_answer =
            |head: &ResponseHead| head.headers.get(&names.request_id) == request.id.as_ref();
        let exchange =
            connection.exchange_parts(&head, &request.body, &request.method, is_own_answer);
        let answered = exchange.await.and_then(|(head, sent_completely)| {
            check_head(names, &head)?;
            Ok((head, sent_completely))
        });
        let (head, sent_completely) = match answered {
            Ok(answered) => answered,
            Err(problem) => {
                log_if_malformed(request.id_text(), host, problem);
                return ForwardEnd::Lost;
            }
        };
        let streams = request.route.kind == RouteKind::Stream;
        let is_declined = head.headers.contains_key(DECLINED);
        let keeps = head.keeps_alive && sent_completely;
        let answer = ForwardedAnswer {
            body: AnswerReader::new(connection, &head, streams),
            status: head.status,
            headers: head.headers,
            keeps,
        };
        if is_declined {
            return ForwardEnd::Declined;
        }
        let relay = ForwardedRelay {
            forwarder: self.clone(),
            host,
            streams,
            memory: request.memory.clone(),
            deadline: request.deadline,
            id: request.id_text().to_string(),
        };
        match relay.start(answer).await {
            Some(response) => ForwardEnd::Answered(response),
            None => ForwardEnd::Lost,
        }
    }

    async fn connect(
        &self,
        host: SocketAddr,
    ) -> Option<HttpConnection> {
        if let Some(connection) = self.take_idle(host, Instant::now()) {
            return Some(connection);
        }
        let opened = timeout(CONNECT_TIMEOUT, HttpConnection::open(host)).await;
        opened.ok()?.ok()
    }

    fn take_idle(
        &self,
        host: SocketAddr,
        now: Instant,
    ) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&host)?;
        while let Some(kept) = kept.pop() {
            let age = now.saturating_duration_since(kept.since);
            if age < IDLE_TTL && kept.connection.is_quiet() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Retains a connection whose exchange is over.
    pub fn put_idle(
        &self,
        host: SocketAddr,
        mut connection: HttpConnection,
    ) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(host).or_default();
        if kept.len() < MAX_IDLE_CONNECTIONS {
            connection.rest();
            kept.push(IdleConnection {
                connection,
                since: Instant::now(),
            });
        }
    }

    /// Encodes the head of the request as its caller would send it to the other host, with the time that is left.
    fn request_head(
        &self,
        request: &CallRequest,
        now: Instant,
    ) -> Vec<u8> {
        let names = self.formats.headers();
        let mut headers = HeaderMap::new();
        headers.extend(request.headers.clone());
        if let Ok(host) = HeaderValue::from_str(&request.route.host) {
            headers.insert(header::HOST, host);
        }
        if let Some(authorization) = &request.authorization {
            headers.insert(header::AUTHORIZATION, authorization.clone());
        }
        let time_left = request.time_left(now).saturating_sub(DEADLINE_MARGIN);
        let time_left = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(names.deadline_ms.clone(), time_left.into());
        headers.insert(header::CONTENT_LENGTH, request.body.len().into());
        let method = request.method.as_str();
        let mut bytes = format!("{method} {} HTTP/1.1\r\n", request.path_and_query).into_bytes();
        for (name, value) in &headers {
            for part in [
                name.as_str().as_bytes(),
                &b": "[..],
                value.as_bytes(),
                b"\r\n",
            ] {
                bytes.extend_from_slice(part);
            }
        }
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    /// Ends a request that the other host may run.
    fn given_up(
        &self,
        request: &CallRequest,
        cause: ErrorCause,
    ) -> ForwardEnd {
        ForwardEnd::Answered(self.local_answer(request, cause))
    }

    fn local_answer(
        &self,
        request: &CallRequest,
        cause: ErrorCause,
    ) -> Response<AnswerBody> {
        let names = self.formats.headers();
        LocalAnswer::new(cause).into_response(&names.request_id, request.id.as_ref())
    }

    fn record_end(
        &self,
        host: SocketAddr,
        request: &CallRequest,
        end: &ForwardEnd,
        sent_at: Instant,
    ) {
        let state = end.word();
        let status = match end {
            ForwardEnd::Answered(response) => response.status().as_u16(),
            _ => 0,
        };
        if matches!(end, ForwardEnd::Declined | ForwardEnd::NotReached) {
            let key = (host, request.service.name.clone());
            let until = Instant::now() + DECLINE_TTL;
            self.declined.borrow_mut().insert(key, until);
        }
        let labels = StateLabels { state };
        metrics().forwards.get_or_create(&labels).inc();
        note!(
            Event::RequestForwarded,
            id = request.id_text(),
            to = host,
            service = request.service.name,
            end = state,
            status = status,
            first_ms = millis(sent_at.elapsed()),
            total_ms = millis(request.arrived.elapsed()),
        );
    }
}
