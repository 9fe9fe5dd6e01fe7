use {
    super::{ErrorCause, RequestOrigin, admission::identify},
    crate::{
        clock::{Instant, timeout_at},
        formats::{Formats, HeaderNames},
        request::{
            direct::{CallRequest, Credential, Generation, shared_parts, token_counts},
            memory::{CallerMemory, CallerStage, CutKind, NoRoom},
        },
        version::routing::{Route, RoutingTable, TargetService},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderName, HeaderValue, Request, header, request::Parts},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{pin::pin, sync::Arc, time::Duration},
    tokio::task::spawn_local,
};

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: &[HeaderName] = &[
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

const KEEP_ALIVE: &str = "keep-alive";

/// Time for which the body of a rejected request is read and discarded: a caller that still sends may not see the
/// answer if the connection is closed.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Why a request could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestReadError {
    /// The caller gets an answer with this cause.
    Rejected(ErrorCause),
    /// The caller is gone.
    CallerGone,
}

/// Reads a [`CallRequest`] from a caller's connection.
pub struct RequestReader {
    formats: Arc<dyn Formats>,
}

impl RequestReader {
    pub fn new(formats: Arc<dyn Formats>) -> Self {
        Self { formats }
    }

    /// Returns the id that the caller gave to its request.
    pub fn id(
        &self,
        headers: &HeaderMap,
    ) -> Option<HeaderValue> {
        headers.get(&self.formats.headers().request_id).cloned()
    }

    /// Reads a complete request; `draw`, from 0 to below 1, chooses the part of a split route.
    pub async fn read(
        &self,
        request: Request<Incoming>,
        routing: &RoutingTable,
        arrived: Instant,
        draw: f64,
        origin: RequestOrigin,
        memory: &CallerMemory,
    ) -> Result<CallRequest, RequestReadError> {
        if routing.version == 0 {
            return Err(RequestReadError::Rejected(ErrorCause::NotReady));
        }
        let (parts, body) = request.into_parts();
        let route =
            find_route(&parts, routing).ok_or(RequestReadError::Rejected(ErrorCause::NoRoute))?;
        let credential = identify(&parts.headers, &route, &routing.customers)
            .map_err(RequestReadError::Rejected)?;
        let service = find_service(&route, routing, draw)?;
        let names = self.formats.headers();
        let deadline = arrived + effective_timeout(&parts.headers, names, &route);
        let generation = generation(&parts.headers, names, &service);
        let listed = text(&parts.headers, &names.prompt_parts).unwrap_or_default();
        let shared_parts = shared_parts(listed);
        let expects_continue = parts.headers.contains_key(header::EXPECT);
        let limits = BodyLimits {
            bytes: routing.limits.body_bytes,
            deadline,
            discards: !expects_continue,
        };
        let body = read_body(body, limits, memory).await?;
        Ok(CallRequest {
            id: parts.headers.get(&names.request_id).cloned(),
            path_and_query: parts
                .uri
                .path_and_query()
                .map_or("/", |text| text.as_str())
                .to_string(),
            method: parts.method,
            is_forwarded: origin == RequestOrigin::Host,
            authorization: authorization(&parts.headers),
            headers: forwarded_headers(&parts.headers, names, routing),
            body,
            arrived,
            deadline,
            urgency: urgency(routing, &route, credential.as_ref()),
            declared_tokens: declared_tokens(&parts.headers, names),
            route,
            service,
            generation,
            shared_parts,
            credential,
            memory: memory.clone(),
        })
    }
}

fn find_route(
    parts: &Parts,
    routing: &RoutingTable,
) -> Option<Arc<Route>> {
    let host = parts.headers.get(header::HOST)?.to_str().ok()?;
    let host = host.split_once(':').map_or(host, |(name, _)| name);
    routing.find(host, parts.uri.path()).cloned()
}

fn find_service(
    route: &Route,
    routing: &RoutingTable,
    draw: f64,
) -> Result<Arc<TargetService>, RequestReadError> {
    let service = route.service(draw).and_then(|name| routing.service(name));
    // A route without a service is a configuration error, and may be fixed soon.
    service
        .cloned()
        .ok_or(RequestReadError::Rejected(ErrorCause::NoTarget))
}

/// Returns the caller's deadline, or the route's timeout if that is shorter.
fn effective_timeout(
    headers: &HeaderMap,
    names: &HeaderNames,
    route: &Route,
) -> Duration {
    let deadline = number(headers, &names.deadline_ms).map(Duration::from_millis);
    deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout))
}

