use {
    super::{CallResult, CallSpec, SeenOutcome, call_spec::CallKind},
    crate::{
        clock::Instant,
        connection::{header_text, target::SseReader},
        errors::RunError,
        request::{
            HEADER_ATTEMPT, HEADER_DEADLINE, HEADER_KIND, HEADER_OUTCOME, HEADER_OUTFITTER,
            HEADER_REQUEST_ID,
        },
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    rand::RngExt,
    serde::Deserialize,
    serde_json::Value,
    std::{net::SocketAddr, sync::Mutex, time::Duration},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

const DATA_FIELD: &str = "data: ";

/// Code of a refusal by a host that has no configuration yet; the request was not run.
const NOT_READY: &str = "not_ready";

const END_MARK: &str = "[DONE]";

/// What `GET /v1/entry` answers.
#[derive(Debug, Clone, Deserialize)]
struct EntryAnswer {
    addresses: Vec<SocketAddr>,
    life_ms: u64,
}

/// A caller of one site.
pub struct CallerClient {
    http: Client<HttpConnector, Full<Bytes>>,
    /// Hosts to ask when no entry answer is at hand.
    seeds: Vec<SocketAddr>,
    kept: Mutex<Option<(Instant, Vec<SocketAddr>)>>,
}

impl CallerClient {
    /// A caller that knows some hosts to ask.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            http,
            seeds,
            kept: Mutex::default(),
        }
    }

    /// Sends one request to a host of the entry answer; a host that is not reached, or has just
    /// started and is not ready, is passed over.
    pub async fn call(
        &self,
        spec: &CallSpec,
    ) -> CallResult {
        let began = Instant::now();
        let later = matches!(spec.key, Some((_, attempt)) if attempt > 1);
        let mut last = CallResult::new(match later {
            true => SeenOutcome::Unknown,
            false => SeenOutcome::NotRun,
        });
        last.code = "no_host".to_string();
        let went_by_kept = self.kept_addresses().is_some();
        let mut served = self.call_in_turn(spec, began, &mut last).await;
        // Hosts that fail are forgotten: of a kept answer none may be left that takes requests.
        if served.is_none() && went_by_kept {
            served = self.call_in_turn(spec, began, &mut last).await;
        }
        served.unwrap_or_else(|| {
            last.total = began.elapsed();
            last
        })
    }

    /// Sends one request to one host after the other until one takes it; `last` is what one says that is not ready.
    async fn call_in_turn(
        &self,
        spec: &CallSpec,
        began: Instant,
        last: &mut CallResult,
    ) -> Option<CallResult> {
        for address in self.addresses().await {
            match self.call_at(address, spec, began).await {
                Some(result) if result.code == NOT_READY => *last = result,
                Some(result) => return Some(result),
                None => {}
            }
            self.forget(address);
        }
        None
    }

    /// Sends one request to `address`; none when nothing was sent.
    pub async fn call_at(
        &self,
        address: SocketAddr,
        spec: &CallSpec,
        began: Instant,
    ) -> Option<CallResult> {
        let request = to_http(address, spec);
        let mut result = CallResult::new(SeenOutcome::Unknown);
        match self.http.request(request).await {
            Ok(response) => read_answer(response, spec, began, &mut result).await,
            Err(error) if error.is_connect() => return None,
            Err(error) => result.code = format!("no_answer: {error}"),
        }
        result.total = began.elapsed();
        Some(result)
    }

    /// Hosts to use, the best first.
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        if let Some(kept) = self.kept_addresses() {
            return kept;
        }
        let start = rand::rng().random_range(0..self.seeds.len().max(1));
        for step in 0..self.seeds.len() {
            let seed = self.seeds[(start + step) % self.seeds.len()];
            if let Ok(answer) = self.ask_entry(seed).await
                && !answer.addresses.is_empty()
            {
                let life = Duration::from_millis(answer.life_ms);
                let kept = (Instant::now() + life, answer.addresses.clone());
                *self.kept.lock().expect("no holder panics") = Some(kept);
                return answer.addresses;
            }
        }
        self.seeds.clone()
    }

    async fn ask_entry(
        &self,
        seed: SocketAddr,
    ) -> Result<EntryAnswer, RunError> {
        let body = self.get(seed, "/v1/entry").await?;
        serde_json::from_slice(&body).map_err(|e| RunError::Call(e.to_string()))
    }

    /// Reads an address of the caller's front.
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<Bytes, RunError> {
        let call = |problem: String| RunError::Call(problem);
        let request = Request::get(format!("http://{address}{path}"))
            .body(Full::default())
            .map_err(|e| call(e.to_string()))?;
        let read = async {
            let response = self.http.request(request).await;
            let response = response.map_err(|e| call(e.to_string()))?;
            let body = response.into_body().collect().await;
            body.map(|body| body.to_bytes())
                .map_err(|e| call(e.to_string()))
        };
        tokio::time::timeout(ENTRY_TIMEOUT, read)
            .await
            .unwrap_or_else(|_| Err(call("no answer in time".into())))
    }

    fn kept_addresses(&self) -> Option<Vec<SocketAddr>> {
        let kept = self.kept.lock().expect("no holder panics");
        let (until, addresses) = kept.as_ref()?;
        (Instant::now() < *until && !addresses.is_empty()).then(|| {
            let mut addresses = addresses.clone();
            let turn = rand::rng().random_range(0..addresses.len());
            addresses.rotate_left(turn);
            addresses
        })
    }

    fn forget(
        &self,
        address: SocketAddr,
    ) {
        let mut kept = self.kept.lock().expect("no holder panics");
        if let Some((_, addresses)) = kept.as_mut() {
            addresses.retain(|kept| *kept != address);
        }
    }
}

