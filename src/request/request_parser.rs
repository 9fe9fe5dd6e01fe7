use {
    super::{CallerRequest, passed_headers},
    crate::{
        clock::Instant,
        errors::RequestError,
        version::{AdapterVersion, KeyHash, KindSpec, ServiceSpec, SiteConfig},
    },
    bytes::Bytes,
    http::{HeaderMap, Method},
    serde::Deserialize,
    std::{fmt::Display, str::FromStr, time::Duration},
};

/// Service of the caller; optional, as its key identifies it as well.
pub const HEADER_SERVICE: &str = "x-coveproxy-service";
/// Outfitter that the request is made for.
pub const HEADER_OUTFITTER: &str = "x-coveproxy-outfitter";
/// Kind of the request.
pub const HEADER_KIND: &str = "x-coveproxy-kind";
/// Time until the complete answer is due, in milliseconds; capped at that of the kind.
pub const HEADER_DEADLINE: &str = "x-coveproxy-deadline-ms";
/// Attempt number under the idempotency key, from 1.
pub const HEADER_ATTEMPT: &str = "x-coveproxy-attempt";
/// `true` or `false`; `true` is rejected for a kind that may not be repeated.
pub const HEADER_REPEATABLE: &str = "x-coveproxy-repeatable";
/// In answers: the request id.
pub const HEADER_REQUEST_ID: &str = "x-coveproxy-request-id";
/// In answers: `answer_sent_after`, `not_run` or `unknown`.
pub const HEADER_OUTCOME: &str = "x-coveproxy-outcome";

const HEADER_KEY: &str = "idempotency-key";

const MAX_KEY_LEN: usize = 200;

const BEARER_PREFIX: &str = "Bearer ";

/// Head of a request as received.
pub struct RequestHead<'a> {
    pub id: String,
    pub method: Method,
    pub headers: &'a HeaderMap,
    pub arrived: Instant,
}

/// Fields of the body of a request for a model engine.
#[derive(Deserialize)]
struct ModelBody {
    model: Option<String>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<i64>,
}

/// Parses callers' requests and validates them against the configuration.
pub struct RequestParser<'a> {
    pub config: &'a SiteConfig,
}

/// The calling service and its configuration.
struct Caller<'a> {
    service: &'a str,
    spec: &'a ServiceSpec,
    kind: String,
    kind_spec: &'a KindSpec,
}

impl RequestParser<'_> {
    /// Returns the service that the key in the headers belongs to. Fails if the headers name another service.
    pub fn authenticate(
        &self,
        headers: &HeaderMap,
    ) -> Result<&str, RequestError> {
        let token = header_text(headers, "authorization")?
            .and_then(|value| value.strip_prefix(BEARER_PREFIX))
            .ok_or(RequestError::WrongKey)?;
        let found = self.config.service_of_key(&KeyHash::from_key(token));
        let found = found.ok_or(RequestError::WrongKey)?;
        match header_text(headers, HEADER_SERVICE)? {
            Some(named) if named != found => Err(RequestError::WrongKey),
            _ => Ok(found),
        }
    }

    /// Parses a request for a model engine, to be forwarded to `path`.
    pub fn model_request(
        &self,
        head: RequestHead<'_>,
        path: &str,
        body: Bytes,
    ) -> Result<CallerRequest, RequestError> {
        let service = self.authenticate(head.headers)?;
        let parsed: ModelBody =
            serde_json::from_slice(&body).map_err(|e| RequestError::BadJson(e.to_string()))?;
        let named = parsed.model.ok_or_else(|| RequestError::BadField {
            field: "model",
            problem: "is missing".into(),
        })?;
        if parsed.max_tokens.is_some_and(|tokens| tokens < 1) {
            return Err(RequestError::BadField {
                field: "max_tokens",
                problem: "must be at least 1".into(),
            });
        }
        let model: AdapterVersion = named.parse()?;
        if self.config.base_model(&model).is_none() {
            return Err(RequestError::UnknownModel(named));
        }
        let mut request = self.request(head, service, path.to_string(), body)?;
        request.model = Some(model);
        request.stream = parsed.stream;
        Ok(request)
    }

    /// Parses a request for the plain service `named`, to be forwarded to `path`.
    pub fn plain_request(
        &self,
        head: RequestHead<'_>,
        named: &str,
        path: String,
        body: Bytes,
    ) -> Result<CallerRequest, RequestError> {
        let service = self.authenticate(head.headers)?;
        let known = self.config.services.get(named);
        if known.is_none_or(|spec| !spec.plain) {
            return Err(RequestError::UnknownService(named.to_string()));
        }
        if service != named {
            return Err(RequestError::WrongKey);
        }
        self.request(head, service, path, body)
    }

    fn request(
        &self,
        head: RequestHead<'_>,
        service: &str,
        path: String,
        body: Bytes,
    ) -> Result<CallerRequest, RequestError> {
        let headers = head.headers;
        let caller = self.caller(headers, service)?;
        let outfitter = self.outfitter(headers, &caller)?;
        let key = key(headers)?;
        let attempt = attempt(headers, &key)?;
        let timeout = timeout(headers, caller.kind_spec)?;
        Ok(CallerRequest {
            id: head.id,
            service: caller.service.to_string(),
            worth: self.config.worth(outfitter.as_deref()),
            outfitter: outfitter.unwrap_or_default(),
            priority: caller.kind_spec.priority,
            repeatable: repeatable(headers, caller.kind_spec)?,
            kind: caller.kind,
            model: None,
            deadline: head.arrived + timeout,
            key,
            attempt,
            stream: false,
            method: head.method,
            path,
            headers: passed_headers(headers),
            body,
        })
    }

    fn caller<'b>(
        &'b self,
        headers: &HeaderMap,
        service: &'b str,
    ) -> Result<Caller<'b>, RequestError> {
        let unknown = || RequestError::UnknownService(service.to_string());
        let spec = self.config.services.get(service).ok_or_else(unknown)?;
        let kind = match header_text(headers, HEADER_KIND)? {
            Some(kind) => kind.to_string(),
            None => spec.kinds.first().cloned().unwrap_or_default(),
        };
        let kind_spec = self
            .config
            .kinds
            .get(&kind)
            .filter(|_| spec.kinds.contains(&kind));
        match kind_spec {
            Some(kind_spec) => Ok(Caller {
                service,
                spec,
                kind,
                kind_spec,
            }),
            None => Err(RequestError::KindNotAllowed(kind)),
        }
    }

    fn outfitter(
        &self,
        headers: &HeaderMap,
        caller: &Caller<'_>,
    ) -> Result<Option<String>, RequestError> {
        let Some(named) = header_text(headers, HEADER_OUTFITTER)? else {
            return Ok(caller.spec.outfitter.clone());
        };
        match self.config.outfitters.contains_key(named) {
            true => Ok(Some(named.to_string())),
            false => Err(RequestError::UnknownOutfitter(named.to_string())),
        }
    }
}

