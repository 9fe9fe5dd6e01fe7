//! The whole path with real processes: the callers' interface in a table of good and bad requests.

mod support;

use {
    bytes::Bytes,
    coveproxy::{
        client::{CallSpec, SeenOutcome},
        clock::Instant,
    },
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    support::{Bed, BedPlan, model, wait_for},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
    },
};

type Http = Client<HttpConnector, Full<Bytes>>;

/// One request and what must come back.
struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    /// The error's code; empty for an answer.
    code: &'static str,
}

const NOTES: (&str, &str) = ("authorization", "Bearer key-notes");
const SEATS: (&str, &str) = ("authorization", "Bearer key-seats");
const GOOD: &str = r#"{"model":"adapter-1@1","prompt":"log","max_tokens":4}"#;

const fn case(
    name: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
    code: &'static str,
) -> Case {
    Case {
        name,
        method: "POST",
        path: "/v1/completions",
        headers,
        body,
        status,
        code,
    }
}

const fn at(
    method: &'static str,
    path: &'static str,
    case: Case,
) -> Case {
    Case {
        method,
        path,
        ..case
    }
}

const CASES: &[Case] = &[
    case("completion", &[NOTES], GOOD, 200, ""),
    case(
        "service named",
        &[NOTES, ("x-coveproxy-service", "notes")],
        GOOD,
        200,
        "",
    ),
    case(
        "outfitter",
        &[NOTES, ("x-coveproxy-outfitter", "hill")],
        GOOD,
        200,
        "",
    ),
    case(
        "kind",
        &[NOTES, ("x-coveproxy-kind", "booking")],
        GOOD,
        200,
        "",
    ),
    case(
        "deadline",
        &[NOTES, ("x-coveproxy-deadline-ms", "9000")],
        GOOD,
        200,
        "",
    ),
    case(
        "narrowed",
        &[NOTES, ("x-coveproxy-repeatable", "false")],
        GOOD,
        200,
        "",
    ),
    case("header twice alike", &[NOTES, NOTES], GOOD, 200, ""),
    at(
        "POST",
        "/v1/chat/completions",
        case(
            "chat",
            &[NOTES],
            r#"{"model":"adapter-1@1","messages":[{"role":"user","content":"x"}]}"#,
            200,
            "",
        ),
    ),
    at("GET", "/v1/models", case("models", &[NOTES], "", 200, "")),
    at("GET", "/v1/entry", case("entry", &[], "", 200, "")),
    at(
        "GET",
        "/v1/entry?model=adapter-1@1",
        case("entry for a model", &[], "", 200, ""),
    ),
    at(
        "GET",
        "/v1/services/seats/free?van=2",
        case("plain get", &[SEATS], "", 200, ""),
    ),
    at(
        "PUT",
        "/v1/services/seats/a/b",
        case("plain put", &[SEATS], "x", 200, ""),
    ),
    case("no key", &[], GOOD, 401, "wrong_key"),
    case(
        "wrong key",
        &[("authorization", "Bearer nope")],
        GOOD,
        401,
        "wrong_key",
    ),
    case(
        "no bearer",
        &[("authorization", "Basic key-notes")],
        GOOD,
        401,
        "wrong_key",
    ),
    case(
        "key of another service",
        &[NOTES, ("x-coveproxy-service", "seats")],
        GOOD,
        401,
        "wrong_key",
    ),
    case("broken json", &[NOTES], r#"{"model":"#, 400, "bad_json"),
    case("no json", &[NOTES], "hello", 400, "bad_json"),
    case("empty body", &[NOTES], "", 400, "bad_json"),
    case("no model", &[NOTES], r#"{"prompt":"x"}"#, 400, "bad_field"),
    case(
        "no version",
        &[NOTES],
        r#"{"model":"adapter-1"}"#,
        400,
        "bad_model",
    ),
    case(
        "unknown adapter",
        &[NOTES],
        r#"{"model":"nobody@1"}"#,
        404,
        "unknown_model",
    ),
    case(
        "unknown version",
        &[NOTES],
        r#"{"model":"adapter-1@9"}"#,
        404,
        "unknown_model",
    ),
    case(
        "no tokens",
        &[NOTES],
        r#"{"model":"adapter-1@1","max_tokens":0}"#,
        400,
        "bad_field",
    ),
    case(
        "unknown kind",
        &[NOTES, ("x-coveproxy-kind", "none")],
        GOOD,
        403,
        "kind_not_allowed",
    ),
    case(
        "unknown outfitter",
        &[NOTES, ("x-coveproxy-outfitter", "none")],
        GOOD,
        400,
        "unknown_outfitter",
    ),
    case(
        "bad deadline",
        &[NOTES, ("x-coveproxy-deadline-ms", "soon")],
        GOOD,
        400,
        "bad_header",
    ),
    case(
        "no time",
        &[NOTES, ("x-coveproxy-deadline-ms", "0")],
        GOOD,
        400,
        "bad_header",
    ),
    case(
        "bad repeatable",
        &[NOTES, ("x-coveproxy-repeatable", "1")],
        GOOD,
        400,
        "bad_header",
    ),
    case(
        "widened",
        &[
            NOTES,
            ("x-coveproxy-kind", "booking"),
            ("x-coveproxy-repeatable", "true"),
        ],
        GOOD,
        400,
        "bad_header",
    ),
    case(
        "attempt without key",
        &[NOTES, ("x-coveproxy-attempt", "2")],
        GOOD,
        400,
        "bad_header",
    ),
    case(
        "attempt 0",
        &[NOTES, ("x-coveproxy-attempt", "0")],
        GOOD,
        400,
        "bad_header",
    ),
    case(
        "key with a slash",
        &[NOTES, ("idempotency-key", "a/b")],
        GOOD,
        400,
        "bad_header",
    ),
    case(
        "header twice unlike",
        &[
            NOTES,
            ("x-coveproxy-kind", "live"),
            ("x-coveproxy-kind", "booking"),
        ],
        GOOD,
        400,
        "bad_header",
    ),
    at(
        "GET",
        "/v1/nothing",
        case("unknown path", &[NOTES], "", 404, "unknown_path"),
    ),
    at(
        "GET",
        "/v1/completions",
        case("wrong method", &[NOTES], "", 405, "method_not_allowed"),
    ),
    at(
        "GET",
        "/v1/models",
        case("models without key", &[], "", 401, "wrong_key"),
    ),
    at(
        "GET",
        "/v1/services/none/x",
        case("unknown service", &[SEATS], "", 404, "unknown_service"),
    ),
    at(
        "GET",
        "/v1/services/notes/x",
        case("no plain service", &[NOTES], "", 404, "unknown_service"),
    ),
    at(
        "GET",
        "/v1/services/seats/x",
        case("plain, key of another", &[NOTES], "", 401, "wrong_key"),
    ),
    at(
        "GET",
        "/v1/outcomes/seats/k",
        case("outcome, key of another", &[NOTES], "", 401, "wrong_key"),
    ),
];

fn http() -> Http {
    Client::builder(TokioExecutor::new()).build_http()
}

async fn call(
    http: &Http,
    host: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> (StatusCode, HeaderMap, Bytes) {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{host}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).unwrap();
    let response = http.request(request).await.unwrap();
    let (head, body) = response.into_parts();
    (
        head.status,
        head.headers,
        body.collect().await.unwrap().to_bytes(),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_interface() {
    let bed = Bed::start(BedPlan::default()).await;
    let http = http();
    let mut wrong = Vec::new();
    for (at, case) in CASES.iter().enumerate() {
        let host = bed.hosts[at % bed.hosts.len()].callers;
        let answer = call(&http, host, case.method, case.path, case.headers, case.body).await;
        if let Err(problem) = check(case, &answer) {
            wrong.push(format!("{}: {problem}: {answer:?}", case.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

fn check(
    case: &Case,
    answer: &(StatusCode, HeaderMap, Bytes),
) -> Result<(), String> {
    let (status, headers, body) = answer;
    if status.as_u16() != case.status {
        return Err(format!("status is not {}", case.status));
    }
    let value: Value = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if case.code.is_empty() {
        return Ok(());
    }
    // Of a later attempt it is not known whether an earlier one ran.
    let later = case
        .headers
        .iter()
        .any(|(name, _)| *name == "x-coveproxy-attempt");
    let outcome = if later { "unknown" } else { "not_run" };
    let error = &value["error"];
    let right = error["code"] == case.code
        && error["message"].is_string()
        && error["type"].is_string()
        && error["outcome"] == outcome
        && headers["x-coveproxy-outcome"] == outcome
        && headers["x-coveproxy-request-id"] == error["request_id"].as_str().unwrap_or("");
    right
        .then_some(())
        .ok_or("the error is not as documented".into())
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_and_named() {
    let bed = Bed::start(BedPlan::default()).await;
    let host = bed.hosts[0].callers;
    let http = http();
    let (_, headers, body) = call(&http, host, "POST", "/v1/completions", &[NOTES], GOOD).await;
    let value: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(value["choices"][0]["text"], "t0 t1 t2 t3 ");
    assert_eq!(value["model"], "adapter-1@1");
    assert_eq!(headers["x-coveproxy-outcome"], "answered");
    assert!(headers.contains_key("x-coveproxy-request-id"));

    let streamed = r#"{"model":"adapter-2@1","prompt":"x","max_tokens":3,"stream":true}"#;
    let trailers = [NOTES, ("te", "trailers")];
    let (_, headers, body) =
        call(&http, host, "POST", "/v1/completions", &trailers, streamed).await;
    let text = String::from_utf8(body.to_vec()).unwrap();
    assert_eq!(headers["content-type"], "text/event-stream");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert!(text.contains(": outcome=answered request=req-"), "{text}");
    assert_eq!(text.matches("\ndata: {").count(), 3, "{text}");

    let (_, _, body) = call(&http, host, "GET", "/v1/models", &[NOTES], "").await;
    let list: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(list["data"].as_array().unwrap().len(), bed.plan.adapters);
    let (_, _, body) = call(
        &http,
        host,
        "PUT",
        "/v1/services/seats/a/b?c=d",
        &[SEATS],
        "body",
    )
    .await;
    let echo: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(
        (&echo["path"], &echo["method"]),
        (&json!("/a/b?c=d"), &json!("PUT"))
    );
    assert_eq!(echo["body"], "body");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_wherever_it_is_sent() {
    let bed = Bed::start(BedPlan::default()).await;
    let mut spec = CallSpec::plain("key-seats", "seats", "book");
    let mut calls = JoinSet::new();
    for at in 0..12 {
        // The first number alone says that nothing can have run; the others must find the first.
        spec.key = Some(("seat-1".into(), if at < 6 { 1 } else { 2 }));
        let (client, spec) = (bed.client.clone(), spec.clone());
        let host = bed.hosts[at % bed.hosts.len()].callers;
        calls.spawn(async move {
            let began = Instant::now();
            client.call_at(host, &spec, began).await.unwrap()
        });
    }
    let results = calls.join_all().await;
    assert_eq!(runs(&bed, "seat-1"), 1, "{results:#?}");
    let answers = results
        .iter()
        .filter(|r| r.outcome == SeenOutcome::Answered);
    assert!(answers.clone().count() >= 6, "{results:#?}");
    assert!(answers.clone().all(|answer| answer.text.contains("seat-1")));
    let host = bed.hosts[3].callers;
    let (_, _, body) = call(
        &http(),
        host,
        "GET",
        "/v1/outcomes/seats/seat-1",
        &[SEATS],
        "",
    )
    .await;
    let outcome: Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(outcome["outcome"], "answered");
    // Without a number the caller does not say whether it sent the key before.
    let unnumbered = [SEATS, ("idempotency-key", "seat-1")];
    let (status, headers, _) = call(
        &http(),
        host,
        "POST",
        "/v1/services/seats/book",
        &unnumbered,
        "",
    )
    .await;
    assert_eq!((status.as_u16(), runs(&bed, "seat-1")), (200, 1));
    assert_eq!(headers["x-coveproxy-replayed"], "true");
    // A later attempt whose first is on no record is not run.
    let later = [
        SEATS,
        ("idempotency-key", "seat-2"),
        ("x-coveproxy-attempt", "2"),
    ];
    let (status, headers, _) =
        call(&http(), host, "POST", "/v1/services/seats/book", &later, "").await;
    assert_eq!((status.as_u16(), runs(&bed, "seat-2")), (409, 0));
    assert_eq!(headers["x-coveproxy-outcome"], "unknown");
}

fn runs(
    bed: &Bed,
    key: &str,
) -> u32 {
    let counts = bed.plain.iter().map(|target| target.record().runs);
    counts.filter_map(|runs| runs.get(key).copied()).sum()
}

/// Bytes that a bad caller sends, and the status line that it gets; none is a closed connection.
const RAW: &[(&str, &str, Option<&str>)] = &[
    ("garbage", "\x01\x02\r\n\r\n", Some("HTTP/1.1 400")),
    (
        "slow head",
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\n",
        None,
    ),
    (
        "slow body",
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-notes\r\n\
         content-length: 100\r\n\r\n{",
        Some("HTTP/1.1 408"),
    ),
    (
        "large body",
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-notes\r\n\
         content-length: 10000000\r\n\r\n{",
        Some("HTTP/1.1 413"),
    ),
    (
        "lengths that differ",
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\n{}",
        Some("HTTP/1.1 400"),
    ),
];

#[tokio::test(flavor = "multi_thread")]
async fn bad_senders_harm_nobody() {
    let bed = Bed::start(BedPlan::default()).await;
    let host = bed.hosts[0].callers;
    let mut bad = JoinSet::new();
    for (name, bytes, wanted) in RAW {
        bad.spawn(async move { (name, raw(host, bytes).await, wanted) });
    }
    let huge = format!(
        "GET /v1/entry HTTP/1.1\r\nx: {}\r\n\r\n",
        "a".repeat(100_000)
    );
    let http = http();
    for _ in 0..20 {
        let (status, ..) = call(&http, host, "POST", "/v1/completions", &[NOTES], GOOD).await;
        assert_eq!(status, 200);
    }
    let answer = raw(host, &huge).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    for (name, answer, wanted) in bad.join_all().await {
        match wanted {
            Some(wanted) => assert!(answer.starts_with(wanted), "{name}: {answer:?}"),
            None => assert!(
                answer.is_empty() || answer.contains("408"),
                "{name}: {answer:?}"
            ),
        }
    }
}

/// Sends bytes and reads until the host closes or answers.
async fn raw(
    host: SocketAddr,
    bytes: &str,
) -> String {
    let mut stream = TcpStream::connect(host).await.unwrap();
    let _ = stream.write_all(bytes.as_bytes()).await;
    let mut answer = vec![0; 4096];
    let read = stream.read(&mut answer).await.unwrap_or(0);
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_half_closed_caller_gets_its_answer() {
    let bed = Bed::start(BedPlan::default()).await;
    let mut stream = TcpStream::connect(bed.hosts[0].callers).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-notes\r\n\
         content-length: {}\r\n\r\n{GOOD}",
        GOOD.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.contains("t0 t1 t2 t3 "), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_hangs_up_cancels_its_work() {
    let bed = Bed::start(BedPlan::default()).await;
    let body = r#"{"model":"adapter-1@1","prompt":"x","max_tokens":100000,"stream":true}"#;
    let mut stream = TcpStream::connect(bed.hosts[0].callers).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-notes\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut first = vec![0; 64];
    stream.read_exact(&mut first).await.unwrap();
    drop(stream);
    wait_for("the cancellation", async || {
        let records = bed.engines.iter().map(|engine| engine.record());
        let mut executions = records.flat_map(|record| record.executions);
        executions
            .any(|execution| execution.cancelled)
            .then_some(())
    })
    .await;
}

/// Streams opened together, all of which must progress; more than a host has threads for.
#[rstest::rstest]
#[case(200)]
#[case(2000)]
#[tokio::test(flavor = "multi_thread")]
async fn many_connections_all_progress(#[case] count: usize) {
    let bed = Bed::start(BedPlan::default()).await;
    let host = bed.hosts[0].callers;
    let client = Arc::new(coveproxy::client::CallerClient::new(vec![host]));
    let mut calls = JoinSet::new();
    for at in 0..count {
        let client = client.clone();
        // Half the calls are for a plain service, so that the engines' batches are not the limit.
        let mut spec = match at % 2 {
            0 => CallSpec::completion("key-notes", model(at % 2), 2, true),
            _ => CallSpec::plain("key-seats", "seats", "book"),
        };
        spec.deadline = Some(Duration::from_secs(20));
        calls.spawn(async move {
            let began = Instant::now();
            client.call_at(host, &spec, began).await
        });
    }
    let results = calls.join_all().await;
    let ended = results.iter().flatten().filter(|result| result.status > 0);
    assert_eq!(ended.count(), count, "every connection gets an answer");
    let unknown = results
        .iter()
        .flatten()
        .filter(|r| r.outcome == SeenOutcome::Unknown);
    assert_eq!(unknown.count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_answers_lead_to_owners_and_away_from_leaving_hosts() {
    let mut bed = Bed::start(BedPlan::default()).await;
    let http = http();
    let (_, _, body) = call(
        &http,
        bed.hosts[0].callers,
        "GET",
        "/v1/entry?model=adapter-1@1",
        &[],
        "",
    )
    .await;
    let entry: Value = serde_json::from_slice(&body).unwrap();
    let best: SocketAddr = entry["addresses"][0].as_str().unwrap().parse().unwrap();
    let spec = CallSpec::completion("key-notes", model(1), 4, true);
    let began = Instant::now();
    let result = bed.client.call_at(best, &spec, began).await.unwrap();
    let owner = bed.owner(&result.target).await;
    assert_eq!(best, bed.hosts[owner].callers, "{entry}");
    bed.hosts[owner].signal("-TERM");
    let other = (owner + 1) % bed.hosts.len();
    wait_for("entry answers without the leaving host", async || {
        let path = "/v1/entry?model=adapter-1@1";
        let (_, _, body) = call(&http, bed.hosts[other].callers, "GET", path, &[], "").await;
        let entry: Value = serde_json::from_slice(&body).ok()?;
        let mut addresses = entry["addresses"].as_array()?.iter();
        let gone = !addresses.any(|address| *address == best.to_string());
        gone.then_some(())
    })
    .await;
    assert!(bed.hosts[owner].exit().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_finishes_what_it_has_and_gets_nothing_new() {
    let bed = Bed::start(BedPlan::default()).await;
    let long = CallSpec::completion("key-notes", model(1), 300, true);
    let client = bed.client.clone();
    let running = tokio::spawn(async move { client.call(&long).await });
    let busy = wait_for("a running stream", async || {
        let runs = |at: &usize| !bed.engines[*at].record().executions.is_empty();
        (0..bed.engines.len()).find(runs)
    })
    .await;
    let seen = bed.config().await;
    let next = bed.commit(&seen, vec![bed.engine_change(busy, true)]).await;
    wait_for("the change on all hosts", async || {
        let status = bed.status(0).await?;
        let mut hosts = status["hosts"].as_array()?.iter();
        let in_force = hosts.all(|host| host["config_revision"] == next.revision);
        in_force.then_some(())
    })
    .await;
    let before = bed.engines[busy].record().executions.len();
    for number in 0..12 {
        let spec = CallSpec::completion("key-notes", model(number % 6), 2, true);
        assert_eq!(bed.client.call(&spec).await.outcome, SeenOutcome::Answered);
    }
    assert_eq!(bed.engines[busy].record().executions.len(), before);
    let finished = running.await.unwrap();
    assert_eq!(finished.outcome, SeenOutcome::Answered, "{finished:?}");
    assert!(!finished.cut_short);
}
