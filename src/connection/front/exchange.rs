use {
    crate::{
        clock::Instant,
        connection::{
            http1::{BodyDecoder, ExchangeError, HttpConnection, ResponseHead},
            targets::{KeyStatus, RequestTokens, TargetIncarnation, TargetLink, TargetTable},
        },
        formats::{HeaderNames, TargetStart},
        request::{
            direct::{AttemptEnd, CallRequest},
            notices::NoticeHeaders,
        },
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, StatusCode, header},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::time::timeout,
};

/// Time for a connection to a target to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Bodies up to this size are read whole before they are passed on, in bytes.
const WHOLE_LIMIT: usize = 256 * 1024;

/// The last rank that engines know among the requests that wait there.
const LEAST_URGENT: u8 = 9;

/// The version of its adapter that a request is sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionSent {
    pub version: u64,
    /// The newest one that is known.
    pub newest: u64,
    /// The request is expected to begin after this time.
    pub wait: Duration,
}

/// Where a request goes, and on what condition it may run there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    pub target: Arc<str>,
    /// Version of the adapter that must be there; none for requests without one.
    pub version: Option<VersionSent>,
    /// The answer goes on behind this event.
    pub resume_after: Option<u64>,
}

impl Destination {
    /// A target, without conditions.
    pub fn of(target: &str) -> Self {
        Self {
            target: target.into(),
            version: None,
            resume_after: None,
        }
    }
}

/// One request that runs, or may run, at a target; it counts as ended when dropped.
pub struct Flight {
    board: Rc<RefCell<TargetTable>>,
    target: Arc<str>,
    /// Which start of the target it runs at.
    started: Option<TargetStart>,
    adapter: Option<String>,
    tokens: RequestTokens,
    /// Nothing of the answer has come yet.
    unread: Cell<bool>,
}

impl Flight {
    fn start(
        board: &Rc<RefCell<TargetTable>>,
        request: &CallRequest,
        target: &Arc<str>,
    ) -> Self {
        let generation = request.generation.as_ref();
        let adapter = generation.and_then(|generation| generation.adapter());
        let tokens = generation.map_or(RequestTokens::default(), |generation| RequestTokens {
            all: u64::from(generation.tokens_in) + u64::from(generation.tokens_out),
            prompt: u64::from(generation.tokens_in),
        });
        let started = board.borrow().incarnation(target);
        board.borrow_mut().start_request(target, adapter, tokens);
        Self {
            board: board.clone(),
            target: target.clone(),
            started,
            adapter: adapter.map(str::to_string),
            tokens,
            unread: Cell::new(true),
        }
    }

    /// Does something with the target's link, unless the target is gone or has started anew: what ends of
    /// an earlier start says nothing of the later one.
    fn with_link(
        &self,
        change: impl FnOnce(&mut TargetLink),
    ) {
        let mut board = self.board.borrow_mut();
        let link = board.links.get_mut(&self.target);
        if let Some(link) = link.filter(|link| link.view.record.started == self.started) {
            change(link);
        }
    }

    /// True unless the target is gone or has started anew since the flight began.
    fn is_at_known_start(&self) -> bool {
        let board = self.board.borrow();
        let link = board.links.get(&self.target);
        link.is_some_and(|link| link.view.record.started == self.started)
    }

    /// Something came from the target.
    fn on_heard(&self) {
        self.with_link(|link| link.last_received = Some(Instant::now()));
    }

    /// The head of the answer to a request that was sent at `sent` has come.
    fn on_head(
        &self,
        names: &HeaderNames,
        head: &ResponseHead,
        sent: Instant,
    ) {
        let said = NoticeHeaders {
            names,
            status: head.status,
            headers: &head.headers,
        };
        let mut board = self.board.borrow_mut();
        let (target, start) = (&self.target, self.started);
        board
            .notices
            .on_answer(target, start, &said, sent, Instant::now());
    }

    /// The first of the answer has come, or none will.
    fn on_prefill_done(&self) {
        if !self.unread.replace(false) {
            return;
        }
        self.with_link(|link| link.on_prefill_done(self.tokens));
    }

    /// Keeps the connection of an exchange that is over.
    pub fn keep(
        &self,
        connection: HttpConnection,
        idle_limit: Option<Duration>,
    ) {
        self.with_link(|link| link.put_idle(connection, idle_limit, Instant::now()));
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.on_prefill_done();
        self.with_link(|link| link.end(self.adapter.as_deref(), self.tokens));
    }
}

/// A whole answer of a target.
#[derive(Debug)]
pub struct WholeAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// An answer whose body goes on.
pub struct OpenAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// What has arrived of the body.
    pub first: Bytes,
    pub source: AnswerSource,
}