fn to_http(
    address: SocketAddr,
    spec: &CallSpec,
) -> Request<Full<Bytes>> {
    let mut request = Request::post(format!("http://{address}{}", spec.path()))
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {}", spec.service_key))
        .header("te", "trailers");
    if let Some(kind) = &spec.kind {
        request = request.header(HEADER_KIND, kind);
    }
    if let Some(outfitter) = &spec.outfitter {
        request = request.header(HEADER_OUTFITTER, outfitter);
    }
    if let Some(deadline) = spec.deadline {
        request = request.header(HEADER_DEADLINE, deadline.as_millis() as u64);
    }
    if let Some((key, attempt)) = &spec.key {
        request = request.header("idempotency-key", key);
        if *attempt > 0 {
            request = request.header(HEADER_ATTEMPT, *attempt);
        }
    }
    request
        .body(Full::from(spec.body()))
        .expect("call specs make valid requests")
}

async fn read_answer(
    response: Response<Incoming>,
    spec: &CallSpec,
    began: Instant,
    result: &mut CallResult,
) {
    let (head, body) = response.into_parts();
    result.status = head.status.as_u16();
    result.request_id = header_text(&head.headers, HEADER_REQUEST_ID).to_string();
    result.target = header_text(&head.headers, "x-coveproxy-target").to_string();
    result.replayed = header_text(&head.headers, "x-coveproxy-replayed") == "true";
    let load_wait = header_text(&head.headers, "x-coveproxy-load-wait-ms");
    result.load_wait = Duration::from_millis(load_wait.parse().unwrap_or(0));
    if spec.streams() && head.status.is_success() {
        return read_stream(body, spec, began, result).await;
    }
    result.outcome = seen(header_text(&head.headers, HEADER_OUTCOME));
    let Ok(body) = body.collect().await else {
        result.outcome = SeenOutcome::Unknown;
        return;
    };
    result.first_token = began.elapsed();
    read_whole(&body.to_bytes(), spec, result);
}

fn read_whole(
    body: &[u8],
    spec: &CallSpec,
    result: &mut CallResult,
) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    if let Some(error) = value.get("error") {
        read_error(error, result);
        return;
    }
    let CallKind::Completion {
        model, max_tokens, ..
    } = &spec.what
    else {
        result.text = String::from_utf8_lossy(body).into_owned();
        return;
    };
    result.wrong_adapter = value["model"].as_str() != Some(model.as_str());
    let text = value.pointer("/choices/0/text").and_then(Value::as_str);
    result.text = text.unwrap_or_default().to_string();
    result.cut_short = result.text != expected_text(*max_tokens);
}

async fn read_stream(
    body: Incoming,
    spec: &CallSpec,
    began: Instant,
    result: &mut CallResult,
) {
    let mut reader = SseReader::new(body);
    let mut last = Instant::now();
    let mut done = false;
    loop {
        let event = match reader.next().await {
            Ok(Some(event)) => event,
            Ok(None) => break,
            // The connection broke: the caller sees that the answer is not whole.
            Err(_) => return,
        };
        let event = String::from_utf8_lossy(&event).into_owned();
        let data = event.lines().find_map(|line| line.strip_prefix(DATA_FIELD));
        match data {
            None => {}
            Some(END_MARK) => done = true,
            Some(data) => {
                let now = Instant::now();
                match result.events {
                    0 => result.first_token = began.elapsed(),
                    _ => result.longest_gap = result.longest_gap.max(now - last),
                }
                last = now;
                read_event(data, spec, result);
            }
        }
    }
    if !result.code.is_empty() {
        return;
    }
    result.outcome = SeenOutcome::Answered;
    let wanted = match &spec.what {
        CallKind::Completion { max_tokens, .. } => expected_text(*max_tokens),
        CallKind::Plain { .. } => String::new(),
    };
    result.cut_short = !done || result.text != wanted;
}

fn read_event(
    data: &str,
    spec: &CallSpec,
    result: &mut CallResult,
) {
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(error) = value.get("error") {
        return read_error(error, result);
    }
    result.events += 1;
    let model = spec.model().map(|model| model.as_str());
    result.wrong_adapter |= value["model"].as_str() != model;
    let text = value.pointer("/choices/0/text").and_then(Value::as_str);
    result.text += text.unwrap_or_default();
}

fn read_error(
    error: &Value,
    result: &mut CallResult,
) {
    result.code = error["code"].as_str().unwrap_or("error").to_string();
    result.outcome = seen(error["outcome"].as_str().unwrap_or_default());
    let retry_after = error["retry_after_ms"].as_u64().unwrap_or(0);
    result.retry_after = Duration::from_millis(retry_after);
}

fn seen(word: &str) -> SeenOutcome {
    match word {
        "answered" => SeenOutcome::Answered,
        "not_run" => SeenOutcome::NotRun,
        _ => SeenOutcome::Unknown,
    }
}

/// What the stand-in engines generate: `t0 t1 …`, so that a lost or doubled token shows.
fn expected_text(tokens: u64) -> String {
    (0..tokens).map(|index| format!("t{index} ")).collect()
}
