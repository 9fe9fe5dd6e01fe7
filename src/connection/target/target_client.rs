use {
    super::{
        EngineReport, FENCE_HEADER, KEY_HEADER, NOT_RUN_HEADER, OrderRequest, PRIORITY_HEADER,
        REQUEST_ID_HEADER, SERVED_MODEL_HEADER,
    },
    crate::{errors::TargetError, version::AdapterVersion},
    bytes::Bytes,
    http::{
        HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header::RETRY_AFTER,
        request::Builder,
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Limit for reaching a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Limit for a report or a cancellation.
const SHORT_CALL: Duration = Duration::from_secs(1);

/// Idle connections are kept this long.
const IDLE_KEPT: Duration = Duration::from_secs(20);

/// Largest answer of a target that is not streamed, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// A request as it goes to a target.
#[derive(Debug, Clone)]
pub struct TargetCall {
    pub address: SocketAddr,
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers passed through.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub request_id: String,
    /// The adapter version, for a model engine.
    pub model: Option<AdapterVersion>,
    pub priority: u8,
    pub fence: u64,
    /// The caller's idempotency key; empty when there is none.
    pub key: String,
}

/// A target's answer whose head has been checked.
pub struct TargetAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Incoming,
}

/// Calls targets over HTTP/1.1 with connections that are kept.
#[derive(Clone)]
pub struct TargetClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Deserialize)]
struct RefusalBody {
    error: RefusalError,
}

#[derive(Deserialize)]
struct RefusalError {
    code: String,
}

impl TargetClient {
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_KEPT)
            .build(connector);
        Self { client }
    }

    /// Sends a request; an answer that belongs to another request is an error.
    pub async fn send(
        &self,
        call: TargetCall,
    ) -> Result<TargetAnswer, TargetError> {
        let uri = format!("http://{}{}", call.address, call.path);
        let mut request = Request::builder()
            .method(call.method)
            .uri(uri)
            .body(Full::new(call.body))
            .map_err(|e| TargetError::NotReached(e.to_string()))?;
        let headers = request.headers_mut();
        *headers = call.headers;
        headers.insert(REQUEST_ID_HEADER, value(&call.request_id));
        headers.insert(PRIORITY_HEADER, HeaderValue::from(u16::from(call.priority)));
        headers.insert(FENCE_HEADER, HeaderValue::from(call.fence));
        if !call.key.is_empty() {
            headers.insert(KEY_HEADER, value(&call.key));
        }
        let answer = self.head(request).await?;
        expect_header(&answer.headers, REQUEST_ID_HEADER, &call.request_id)?;
        if let Some(model) = call.model {
            expect_header(&answer.headers, SERVED_MODEL_HEADER, model.as_str())?;
        }
        Ok(answer)
    }

    /// Comes back to a running or finished stream, from event `from` on.
    pub async fn resume(
        &self,
        address: SocketAddr,
        request_id: &str,
        from: u64,
    ) -> Result<TargetAnswer, TargetError> {
        let path = format!("/engine/streams/{request_id}?from={from}");
        let answer = self.head(bare(address, Method::GET, &path)?).await?;
        expect_header(&answer.headers, REQUEST_ID_HEADER, request_id)?;
        Ok(answer)
    }

    /// Stops a request's work; an unknown request is not an error.
    pub async fn cancel(
        &self,
        address: SocketAddr,
        request_id: &str,
    ) {
        let path = format!("/engine/streams/{request_id}");
        if let Ok(request) = bare(address, Method::DELETE, &path) {
            // Best effort: an engine that is gone has no work to stop.
            let _ = tokio::time::timeout(SHORT_CALL, self.client.request(request)).await;
        }
    }

    /// What the engine says it holds.
    pub async fn report(
        &self,
        address: SocketAddr,
    ) -> Result<EngineReport, TargetError> {
        let request = bare(address, Method::GET, "/engine/state")?;
        let body = self.short(request, SHORT_CALL).await?;
        serde_json::from_slice(&body).map_err(|e| TargetError::BadAnswer(e.to_string()))
    }

    /// Gives a fenced order and waits until it is carried out.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &OrderRequest,
        limit: Duration,
    ) -> Result<(), TargetError> {
        let body = serde_json::to_vec(order).expect("orders serialize");
        let mut request = bare(address, Method::POST, "/engine/orders")?;
        *request.body_mut() = Full::new(body.into());
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert("content-type", json);
        match self.short(request, limit).await {
            Ok(_) => Ok(()),
            Err(TargetError::NotRun { code, .. }) if code == "fenced_off" => {
                Err(TargetError::FencedOff)
            }
            Err(TargetError::NotRun { code, .. }) => Err(TargetError::OrderFailed(code)),
            Err(e) => Err(e),
        }
    }

    async fn short(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Bytes, TargetError> {
        let call = async {
            let answer = self.head(request).await?;
            answer.whole().await
        };
        let late = TargetError::TimedOut(limit.as_millis() as u64);
        tokio::time::timeout(limit, call).await.unwrap_or(Err(late))
    }

    async fn head(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<TargetAnswer, TargetError> {
        let response = self.client.request(request).await.map_err(|e| {
            let problem = e.to_string();
            match e.is_connect() {
                true => TargetError::NotReached(problem),
                false => TargetError::CutShort(problem),
            }
        })?;
        if response.headers().contains_key(NOT_RUN_HEADER) {
            return Err(not_run(response).await);
        }
        let (head, body) = response.into_parts();
        Ok(TargetAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

impl Default for TargetClient {
    fn default() -> Self {
        Self::new()
    }
}

impl TargetAnswer {
    /// Reads the whole body.
    pub async fn whole(self) -> Result<Bytes, TargetError> {
        Limited::new(self.body, MAX_ANSWER)
            .collect()
            .await
            .map(|body| body.to_bytes())
            .map_err(|e| TargetError::CutShort(e.to_string()))
    }
}

/// Reads a refusal's code; `busy` when it gives none.
async fn not_run(response: Response<Incoming>) -> TargetError {
    let retry_after_ms = response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok())
        .map_or(0, |seconds| seconds * 1000);
    let body = Limited::new(response.into_body(), MAX_ANSWER)
        .collect()
        .await
        .map(|body| body.to_bytes())
        .unwrap_or_default();
    let code = serde_json::from_slice::<RefusalBody>(&body)
        .map_or_else(|_| "busy".to_string(), |body| body.error.code);
    TargetError::NotRun {
        code,
        retry_after_ms,
    }
}

fn bare(
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<Request<Full<Bytes>>, TargetError> {
    let builder: Builder = Request::builder().method(method);
    builder
        .uri(format!("http://{address}{path}"))
        .body(Full::default())
        .map_err(|e| TargetError::NotReached(e.to_string()))
}

fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn expect_header(
    headers: &HeaderMap,
    name: &str,
    wanted: &str,
) -> Result<(), TargetError> {
    let found = headers.get(name).and_then(|found| found.to_str().ok());
    match found {
        Some(found) if found == wanted => Ok(()),
        found => Err(TargetError::ForeignAnswer {
            wanted: wanted.to_string(),
            found: found.unwrap_or_default().to_string(),
        }),
    }
}