fn generation(
    headers: &HeaderMap,
    names: &HeaderNames,
    service: &TargetService,
) -> Option<Generation> {
    service.engine.as_ref()?;
    let mut generation = Generation {
        model: text(headers, &names.model)?.to_string(),
        length_hint: number(headers, &names.length_hint)
            .and_then(|length_hint| u32::try_from(length_hint).ok()),
        ..Generation::default()
    };
    generation.set_token_counts(text(headers, &names.token_counts).unwrap_or_default());
    generation.set_parts(text(headers, &names.prompt_parts).unwrap_or_default());
    Some(generation)
}

fn urgency(
    routing: &RoutingTable,
    route: &Route,
    credential: Option<&Credential>,
) -> u8 {
    let customer = credential.map(|credential| &*credential.customer);
    routing.urgency(route, customer)
}

fn declared_tokens(
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Option<u64> {
    let (tokens_in, tokens_out) = token_counts(text(headers, &names.token_counts)?);
    Some(u64::from(tokens_in) + u64::from(tokens_out))
}

fn text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Option<u64> {
    text(headers, name)?.trim().parse().ok()
}

/// Returns the headers to forward to the target, without callers' keys and headers that only hosts may set.
fn forwarded_headers(
    headers: &HeaderMap,
    names: &HeaderNames,
    routing: &RoutingTable,
) -> HeaderMap {
    let has_keys = !routing.customers.is_empty();
    let connection_options: Vec<&str> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name) && name.as_str() != KEEP_ALIVE)
        .filter(|(name, _)| !names.is_set_by_hosts(name))
        .filter(|(name, _)| !(has_keys && **name == header::AUTHORIZATION))
        .filter(|(name, _)| {
            let is_listed = |is_listed: &&str| is_listed.eq_ignore_ascii_case(name.as_str());
            names.is_of_request(name) || !connection_options.iter().any(is_listed)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns the caller's key, which is kept out of logs.
fn authorization(headers: &HeaderMap) -> Option<HeaderValue> {
    let mut value = headers.get(header::AUTHORIZATION)?.clone();
    value.set_sensitive(true);
    Some(value)
}

/// Limits on the body of a request.
struct BodyLimits {
    bytes: usize,
    deadline: Instant,
    /// What the caller still sends is read and discarded if there is no room for the body.
    discards: bool,
}

async fn read_body(
    mut body: Incoming,
    limits: BodyLimits,
    memory: &CallerMemory,
) -> Result<Bytes, RequestReadError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limits.bytes as u64 {
        return Err(RequestReadError::Rejected(ErrorCause::BodyTooLarge));
    }
    memory.set_stage(CallerStage::SendsBody);
    let declared = body.size_hint().exact();
    let mut buffer = match memory.reserve_body(declared, limits.deadline).await {
        Ok(buffer) => buffer,
        Err(NoRoom) => return Err(reject_unread(body, &limits, memory)),
    };
    let mut cut = pin!(memory.cut(CutKind::Reject));
    loop {
        let frame = tokio::select! {
            frame = timeout_at(limits.deadline, body.frame()) => frame,
            _ = cut.as_mut() => return Err(RequestReadError::Rejected(ErrorCause::NoMemory)),
        };
        let frame = frame.map_err(|_| RequestReadError::Rejected(ErrorCause::BodyTooSlow))?;
        let Some(frame) = frame else {
            return Ok(buffer.finish());
        };
        let frame = frame.map_err(|_| RequestReadError::CallerGone)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limits.bytes {
            return Err(RequestReadError::Rejected(ErrorCause::BodyTooLarge));
        }
        // A body in one piece needs no copy, but holds the read buffer that it arrived in.
        if buffer.is_empty() && body.is_end_stream() && !memory.is_limited() {
            return Ok(data);
        }
        memory.on_received(data.len());
        if buffer.append(&data).await.is_err() {
            drop(buffer);
            return Err(reject_unread(body, &limits, memory));
        }
    }
}

/// Rejects a request for want of memory, without its body.
fn reject_unread(
    body: Incoming,
    limits: &BodyLimits,
    memory: &CallerMemory,
) -> RequestReadError {
    let held = memory.reserve_discard().filter(|_| limits.discards);
    if let Some(held) = held {
        let until = limits.deadline.min(Instant::now() + DISCARD_TIME);
        spawn_local(async move {
            let _ = timeout_at(until, discard(body)).await;
            drop(held);
        });
    }
    RequestReadError::Rejected(ErrorCause::NoMemory)
}

async fn discard(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}
