use {
    super::{ErrorAnswer, Outcome, answer_body::AnswerBody},
    crate::{
        clock::Instant,
        errors::RequestError,
        process::{
            control::{SharedView, View},
            membership::Liveness,
            node::ActiveWork,
            settings::CallerLimits,
        },
        request::{
            AnswerHead, AnswerPart, CallerRequest, EntryEnd, EntryService, HEADER_OUTCOME,
            HEADER_REQUEST_ID, RateLimits, RequestHead, RequestParser, engine_candidates,
        },
        version::AdapterVersion,
    },
    axum::{
        Json, Router,
        body::Body,
        extract::{Path, Query, Request, State},
        http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, request::Parts},
        middleware::{self, Next},
        response::{IntoResponse, Response},
        routing::{any, get, post},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Body as _,
    rand::RngExt,
    serde::Deserialize,
    serde_json::json,
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::{mpsc, oneshot},
};

/// Parts of an answer that wait for a slow caller.
const PARTS_AHEAD: usize = 64;

/// Largest head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;

/// Addresses named in one entry answer, at the most.
const ENTRIES: usize = 4;

/// In answers: time that the request waited for its adapter to be loaded, in milliseconds.
const HEADER_LOAD_WAIT: &str = "x-coveproxy-load-wait-ms";

/// In answers: the target that gave the answer.
const HEADER_TARGET: &str = "x-coveproxy-target";

/// In answers: `true` when the answer is the one that an earlier attempt got.
const HEADER_REPLAYED: &str = "x-coveproxy-replayed";

/// What the callers' front needs from its process.
pub struct FrontContext {
    pub view: SharedView,
    pub entry: EntryService,
    pub limits: CallerLimits,
    pub hall: String,
    pub own_address: SocketAddr,
    pub active: ActiveWork,
    pub rates: RateLimits,
}

/// The addresses that callers call.
pub struct CallerFront;

type Context = State<Arc<FrontContext>>;

#[derive(Deserialize)]
struct EntryQuery {
    model: Option<String>,
    hall: Option<String>,
}

impl CallerFront {
    pub fn router(context: Arc<FrontContext>) -> Router {
        Router::new()
            .route("/v1/completions", post(model_call))
            .route("/v1/chat/completions", post(model_call))
            .route("/v1/models", get(models))
            .route("/v1/entry", get(entry))
            .route("/v1/services/{service}/{*path}", any(plain_call))
            .route("/v1/outcomes/{service}/{key}", get(outcome))
            .method_not_allowed_fallback(method_not_allowed)
            .fallback(unknown_path)
            .layer(middleware::from_fn(check_head))
            .with_state(context)
    }
}

/// Refuses a head that is larger than any caller needs.
async fn check_head(
    request: Request,
    next: Next,
) -> Response {
    let size = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len();
    let headers: usize = request.headers().iter().map(size).sum();
    let path = request.uri().path_and_query();
    if headers + path.map_or(0, |path| path.as_str().len()) <= MAX_HEAD {
        return next.run(request).await;
    }
    let error = RequestError::HeadTooLarge { limit: MAX_HEAD };
    ErrorAnswer::from_request_error(&error, &new_id(), request.headers()).into_response()
}

async fn model_call(
    State(context): Context,
    request: Request,
) -> Response {
    let path = request.uri().path().to_string();
    serve(context, request, move |parser, head, body| {
        parser.model_request(head, &path, body)
    })
    .await
}

async fn plain_call(
    State(context): Context,
    Path((service, path)): Path<(String, String)>,
    request: Request,
) -> Response {
    let path = match request.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    serve(context, request, move |parser, head, body| {
        parser.plain_request(head, &service, path, body)
    })
    .await
}

/// Checks a request in, runs it and answers it.
async fn serve(
    context: Arc<FrontContext>,
    request: Request,
    parse: impl FnOnce(&RequestParser, RequestHead, Bytes) -> Result<CallerRequest, RequestError>,
) -> Response {
    let id = new_id();
    let (head, body) = request.into_parts();
    match check_in(&context, &id, &head, body, parse).await {
        Ok(request) => answer(context, request).await,
        Err(error) => ErrorAnswer::from_request_error(&error, &id, &head.headers).into_response(),
    }
}

