use {
    super::{
        EngineFaults,
        engine_delivery::{follow, whole},
        engine_job::{CompletionBody, accept, run},
        engine_orders::order,
        engine_standin::{SharedEngine, lock},
        prefix_cache::PrefixCache,
    },
    crate::connection::{
        caller::DropConnection,
        target::{KvExport, NOT_RUN_HEADER, REQUEST_ID_HEADER, SERVED_MODEL_HEADER},
    },
    axum::{
        Json, Router,
        extract::{Path, Query, State},
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    bytes::Bytes,
    serde::Deserialize,
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep,
};

pub type Shared = State<SharedEngine>;

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

pub fn refusal(
    status: StatusCode,
    code: &str,
    message: &str,
) -> Response {
    let body = json!({"error": {"code": code, "message": message}});
    (status, [(NOT_RUN_HEADER, "true")], Json(body)).into_response()
}
