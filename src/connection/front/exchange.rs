use {
    super::{
        AnswerReader,
        buffer_limits::MAX_BUFFERED_BODY,
        destination::Destination,
        in_flight_request::InFlightRequest,
        reach_check::suspect_unreached,
        target_answer::{AnswerSource, CompleteAnswer, OpenAnswer},
        target_connection::connect,
        version_watch::{VersionExpired, VersionWatch},
    },
    crate::{
        clock::Instant,
        connection::{
            http1::{ExchangeError, ResponseHead},
            targets::{KeyStatus, TargetTable},
        },
        formats::HeaderNames,
        note,
        request::{
            direct::{AttemptEnd, CallRequest},
            memory::MemoryUse,
        },
        timeline::Event,
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, StatusCode, header},
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Lowest priority that engines know.
const LOWEST_PRIORITY: u8 = 9;

/// Bytes of the body of an answer that only says "not run", and time for them.
const MAX_UNUSED_BODY: usize = 64 * 1024;
const UNUSED_BODY_TIME: Duration = Duration::from_millis(20);

/// Result of a send.
pub enum SendOutcome {
    Complete(CompleteAnswer),
    Open(Box<OpenAnswer>),
    /// The target ran the request and failed.
    Failed(CompleteAnswer),
    /// There is no answer that can be relayed.
    Ended(AttemptEnd),
    /// The target does not hold what the request needs, and has not run it.
    Misdirected,
    /// Nothing was sent: a table has become too stale, the target has announced that it accepts no requests, its
    /// version of the adapter may no longer serve, or the key was revoked.
    Withheld,
}

impl SendOutcome {
    /// Returns true if the request certainly never reached a target.
    pub fn never_arrived(&self) -> bool {
        matches!(self, Self::Withheld | Self::Ended(AttemptEnd::NotSent))
    }
}

/// Sends a request to a target and reads its answer: up to the first piece for streams, otherwise completely if it is
/// not too large.
pub async fn send(
    table: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    request: &CallRequest,
    destination: &Destination,
    streams: bool,
) -> SendOutcome {
    let started_at = Instant::now();
    let backlog = backlog(table, &destination.target);
    let in_flight = InFlightRequest::start(table, request, &destination.target);
    let Some(opened) = connect(&in_flight, names, request).await else {
        return SendOutcome::Ended(AttemptEnd::NotSent);
    };
    let (mut connection, is_new) = (opened.connection, opened.is_new);
    let now = Instant::now();
    // Connecting may have taken long, and the connection may lead to an earlier incarnation.
    if !table.borrow().is_usable(&destination.target, now) || !in_flight.has_same_incarnation() {
        return SendOutcome::Ended(AttemptEnd::NotSent);
    }
    if !may_send(table, request, destination, now) {
        in_flight.release(connection, None);
        return SendOutcome::Withheld;
    }
    table.borrow_mut().record_send_staleness(now);
    let sent_head = request_head(names, request, destination, now);
    let is_own_answer =
        |head: &ResponseHead| head.headers.get(&names.request_id) == request.id.as_ref();
    connection.carried.add(request.id_bytes());
    let exchange =
        connection.exchange_parts(&sent_head, &request.body, &request.method, is_own_answer);
    let watch = VersionWatch::new(table, request, destination, now);
    let Ok(exchanged) = watch.before_expiry(exchange).await else {
        return SendOutcome::Ended(AttemptEnd::Cancelled);
    };
    let (head, sent_completely) = match exchanged {
        Ok(answered) => answered,
        Err(problem) => return lost_answer(&in_flight, names, request, problem),
    };
    if let Err(problem) = check_stamp(names, &head) {
        return lost_answer(&in_flight, names, request, problem);
    }
    in_flight.on_head(names, &head, now);
    if is_new {
        table
            .borrow_mut()
            .on_reach_answered(&request.service.name, Instant::now());
    }
    let mut source = AnswerSource {
        reader: AnswerReader::new(connection, &head, streams),
        reusable: head.keeps_alive && sent_completely,
        idle_limit: head.idle_limit,
        in_flight,
        permit: None,
    };
    if head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST {
        return not_run(names, request, head, source).await;
    }
    let min_bytes = if streams && head.status.is_success() {
        1
    } else {
        MAX_BUFFERED_BODY
    };
    let failed = head.status.is_server_error();
    let mut held = request.memory.reservation(match failed {
        true => MemoryUse::Failure,
        false => MemoryUse::Answer,
    });
    let mut body = BytesMut::new();
    let mut has_room = true;
    let is_short = |body: &BytesMut, source: &AnswerSource| match streams {
        true => body.len() < min_bytes || source.reader.awaits_event(),
        false => body.len() < min_bytes,
    };
    // An answer for which there is no room is relayed piece by piece; a failure is needed whole, to try again after it.
    while is_short(&body, &source) && (has_room || failed) {
        // A stream begins with its first event, any other answer with its head.
        let piece = match source.reader.awaits_event() {
            true => match watch.before_expiry(source.next()).await {
                Ok(piece) => piece,
                Err(VersionExpired) => return SendOutcome::Ended(AttemptEnd::Cancelled),
            },
            false => source.next().await,
        };
        match piece {
            Ok(Some(piece)) => {
                body.extend_from_slice(&piece);
                has_room = held.cover(body.capacity() as u64);
            }
            Ok(None) => {
                source.in_flight.record_success();
                let answer = complete(head, held.keep(body.freeze()), source);
                return match failed {
                    true => SendOutcome::Failed(answer),
                    false => SendOutcome::Complete(answer),
                };
            }
            Err(problem) => return lost_answer(&source.in_flight, names, request, problem),
        }
    }
    if !source.reader.awaits_event() {
        source.in_flight.record_success();
    }
    source.in_flight.on_prefill_done();
    source
        .in_flight
        .sample_prefill(request, backlog, started_at.elapsed());
    SendOutcome::Open(Box::new(OpenAnswer {
        status: head.status,
        headers: relayed_headers(head.headers),
        first: body.freeze(),
        source,
    }))
}

/// Returns true if the list of targets and the adapter's version are fresh enough, the target runs the software that began
/// the stream, the key is valid, and the target has not announced that it accepts no requests.
fn may_send(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
    destination: &Destination,
    now: Instant,
) -> bool {
    let table = table.borrow();
    let generation = request.generation.as_ref();
    let adapter = generation.and_then(|generation| generation.adapter());
    let version_serves = adapter
        .zip(destination.version)
        .is_none_or(|(adapter, sent)| {
            let until = table.version_deadline(adapter, sent.version);
            until.can_begin(sent.wait, now)
        });
    // A resumed stream was started while its key was valid.
    let resumes = destination.resume_after.is_some();
    let key_is_valid = resumes
        || request
            .credential
            .as_ref()
            .is_none_or(|credential| table.key_status(credential, now) == KeyStatus::Valid);
    let runs_software = table.runs_software(&destination.target, destination.software);
    let is_closed = table.is_rejecting_requests(&destination.target, now);
    version_serves && runs_software && key_is_valid && !is_closed && table.can_send(now)
}

fn backlog(
    table: &Rc<RefCell<TargetTable>>,
    target: &str,
) -> u64 {
    let table = table.borrow();
    table
        .links
        .get(target)
        .map_or(0, |link| link.backlog_tokens())
}

/// Handles a rejection by the target.
async fn not_run(
    names: &HeaderNames,
    request: &CallRequest,
    head: ResponseHead,
    mut source: AnswerSource,
) -> SendOutcome {
    let status = head.status;
    match read_unused_body(&mut source).await {
        UnusedBody::Ended => source.finish(),
        // A target whose answers don't end is no sound one, though it has room for requests by what it says.
        UnusedBody::Endless => source.in_flight.record_failure(),
        // What the head promises can't be relied on.
        UnusedBody::Malformed(problem) => {
            return lost_answer(&source.in_flight, names, request, problem);
        }
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return SendOutcome::Misdirected;
    }
    SendOutcome::Ended(AttemptEnd::NotRun {
        status: status.as_u16(),
    })
}

/// How a body ended that nobody needs.
enum UnusedBody {
    Ended,
    /// It broke off, or did not end soon.
    Endless,
    Malformed(ExchangeError),
}

/// Reads a body that nobody needs, so that its connection can be used again. The request waits meanwhile.
async fn read_unused_body(source: &mut AnswerSource) -> UnusedBody {
    let rest = async {
        let mut read = 0;
        loop {
            match source.next().await {
                Ok(Some(piece)) => read += piece.len(),
                Ok(None) => return UnusedBody::Ended,
                Err(problem @ ExchangeError::Nonsense(_)) => return UnusedBody::Malformed(problem),
                Err(_) => return UnusedBody::Endless,
            }
            if read > MAX_UNUSED_BODY {
                return UnusedBody::Endless;
            }
        }
    };
    timeout(UNUSED_BODY_TIME, rest)
        .await
        .unwrap_or(UnusedBody::Endless)
}

fn complete(
    head: ResponseHead,
    body: Bytes,
    source: AnswerSource,
) -> CompleteAnswer {
    source.finish();
    CompleteAnswer {
        status: head.status,
        headers: relayed_headers(head.headers),
        body,
    }
}

fn lost_answer(
    in_flight: &InFlightRequest,
    names: &HeaderNames,
    request: &CallRequest,
    problem: ExchangeError,
) -> SendOutcome {
    in_flight.record_failure();
    if let ExchangeError::Nonsense(reason) = problem {
        log_refused(request.id_text(), in_flight.target(), reason);
        return SendOutcome::Ended(AttemptEnd::Refused);
    }
    suspect_unreached(in_flight.table(), names, &request.service);
    SendOutcome::Ended(AttemptEnd::Lost)
}

/// Checks that a success bears the mark by which its target vouches for it.
pub(super) fn check_stamp(
    names: &HeaderNames,
    head: &ResponseHead,
) -> Result<(), ExchangeError> {
    match head.status.is_success() && !head.headers.contains_key(&names.stamp) {
        true => Err(ExchangeError::Nonsense(
            "a success without the target's stamp",
        )),
        false => Ok(()),
    }
}

/// Logs that an answer was malformed.
pub(super) fn log_refused(
    id: &str,
    target: &str,
    reason: &str,
) {
    note!(
        Event::AnswerRefused,
        id = id,
        target = target,
        reason = format!("{reason:?}"),
    );
}

/// Returns the headers of an answer that are relayed to the caller.
pub(super) fn relayed_headers(mut headers: HeaderMap) -> HeaderMap {
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

/// Encodes the head of the request for the target.
fn request_head(
    names: &HeaderNames,
    request: &CallRequest,
    destination: &Destination,
    now: Instant,
) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(1024);
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
    let time_left = request.time_left(now).as_millis().to_string();
    line(&[
        names.deadline_ms.as_str().as_bytes(),
        b": ",
        time_left.as_bytes(),
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
        let priority = request.urgency.min(LOWEST_PRIORITY).to_string();
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
    bytes
}