async fn check_in(
    context: &FrontContext,
    id: &str,
    head: &Parts,
    body: Body,
    parse: impl FnOnce(&RequestParser, RequestHead, Bytes) -> Result<CallerRequest, RequestError>,
) -> Result<CallerRequest, RequestError> {
    let arrived = Instant::now();
    let view = ready_view(context)?;
    let parser = RequestParser {
        config: &view.config,
    };
    // Whoever has no key, or sends too much, has no body read either.
    let service = parser.authenticate(&head.headers)?;
    check_rate(context, &view, service, arrived)?;
    let body = read_body(context, body).await?;
    let head = RequestHead {
        id: id.to_string(),
        method: head.method.clone(),
        headers: &head.headers,
        arrived,
    };
    parse(&parser, head, body)
}

/// Holds a service to this host's share of its rate.
fn check_rate(
    context: &FrontContext,
    view: &View,
    service: &str,
    now: Instant,
) -> Result<(), RequestError> {
    let rate = view
        .config
        .services
        .get(service)
        .map_or(0.0, |spec| spec.rate);
    let share = rate / view.eligible.len().max(1) as f64;
    match context.rates.admit(service, share, now) {
        true => Ok(()),
        false => Err(RequestError::RateExceeded(rate)),
    }
}

fn ready_view(context: &FrontContext) -> Result<Arc<View>, RequestError> {
    let view = context.view.load_full();
    match view.ready {
        true => Ok(view),
        false => Err(RequestError::NotReady),
    }
}

async fn read_body(
    context: &FrontContext,
    body: Body,
) -> Result<Bytes, RequestError> {
    let limit = context.limits.body_bytes;
    // A body that says its size is refused before it is read.
    if body.size_hint().lower() > limit as u64 {
        return Err(RequestError::BodyTooLarge { limit });
    }
    let time = context.limits.body_timeout;
    let read = Limited::new(body, limit).collect();
    match tokio::time::timeout(time, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(RequestError::BodyTooLarge { limit }),
        Ok(Err(_)) => Err(RequestError::BodyCut),
        Err(_) => Err(RequestError::BodyTooSlow {
            limit_ms: time.as_millis() as u64,
        }),
    }
}

/// Runs a request and writes its answer; the work ends when the caller hangs up.
async fn answer(
    context: Arc<FrontContext>,
    request: CallerRequest,
) -> Response {
    let (out, mut parts) = mpsc::channel(PARTS_AHEAD);
    let (tell, end) = oneshot::channel();
    let id = request.id.clone();
    let stream = request.stream;
    tokio::spawn(async move {
        let _active = context.active.enter();
        let end = context.entry.serve(&request, &out).await;
        // The receiver takes this for the end of the parts.
        drop(out);
        let _ = tell.send(end);
    });
    match parts.recv().await {
        Some(AnswerPart::Head(head)) if stream && head.status.is_success() => {
            let body = AnswerBody::events(parts, end, &id);
            with_head(&head, &id, None, Body::new(body))
        }
        Some(AnswerPart::Head(head)) => match gather(&mut parts).await {
            Some(body) => with_head(&head, &id, Some(Outcome::Answered), Body::from(body)),
            None => ended(end, &id).await,
        },
        _ => ended(end, &id).await,
    }
}

/// The whole body; none when it did not come whole.
async fn gather(parts: &mut mpsc::Receiver<AnswerPart>) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(part) = parts.recv().await {
        if let AnswerPart::Events { data, .. } = part {
            body.extend_from_slice(&data);
        }
    }
    Some(body.freeze())
}

async fn ended(
    end: oneshot::Receiver<EntryEnd>,
    id: &str,
) -> Response {
    let (refusal, outcome) = match end.await {
        Ok(EntryEnd::NotRun(refusal)) => (refusal, Outcome::NotRun),
        Ok(EntryEnd::Unknown(refusal)) => (refusal, Outcome::Unknown),
        // Nobody reads this answer, or the host stops at once.
        _ => return StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    };
    ErrorAnswer::from_refusal(&refusal, outcome, id).into_response()
}

fn with_head(
    head: &AnswerHead,
    id: &str,
    outcome: Option<Outcome>,
    body: Body,
) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    let headers = response.headers_mut();
    *headers = head.headers.clone();
    set(headers, HEADER_REQUEST_ID, id);
    set(headers, HEADER_TARGET, &head.target);
    let load_wait = head.load_wait.as_millis() as u64;
    headers.insert(HEADER_LOAD_WAIT, HeaderValue::from(load_wait));
    if head.replayed {
        headers.insert(HEADER_REPLAYED, HeaderValue::from_static("true"));
    }
    if let Some(outcome) = outcome {
        set(headers, HEADER_OUTCOME, outcome.word());
    } else {
        headers.insert("trailer", HeaderValue::from_static(HEADER_OUTCOME));
    }
    response
}