/// Where the rest of a body comes from.
pub struct AnswerSource {
    connection: HttpConnection,
    decoder: BodyDecoder,
    reusable: bool,
    idle_limit: Option<Duration>,
    flight: Flight,
}

impl AnswerSource {
    /// The next piece; `None` at the body's end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let piece = self.connection.body_piece(&mut self.decoder).await;
        if matches!(piece, Ok(Some(_))) {
            self.flight.on_heard();
        }
        piece
    }

    /// True if the target has sent nothing at all to this host for so long, or has started anew.
    pub fn target_is_silent(
        &self,
        time: Duration,
    ) -> bool {
        let board = self.flight.board.borrow();
        let link = board.links.get(&self.flight.target);
        let link = link.filter(|link| link.view.record.started == self.flight.started);
        link.is_none_or(|link| link.is_silent(time, Instant::now()))
    }

    /// The target that answers.
    pub fn target(&self) -> &str {
        &self.flight.target
    }

    /// The start of the target that answers.
    pub fn run(&self) -> TargetIncarnation {
        (self.flight.target.clone(), self.flight.started)
    }

    /// The body is over.
    pub fn finish(self) {
        if self.reusable {
            self.flight.keep(self.connection, self.idle_limit);
        }
    }
}

/// What a send brought.
pub enum Sent {
    Whole(WholeAnswer),
    Open(Box<OpenAnswer>),
    /// The target ran it and failed.
    Failed(WholeAnswer),
    /// No answer that can be passed on.
    Ended(AttemptEnd),
    /// The target does not hold what the request needs, and did not run it.
    Misdirected,
    /// Nothing was sent: by now it is not known well enough that the target takes requests, or it has said that it takes none,
    /// or its version of the adapter may serve no longer.
    Unconfirmed,
}

impl Sent {
    /// True if it is known that nothing of the request arrived at a target.
    pub fn never_arrived(&self) -> bool {
        matches!(self, Self::Unconfirmed | Self::Ended(AttemptEnd::NotSent))
    }
}

/// Sends a request to a target and reads its answer: plain ones whole, streams to the first piece.
pub async fn send(
    board: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    request: &CallRequest,
    destination: &Destination,
    streams: bool,
) -> Sent {
    let begun = Instant::now();
    let no_backlog = backlog(board, &destination.target) == 0;
    let flight = Flight::start(board, request, &destination.target);
    let Some(mut connection) = connect(&flight).await else {
        return Sent::Ended(AttemptEnd::NotSent);
    };
    let now = Instant::now();
    // The connection may have taken its time to come up, and may lead to a start that is over.
    if !board.borrow().is_usable(&destination.target, now) || !flight.is_at_known_start() {
        return Sent::Ended(AttemptEnd::NotSent);
    }
    if !may_send(board, request, destination, now) {
        flight.keep(connection, None);
        return Sent::Unconfirmed;
    }
    board.borrow_mut().record_send_staleness(now);
    let bytes = request_bytes(names, request, destination, now);
    let is_ours = |head: &ResponseHead| head.headers.get(&names.request_id) == request.id.as_ref();
    let exchange = connection.exchange(&bytes, &request.method, is_ours);
    let (head, sent_whole) = match exchange.await {
        Ok(answer) => answer,
        Err(_) => return lost(&flight),
    };
    flight.on_head(names, &head, now);
    let mut source = AnswerSource {
        connection,
        decoder: BodyDecoder::new(head.framing),
        reusable: head.keeps_alive && sent_whole,
        idle_limit: head.idle_limit,
        flight,
    };
    if head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST {
        return not_run(head, source).await;
    }
    let wanted = if streams && head.status.is_success() {
        1
    } else {
        WHOLE_LIMIT
    };
    let mut body = BytesMut::new();
    while body.len() < wanted {
        match source.next().await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => {
                trust(&source.flight);
                let failed = head.status.is_server_error();
                let answer = whole(head, body.freeze(), source);
                return match failed {
                    true => Sent::Failed(answer),
                    false => Sent::Whole(answer),
                };
            }
            Err(_) => return lost(&source.flight),
        }
    }
    trust(&source.flight);
    source.flight.on_prefill_done();
    if no_backlog {
        let time = begun.elapsed();
        let tokens = source.flight.tokens.prompt;
        let mut board = board.borrow_mut();
        board
            .prefill_throughput(&request.service.name)
            .on_first_event(tokens, time);
    }
    Sent::Open(Box::new(OpenAnswer {
        status: head.status,
        headers: passed_headers(head.headers),
        first: body.freeze(),
        source,
    }))
}

