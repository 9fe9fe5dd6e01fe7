use {
    super::{
        EngineFaults,
        engine_standin::{SharedEngine, lock},
        engine_state::HeldAdapter,
        engine_stream::{EngineStream, Reader, StreamStep},
        prefix_cache::PrefixCache,
    },
    crate::{
        connection::{
            caller::DropConnection,
            target::{
                AdapterState, EngineOrder, FENCE_HEADER, KEY_HEADER, KvExport, NOT_RUN_HEADER,
                OrderRequest, PRIORITY_HEADER, REQUEST_ID_HEADER, SERVED_MODEL_HEADER,
            },
        },
        version::AdapterVersion,
    },
    axum::{
        Json, Router,
        body::Body,
        extract::{Path, Query, State},
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde::Deserialize,
    serde_json::{Value, json},
    std::{io, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Tokens sent before a stream with the fault `cut_short` ends.
const CUT_AFTER: u64 = 3;

/// How long a finished stream can still be resumed.
const KEPT_AFTER_END: Duration = Duration::from_secs(10);

const DEFAULT_TOKENS: u64 = 16;

/// Another adapter's name, for answers that are wrong on purpose.
const FOREIGN_MODEL: &str = "foreign@0";

type Shared = State<SharedEngine>;

/// The parts of a completion request that the stand-in heeds.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: AdapterVersion,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Option<Value>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    /// Tokens of the answer that the caller already has.
    #[serde(default)]
    continue_from: u64,
}

/// One request as the engine runs it.
struct Job {
    id: String,
    shown_id: String,
    shown_model: String,
    model: AdapterVersion,
    chat: bool,
    first: u64,
    tokens: u64,
    prefill: Duration,
    priority: u32,
    execution: usize,
    boot: u64,
    token_time: Duration,
    abandoned_after: Duration,
    faults: EngineFaults,
}

#[derive(Deserialize)]
struct FromQuery {
    #[serde(default)]
    from: u64,
}

#[derive(Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

pub fn router(state: SharedEngine) -> Router {
    Router::new()
        .route("/v1/completions", post(completions))
        .route("/v1/chat/completions", post(chat_completions))
        .route("/engine/streams/{id}", get(resume).delete(cancel))
        .route("/engine/state", get(report))
        .route("/engine/orders", post(order))
        .route("/engine/cache-events", get(cache_events))
        .route("/engine/kv/{id}", get(kv_export))
        .route("/engine/kv", post(kv_import))
        .route("/control/faults", post(control_faults))
        .route("/control/record", get(control_record))
        .route("/control/restart", post(control_restart))
        .layer(axum::extract::DefaultBodyLimit::disable())
        .with_state(state)
}

async fn completions(
    State(state): Shared,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    complete(state, headers, body, false).await
}

async fn chat_completions(
    State(state): Shared,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    complete(state, headers, body, true).await
}

async fn complete(
    state: SharedEngine,
    headers: HeaderMap,
    body: Bytes,
    chat: bool,
) -> Response {
    let body: CompletionBody = match serde_json::from_slice(&body) {
        Ok(body) => body,
        Err(e) => return refusal(StatusCode::BAD_REQUEST, "bad_json", &e.to_string()),
    };
    let streamed = body.stream;
    let late = lock(&state).faults.late_ms;
    sleep(Duration::from_millis(late)).await;
    let (job, stream) = match accept(&state, &headers, body, chat) {
        Ok(accepted) => accepted,
        Err(refused) => return *refused,
    };
    let head = [
        (REQUEST_ID_HEADER, job.shown_id.clone()),
        (SERVED_MODEL_HEADER, job.shown_model.clone()),
    ];
    let first = job.first;
    let faults = job.faults.clone();
    let reader = stream.enter();
    tokio::spawn(run(state, job, stream.clone()));
    if faults.lose_answers > 0 {
        let mut response = StatusCode::OK.into_response();
        response.extensions_mut().insert(DropConnection);
        return response;
    }
    let content_type = [("content-type", "text/event-stream")];
    match streamed {
        true => (head, content_type, follow(stream, first, reader, faults)).into_response(),
        false => (head, whole(stream, chat).await).into_response(),
    }
}

/// Admits a request: from here on it counts as run.
fn accept(
    state: &SharedEngine,
    headers: &HeaderMap,
    body: CompletionBody,
    chat: bool,
) -> Result<(Job, Arc<EngineStream>), Box<Response>> {
    let mut state = lock(state);
    if let Ok(fence) = text(headers, FENCE_HEADER).parse::<u64>()
        && state.spec.checks_fences
        && fence < state.fence
    {
        state.record.fenced_off += 1;
        return Err(Box::new(refusal(
            StatusCode::CONFLICT,
            "fenced_off",
            "old fence",
        )));
    }
    if EngineFaults::take(&mut state.faults.refuse) {
        return Err(Box::new(refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "busy",
            "refused",
        )));
    }
    if !state.start_using(&body.model) {
        let code = "adapter_not_loaded";
        return Err(Box::new(refusal(
            StatusCode::CONFLICT,
            code,
            body.model.as_str(),
        )));
    }
    let id = text(headers, REQUEST_ID_HEADER);
    let key = text(headers, KEY_HEADER);
    let prompt = match (body.prompt, body.messages) {
        (Some(prompt), _) => prompt,
        (None, Some(messages)) => messages.to_string(),
        (None, None) => String::new(),
    };
    let prefix = PrefixCache::key(body.model.as_str(), &prompt);
    let prefill = match state.cache.touch(prefix) {
        true => Duration::ZERO,
        false => state.spec.prefill_time,
    };
    let faults = take_answer_faults(&mut state.faults);
    let stream = Arc::new(EngineStream::new(body.continue_from));
    state.streams.insert(id.clone(), stream.clone());
    let job = Job {
        execution: state.note_execution(&id, &key, &body.model),
        boot: state.boot,
        shown_id: match faults.foreign_id {
            0 => id.clone(),
            _ => format!("other-{id}"),
        },
        shown_model: match faults.foreign_adapter {
            0 => body.model.to_string(),
            _ => FOREIGN_MODEL.to_string(),
        },
        id,
        model: body.model,
        chat,
        first: body.continue_from,
        tokens: body.max_tokens.unwrap_or(DEFAULT_TOKENS),
        prefill,
        priority: text(headers, PRIORITY_HEADER).parse().unwrap_or(0),
        token_time: state.spec.token_time,
        abandoned_after: state.spec.abandoned_after,
        faults,
    };
    Ok((job, stream))
}

/// Takes the faults that one answer shows: 1 where it shows it, else 0.
fn take_answer_faults(faults: &mut EngineFaults) -> EngineFaults {
    let mut taken = EngineFaults::default();
    let counts = [
        (&mut faults.foreign_adapter, &mut taken.foreign_adapter),
        (&mut faults.foreign_id, &mut taken.foreign_id),
        (&mut faults.doubled_event, &mut taken.doubled_event),
        (&mut faults.skipped_event, &mut taken.skipped_event),
        (&mut faults.swapped_events, &mut taken.swapped_events),
        (&mut faults.cut_short, &mut taken.cut_short),
        (&mut faults.lose_answers, &mut taken.lose_answers),
    ];
    for (left, shown) in counts {
        *shown = EngineFaults::take(left) as u32;
    }
    taken
}

async fn run(
    state: SharedEngine,
    job: Job,
    stream: Arc<EngineStream>,
) {
    let granted = lock(&state).batch.ask(job.priority);
    let in_batch = granted.await.is_ok();
    if in_batch {
        generate(&state, &job, &stream).await;
        lock(&state).batch.release();
    }
    {
        let mut state = lock(&state);
        state.stop_using(&job.model, job.boot);
        state.record.executions[job.execution].cancelled = stream.is_cancelled();
    }
    sleep(KEPT_AFTER_END).await;
    let mut state = lock(&state);
    let ours = state
        .streams
        .get(&job.id)
        .is_some_and(|kept| Arc::ptr_eq(kept, &stream));
    if ours {
        state.streams.remove(&job.id);
    }
}

async fn generate(
    state: &SharedEngine,
    job: &Job,
    stream: &Arc<EngineStream>,
) {
    sleep(job.prefill).await;
    let start = tokio::time::Instant::now();
    for index in job.first..job.tokens {
        let due = job.token_time.mul_f64((index - job.first + 1) as f64);
        tokio::time::sleep_until(start + due).await;
        if stream.is_abandoned(job.abandoned_after) {
            stream.cancel();
        }
        if stream.is_over() || lock(state).boot != job.boot {
            return;
        }
        stream.push(event(job, index));
        lock(state).record.executions[job.execution].tokens += 1;
    }
    lock(state).record.executions[job.execution].finished = true;
    stream.end();
}

fn event(
    job: &Job,
    index: u64,
) -> String {
    let finish = (index + 1 >= job.tokens).then_some("length");
    let text = format!("t{index} ");
    let choice = match job.chat {
        true => json!({"index": 0, "delta": {"content": text}, "finish_reason": finish}),
        false => json!({"index": 0, "text": text, "finish_reason": finish}),
    };
    let object = match job.chat {
        true => "chat.completion.chunk",
        false => "text_completion",
    };
    json!({
        "id": job.shown_id,
        "object": object,
        "model": job.shown_model,
        "choices": [choice],
    })
    .to_string()
}

/// The stream's events from `next` on, as server-sent events, with the faults of its delivery.
fn follow(
    stream: Arc<EngineStream>,
    next: u64,
    reader: Reader,
    faults: EngineFaults,
) -> Body {
    let delivery = Delivery {
        next,
        sent: 0,
        stream,
        faults,
        _reader: reader,
    };
    let lines = futures_util::stream::unfold(Some(delivery), |delivery| async move {
        let mut delivery = delivery?;
        let line = delivery.step().await?;
        Some((line, Some(delivery)))
    });
    Body::from_stream(lines)
}

/// One delivery of a stream to one reader.
struct Delivery {
    stream: Arc<EngineStream>,
    next: u64,
    sent: u64,
    faults: EngineFaults,
    _reader: Reader,
}

impl Delivery {
    async fn step(&mut self) -> Option<Result<Bytes, io::Error>> {
        if self.faults.cut_short > 0 && self.sent >= CUT_AFTER {
            return None;
        }
        self.sent += 1;
        let wanted = self.wanted();
        match self.stream.step(wanted).await {
            StreamStep::Event(event) => Some(Ok(line(wanted, &event))),
            StreamStep::Ended if self.faults.cut_short == u32::MAX => None,
            StreamStep::Ended => {
                self.faults.cut_short = u32::MAX;
                self.sent = CUT_AFTER;
                Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")))
            }
            StreamStep::Broken => Some(Err(io::Error::from(io::ErrorKind::ConnectionAborted))),
        }
    }

    /// The event to send now; a fault strikes at the second one.
    fn wanted(&mut self) -> u64 {
        let at_fault = self.sent == 2;
        if at_fault && self.faults.doubled_event > 0 {
            return self.next - 1;
        }
        if at_fault && self.faults.swapped_events > 0 {
            return self.next + 1;
        }
        if at_fault && self.faults.skipped_event > 0 {
            self.next += 1;
        }
        self.next += 1;
        self.next - 1
    }
}

fn line(
    index: u64,
    event: &str,
) -> Bytes {
    Bytes::from(format!("id: {index}\ndata: {event}\n\n"))
}

async fn whole(
    stream: Arc<EngineStream>,
    chat: bool,
) -> Response {
    let _reader = stream.enter();
    let mut content = String::new();
    let mut last = Value::Null;
    let mut index = 0;
    loop {
        match stream.step(index).await {
            StreamStep::Event(event) => {
                last = serde_json::from_str(&event).unwrap_or_default();
                let pointer = match chat {
                    true => "/choices/0/delta/content",
                    false => "/choices/0/text",
                };
                content += last.pointer(pointer).and_then(Value::as_str).unwrap_or("");
                index += 1;
            }
            StreamStep::Ended => break,
            StreamStep::Broken => {
                let mut response = StatusCode::OK.into_response();
                response.extensions_mut().insert(DropConnection);
                return response;
            }
        }
    }
    let choice = match chat {
        true => json!({
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": "length",
        }),
        false => json!({"index": 0, "text": content, "finish_reason": "length"}),
    };
    let object = match chat {
        true => "chat.completion",
        false => "text_completion",
    };
    Json(json!({
        "id": last["id"],
        "object": object,
        "model": last["model"],
        "choices": [choice],
        "usage": {"completion_tokens": index},
    }))
    .into_response()
}

async fn resume(
    State(state): Shared,
    Path(id): Path<String>,
    Query(query): Query<FromQuery>,
) -> Response {
    let Some(stream) = lock(&state).streams.get(&id).cloned() else {
        return refusal(StatusCode::NOT_FOUND, "no_such_stream", &id);
    };
    let reader = stream.enter();
    let head = [(REQUEST_ID_HEADER, id)];
    let content_type = [("content-type", "text/event-stream")];
    let events = follow(stream, query.from, reader, EngineFaults::default());
    (head, content_type, events).into_response()
}

async fn cancel(
    State(state): Shared,
    Path(id): Path<String>,
) -> StatusCode {
    match lock(&state).streams.get(&id).cloned() {
        Some(stream) if !stream.is_over() => {
            stream.cancel();
            StatusCode::NO_CONTENT
        }
        _ => StatusCode::NOT_FOUND,
    }
}

async fn report(State(state): Shared) -> Response {
    let state = lock(&state);
    let (made, report) = &state.last_report;
    let mut report = report.clone();
    report.age_ms = made.elapsed().as_millis() as u64;
    Json(report).into_response()
}

async fn order(
    State(state): Shared,
    Json(request): Json<OrderRequest>,
) -> Response {
    if !lock(&state).admits_fence(request.fence) {
        return refusal(StatusCode::CONFLICT, "fenced_off", "old fence");
    }
    let done = match request.order {
        EngineOrder::Raise => Ok(()),
        EngineOrder::LoadAdapter { model } => load(&state, model).await,
        EngineOrder::UnloadAdapter { model } => unload(&state, &model),
        EngineOrder::LoadModel { base_model } => {
            lock(&state).base_model = base_model;
            Ok(())
        }
        EngineOrder::SetRole { role } => {
            lock(&state).role = role;
            Ok(())
        }
    };
    if EngineFaults::take(&mut lock(&state).faults.lose_orders) {
        let mut response = StatusCode::OK.into_response();
        response.extensions_mut().insert(DropConnection);
        return response;
    }
    match done {
        Ok(()) => Json(json!({"done": true})).into_response(),
        Err(refused) => *refused,
    }
}

async fn load(
    state: &SharedEngine,
    model: AdapterVersion,
) -> Result<(), Box<Response>> {
    let (boot, weight_store, fails, hangs) = {
        let mut state = lock(state);
        if state.adapters.contains_key(&model) {
            return Ok(());
        }
        if state.adapters.len() >= state.spec.adapter_slots {
            let full = refusal(StatusCode::CONFLICT, "no_adapter_slot", model.as_str());
            return Err(Box::new(full));
        }
        let held = HeldAdapter {
            state: AdapterState::Loading,
            using: 0,
        };
        state.adapters.insert(model.clone(), held);
        let fails = EngineFaults::take(&mut state.faults.fail_loads);
        let hangs = EngineFaults::take(&mut state.faults.hang_loads);
        (state.boot, state.spec.weight_store, fails, hangs)
    };
    if hangs {
        std::future::pending::<()>().await;
    }
    let fetched = match weight_store {
        Some(address) => fetch(address).await,
        None => true,
    };
    let mut state = lock(state);
    let same_boot = state.boot == boot;
    if !same_boot || !fetched || fails {
        if same_boot {
            state.adapters.remove(&model);
        }
        let failed = refusal(StatusCode::BAD_GATEWAY, "load_failed", model.as_str());
        return Err(Box::new(failed));
    }
    state.record.loads += 1;
    if let Some(held) = state.adapters.get_mut(&model) {
        held.state = AdapterState::Ready;
    }
    Ok(())
}

async fn fetch(address: std::net::SocketAddr) -> bool {
    let client = Client::builder(TokioExecutor::new()).build_http::<Body>();
    let request = axum::http::Request::post(format!("http://{address}/weights/fetch"))
        .body(Body::empty())
        .expect("the address makes a valid URI");
    match client.request(request).await {
        Ok(response) => {
            let well = response.status().is_success();
            well && response.into_body().collect().await.is_ok()
        }
        Err(_) => false,
    }
}

fn unload(
    state: &SharedEngine,
    model: &AdapterVersion,
) -> Result<(), Box<Response>> {
    let mut state = lock(state);
    if let Some(held) = state.adapters.remove(model) {
        state.record.unloads += 1;
        if held.using > 0 {
            state.record.unloaded_in_use += 1;
        }
    }
    Ok(())
}

async fn cache_events(
    State(state): Shared,
    Query(query): Query<AfterQuery>,
) -> Response {
    Json(lock(&state).cache.events_after(query.after)).into_response()
}

async fn kv_export(
    State(state): Shared,
    Path(id): Path<String>,
) -> Response {
    let state = lock(&state);
    let found = state
        .record
        .executions
        .iter()
        .rev()
        .find(|execution| execution.request_id == id);
    match found {
        Some(execution) => Json(KvExport {
            model: execution.model.clone(),
            prefix: PrefixCache::key(execution.model.as_str(), ""),
            tokens: execution.tokens,
        })
        .into_response(),
        None => refusal(StatusCode::NOT_FOUND, "no_such_stream", &id),
    }
}

async fn kv_import(
    State(state): Shared,
    Json(export): Json<KvExport>,
) -> StatusCode {
    lock(&state).cache.touch(export.prefix);
    StatusCode::NO_CONTENT
}

async fn control_faults(
    State(state): Shared,
    Json(faults): Json<EngineFaults>,
) -> StatusCode {
    lock(&state).faults = faults;
    StatusCode::NO_CONTENT
}

async fn control_record(State(state): Shared) -> Response {
    Json(lock(&state).full_record()).into_response()
}

async fn control_restart(State(state): Shared) -> StatusCode {
    lock(&state).restart();
    StatusCode::NO_CONTENT
}

fn refusal(
    status: StatusCode,
    code: &str,
    message: &str,
) -> Response {
    let body = json!({"error": {"code": code, "message": message}});
    (status, [(NOT_RUN_HEADER, "true")], Json(body)).into_response()
}

fn text(
    headers: &HeaderMap,
    name: &str,
) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string()
}