fn set(
    headers: &mut HeaderMap,
    name: &'static str,
    value: &str,
) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

async fn models(
    State(context): Context,
    headers: HeaderMap,
) -> Response {
    let id = new_id();
    let listed = ready_view(&context).and_then(|view| {
        let parser = RequestParser {
            config: &view.config,
        };
        parser.authenticate(&headers)?;
        let model = |(version, base): (&AdapterVersion, &Arc<str>)| {
            json!({"id": version.as_str(), "object": "model", "owned_by": base.as_ref()})
        };
        let data: Vec<_> = view.config.adapters.iter().map(model).collect();
        Ok(json!({"object": "list", "data": data}))
    });
    match listed {
        Ok(list) => Json(list).into_response(),
        Err(error) => ErrorAnswer::from_request_error(&error, &id, &headers).into_response(),
    }
}

/// Which hosts to use, the best first, and for how long.
async fn entry(
    State(context): Context,
    Query(query): Query<EntryQuery>,
) -> Response {
    let view = context.view.load_full();
    let hall = query.hall.as_deref().unwrap_or(&context.hall);
    let owner = owner_of(&view, query.model.as_deref());
    let mut hosts: Vec<(u8, String, SocketAddr)> = view
        .hosts
        .iter()
        .filter(|(_, host)| host.takes_callers && host.liveness == Liveness::Alive)
        .map(|(name, host)| {
            let near = host.hall == hall;
            (
                preference(&owner, name, near),
                name.clone(),
                host.caller_address,
            )
        })
        .collect();
    if view.takes_callers {
        let near = context.hall == hall;
        let place = preference(&owner, &view.me, near);
        hosts.push((place, view.me.clone(), context.own_address));
    }
    spread(&mut hosts);
    hosts.truncate(ENTRIES);
    let addresses: Vec<String> = hosts.iter().map(|host| host.2.to_string()).collect();
    Json(json!({
        "addresses": addresses,
        "life_ms": context.limits.entry_life.as_millis() as u64,
    }))
    .into_response()
}

fn owner_of(
    view: &View,
    model: Option<&str>,
) -> Option<String> {
    let model: AdapterVersion = model?.parse().ok()?;
    let target = engine_candidates(&view.config, &model).into_iter().next()?;
    view.owners.get(&target).map(|owner| owner.host.clone())
}

/// The owner of the adapter's engine first, then hosts of the caller's hall, then the others.
fn preference(
    owner: &Option<String>,
    host: &str,
    near: bool,
) -> u8 {
    match (owner.as_deref() == Some(host), near) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    }
}

/// Hosts that are equally good come in a random order, so that callers spread.
fn spread(hosts: &mut [(u8, String, SocketAddr)]) {
    let mut rng = rand::rng();
    hosts.sort_by_cached_key(|host| (host.0, rng.random::<u32>()));
}

async fn outcome(
    State(context): Context,
    Path((service, key)): Path<(String, String)>,
    headers: HeaderMap,
) -> Response {
    let id = new_id();
    let allowed = ready_view(&context).and_then(|view| {
        let parser = RequestParser {
            config: &view.config,
        };
        match parser.authenticate(&headers)? == service {
            true => Ok(()),
            false => Err(RequestError::WrongKey),
        }
    });
    if let Err(error) = allowed {
        return ErrorAnswer::from_request_error(&error, &id, &headers).into_response();
    }
    let found = context.entry.outcome(&service, &key).await;
    let known = !found.outcome.is_empty();
    let outcome = match known {
        true => found.outcome.as_str(),
        false => "not_on_record",
    };
    Json(json!({"outcome": outcome, "request_id": found.request_id})).into_response()
}

async fn method_not_allowed(
    method: Method,
    headers: HeaderMap,
) -> Response {
    let error = RequestError::MethodNotAllowed(method.to_string());
    ErrorAnswer::from_request_error(&error, &new_id(), &headers).into_response()
}

async fn unknown_path(
    uri: Uri,
    headers: HeaderMap,
) -> Response {
    let error = RequestError::UnknownPath(uri.path().to_string());
    ErrorAnswer::from_request_error(&error, &new_id(), &headers).into_response()
}

/// A request id that no other request has.
fn new_id() -> String {
    format!("req-{:032x}", rand::rng().random::<u128>())
}
