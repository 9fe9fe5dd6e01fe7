use {
    super::ExchangeError,
    bytes::{Buf, BytesMut},
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
    std::time::Duration,
};

/// Most headers of an answer.
const MAX_HEADERS: usize = 64;

/// Largest head of an answer, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// So many bytes, possibly none.
    Length(u64),
    Chunked,
    /// The body ends with its connection.
    UntilClose,
}

impl BodyFraming {
    /// Returns the word for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "close",
        }
    }
}

/// Status and headers of an answer.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub framing: BodyFraming,
    /// The connection may serve another request afterwards.
    pub keeps_alive: bool,
    /// How long the other side keeps an idle connection, if it said so.
    pub idle_limit: Option<Duration>,
}

impl ResponseHead {
    /// Takes a whole head out of `buffer`; `None` when more bytes are needed.
    pub fn take(
        buffer: &mut BytesMut,
        method: &Method,
    ) -> Result<Option<Self>, ExchangeError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut fields);
        let size = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(size)) => size,
            Ok(httparse::Status::Partial) if buffer.len() > MAX_HEAD => {
                return Err(ExchangeError::Nonsense("the head is too large"));
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ExchangeError::Nonsense("no HTTP head")),
        };
        let head = Self::from_parsed(&parsed, method)?;
        buffer.advance(size);
        Ok(Some(head))
    }

    /// True for an interim answer, which another one follows.
    pub fn is_interim(&self) -> bool {
        self.status.is_informational()
    }

    fn from_parsed(
        parsed: &httparse::Response,
        method: &Method,
    ) -> Result<Self, ExchangeError> {
        let status = parsed
            .code
            .and_then(|code| StatusCode::from_u16(code).ok())
            .ok_or(ExchangeError::Nonsense("no status"))?;
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for field in parsed.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let value = HeaderValue::from_bytes(field.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(ExchangeError::Nonsense("a header is malformed"));
            };
            headers.append(name, value);
        }
        let framing = framing(status, &headers, method)?;
        let closes = has_token(&headers, "close");
        let old = parsed.version == Some(0) && !has_token(&headers, "keep-alive");
        Ok(Self {
            keeps_alive: !closes && !old && framing != BodyFraming::UntilClose,
            idle_limit: idle_limit(&headers),
            status,
            headers,
            framing,
        })
    }
}

fn framing(
    status: StatusCode,
    headers: &HeaderMap,
    method: &Method,
) -> Result<BodyFraming, ExchangeError> {
    let bodiless = status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || *method == Method::HEAD;
    if bodiless {
        return Ok(BodyFraming::Length(0));
    }
    if let Some(coding) = headers.get(header::TRANSFER_ENCODING) {
        let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        return match chunked {
            true => Ok(BodyFraming::Chunked),
            false => Err(ExchangeError::Nonsense("an unknown transfer coding")),
        };
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(first) = lengths.next() else {
        return Ok(BodyFraming::UntilClose);
    };
    if lengths.any(|other| other != first) {
        return Err(ExchangeError::Nonsense("two lengths"));
    }
    let length = first.to_str().ok().and_then(|text| text.parse().ok());
    length
        .map(BodyFraming::Length)
        .ok_or(ExchangeError::Nonsense("a malformed length"))
}

fn has_token(
    headers: &HeaderMap,
    token: &str,
) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// `Keep-Alive: timeout=N`, in seconds.
fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok())?;
    Some(Duration::from_secs(seconds))
}