fn key(headers: &HeaderMap) -> Result<String, RequestError> {
    let key = header_text(headers, HEADER_KEY)?.unwrap_or_default();
    let is_valid = key
        .bytes()
        .all(|byte| byte.is_ascii_graphic() && byte != b'/');
    if key.len() > MAX_KEY_LEN || !is_valid {
        let problem = format!("must be at most {MAX_KEY_LEN} printable characters without a slash");
        return Err(RequestError::BadHeader {
            name: HEADER_KEY,
            problem,
        });
    }
    Ok(key.to_string())
}

/// Parses the attempt number: 1 if there is no key, 0 if there is a key but no number.
fn attempt(
    headers: &HeaderMap,
    key: &str,
) -> Result<u32, RequestError> {
    let attempt = parse_header::<u32>(headers, HEADER_ATTEMPT)?;
    let problem = match (attempt, key.is_empty()) {
        (Some(0), _) => "must be at least 1",
        (Some(2..), true) => "must be 1 without an idempotency-key header",
        (Some(attempt), _) => return Ok(attempt),
        (None, true) => return Ok(1),
        (None, false) => return Ok(0),
    };
    Err(RequestError::BadHeader {
        name: HEADER_ATTEMPT,
        problem: problem.into(),
    })
}

fn timeout(
    headers: &HeaderMap,
    kind: &KindSpec,
) -> Result<Duration, RequestError> {
    let requested = parse_header::<u64>(headers, HEADER_DEADLINE)?;
    if requested == Some(0) {
        return Err(RequestError::BadHeader {
            name: HEADER_DEADLINE,
            problem: "must be at least 1".into(),
        });
    }
    let timeout_ms = requested.unwrap_or(kind.deadline_ms).min(kind.deadline_ms);
    Ok(Duration::from_millis(timeout_ms))
}

fn repeatable(
    headers: &HeaderMap,
    kind: &KindSpec,
) -> Result<bool, RequestError> {
    match parse_header::<bool>(headers, HEADER_REPEATABLE)? {
        Some(true) if !kind.repeatable => Err(RequestError::BadHeader {
            name: HEADER_REPEATABLE,
            problem: "requests of this kind may not be repeated".into(),
        }),
        Some(requested) => Ok(requested),
        None => Ok(kind.repeatable),
    }
}

fn parse_header<T: FromStr<Err: Display>>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<T>, RequestError> {
    let Some(value) = header_text(headers, name)? else {
        return Ok(None);
    };
    let parsed = value.parse().map_err(|e: T::Err| RequestError::BadHeader {
        name,
        problem: e.to_string(),
    })?;
    Ok(Some(parsed))
}

/// Returns the value of a header. Fails if the header is present with different values.
fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, RequestError> {
    let bad = |problem: &str| RequestError::BadHeader {
        name,
        problem: problem.to_string(),
    };
    let mut values = headers.get_all(name).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.any(|other| other != first) {
        return Err(bad("is sent more than once with different values"));
    }
    let value = first
        .to_str()
        .map_err(|_| bad("is not printable ASCII text"))?;
    Ok(Some(value))
}