/// True if what a send rests on is young enough, the list of targets and the version that it is for, and the target has not
/// said meanwhile that it takes none.
fn may_send(
    board: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
    destination: &Destination,
    now: Instant,
) -> bool {
    let board = board.borrow();
    let generation = request.generation.as_ref();
    let adapter = generation.and_then(|generation| generation.adapter());
    let serves = adapter
        .zip(destination.version)
        .is_none_or(|(adapter, sent)| {
            let until = board.version_deadline(adapter, sent.version);
            until.can_begin(sent.wait, now)
        });
    // A stream that goes on elsewhere began while its key stood.
    let resumes = destination.resume_after.is_some();
    let key_stands = resumes
        || request
            .credential
            .as_ref()
            .is_none_or(|credential| board.key_status(credential, now) == KeyStatus::Valid);
    let forbidden = board.is_rejecting_requests(&destination.target, now);
    serves && key_stands && !forbidden && board.can_send(now)
}

fn backlog(
    board: &Rc<RefCell<TargetTable>>,
    target: &str,
) -> u64 {
    let board = board.borrow();
    board
        .links
        .get(target)
        .map_or(0, |link| link.backlog_tokens())
}

async fn connect(flight: &Flight) -> Option<HttpConnection> {
    let address = {
        let mut board = flight.board.borrow_mut();
        let link = board.links.get_mut(&flight.target)?;
        if let Some(connection) = link.take_idle(Instant::now()) {
            return Some(connection);
        }
        link.view.record.address
    };
    let opened = timeout(CONNECT_LIMIT, HttpConnection::open(address)).await;
    match opened {
        Ok(Ok(connection)) => Some(connection),
        _ => {
            distrust(flight);
            None
        }
    }
}

/// The target turned the request away.
async fn not_run(
    head: ResponseHead,
    mut source: AnswerSource,
) -> Sent {
    let status = head.status;
    while let Ok(Some(_)) = source.next().await {}
    source.finish();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Sent::Misdirected;
    }
    Sent::Ended(AttemptEnd::NotRun {
        status: status.as_u16(),
    })
}

fn whole(
    head: ResponseHead,
    body: Bytes,
    source: AnswerSource,
) -> WholeAnswer {
    source.finish();
    WholeAnswer {
        status: head.status,
        headers: passed_headers(head.headers),
        body,
    }
}

fn lost(flight: &Flight) -> Sent {
    distrust(flight);
    Sent::Ended(AttemptEnd::Lost)
}

fn trust(flight: &Flight) {
    flight.with_link(|link| link.health.on_success());
}

fn distrust(flight: &Flight) {
    flight.with_link(|link| link.health.on_failure(Instant::now()));
}

/// The headers of an answer that go on to the caller.
fn passed_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
        header::TRAILER,
        header::UPGRADE,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers
}

/// The request as it goes to the target.
fn request_bytes(
    names: &HeaderNames,
    request: &CallRequest,
    destination: &Destination,
    now: Instant,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1024 + request.body.len());
    let mut line = |parts: &[&[u8]]| {
        for part in parts {
            bytes.extend_from_slice(part);
        }
        bytes.extend_from_slice(b"\r\n");
    };
    line(&[
        request.method.as_str().as_bytes(),
        b" ",
        request.path_and_query.as_bytes(),
        b" HTTP/1.1",
    ]);
    line(&[b"host: ", request.route.host.as_bytes()]);
    let resumes = destination.resume_after.is_some();
    for (name, value) in &request.headers {
        if resumes && name == names.last_event_id {
            continue;
        }
        line(&[name.as_str().as_bytes(), b": ", value.as_bytes()]);
    }
    if let Some(after) = destination.resume_after {
        let after = after.to_string();
        line(&[
            names.last_event_id.as_str().as_bytes(),
            b": ",
            after.as_bytes(),
        ]);
    }
    let left = request.left(now).as_millis().to_string();
    line(&[
        names.deadline_ms.as_str().as_bytes(),
        b": ",
        left.as_bytes(),
    ]);
    line(&[
        names.expect_target.as_str().as_bytes(),
        b": ",
        destination.target.as_bytes(),
    ]);
    if let Some(sent) = destination.version {
        let version = sent.version.to_string();
        line(&[
            names.expect_version.as_str().as_bytes(),
            b": ",
            version.as_bytes(),
        ]);
    }
    if request.generation.is_some() {
        let priority = request.urgency.min(LEAST_URGENT).to_string();
        line(&[
            names.priority.as_str().as_bytes(),
            b": ",
            priority.as_bytes(),
        ]);
    }
    if let Some(credential) = &request.credential {
        line(&[
            names.customer.as_str().as_bytes(),
            b": ",
            credential.customer.name.as_bytes(),
        ]);
    }
    let length = request.body.len().to_string();
    line(&[b"content-length: ", length.as_bytes()]);
    line(&[]);
    bytes.extend_from_slice(&request.body);
    bytes
}
