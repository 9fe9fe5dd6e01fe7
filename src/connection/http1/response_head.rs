use {
    super::{ExchangeError, head_check::check_lines},
    bytes::{Buf, BytesMut},
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header},
    std::{ops::RangeInclusive, time::Duration},
};

/// Most headers of an answer.
const MAX_HEADERS: usize = 64;

/// Largest head of an answer, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Statuses that HTTP knows.
const STATUSES: RangeInclusive<u16> = 100..=599;

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
        check_lines(&buffer[..size])?;
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
            .filter(|code| STATUSES.contains(code))
            .and_then(|code| StatusCode::from_u16(code).ok())
            .ok_or(ExchangeError::Nonsense("no status"))?;
        // No request asks for another protocol.
        if status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(ExchangeError::Nonsense("another protocol"));
        }
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for field in parsed.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let value = HeaderValue::from_bytes(field.value);
            let (Ok(name), Ok(value)) = (name, value) else {
                return Err(ExchangeError::Nonsense("a header is malformed"));
            };
            headers.append(name, value);
        }
        let framing = Framing {
            status,
            headers: &headers,
            is_old: parsed.version == Some(0),
        };
        let framing = framing.of_answer_to(method)?;
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

/// What a head says of the end of its body.
struct Framing<'a> {
    status: StatusCode,
    headers: &'a HeaderMap,
    /// The answer is one of HTTP/1.0.
    is_old: bool,
}

impl Framing<'_> {
    /// Returns how the body of an answer ends, by RFC 9112 (6.1 and 6.3); a head that says two things about it is malformed.
    fn of_answer_to(
        &self,
        method: &Method,
    ) -> Result<BodyFraming, ExchangeError> {
        let is_chunked = self.is_chunked()?;
        let length = self.length()?;
        if is_chunked && length.is_some() {
            return Err(ExchangeError::Nonsense("a length beside a transfer coding"));
        }
        let allows_framing =
            !self.status.is_informational() && self.status != StatusCode::NO_CONTENT;
        let has_body = is_chunked || length.is_some_and(|length| length > 0);
        if has_body && !allows_framing {
            return Err(ExchangeError::Nonsense("a body where none can be"));
        }
        let is_bodiless =
            !allows_framing || self.status == StatusCode::NOT_MODIFIED || *method == Method::HEAD;
        Ok(match length {
            _ if is_bodiless => BodyFraming::Length(0),
            Some(length) => BodyFraming::Length(length),
            None if is_chunked => BodyFraming::Chunked,
            None => BodyFraming::UntilClose,
        })
    }

    fn is_chunked(&self) -> Result<bool, ExchangeError> {
        let mut codings = self.headers.get_all(header::TRANSFER_ENCODING).iter();
        let Some(coding) = codings.next() else {
            return Ok(false);
        };
        let is_known = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        if !is_known || codings.next().is_some() {
            return Err(ExchangeError::Nonsense("an unknown transfer coding"));
        }
        match self.is_old {
            true => Err(ExchangeError::Nonsense("a transfer coding in HTTP/1.0")),
            false => Ok(true),
        }
    }

    fn length(&self) -> Result<Option<u64>, ExchangeError> {
        let mut lengths = self.headers.get_all(header::CONTENT_LENGTH).iter();
        let Some(first) = lengths.next() else {
            return Ok(None);
        };
        if lengths.any(|other| other != first) {
            return Err(ExchangeError::Nonsense("two lengths"));
        }
        // The parser of numbers would allow a sign.
        let is_number = first.as_bytes().iter().all(u8::is_ascii_digit);
        let text = first.to_str().ok().filter(|_| is_number);
        let length = text.and_then(|text| text.parse().ok());
        length
            .map(Some)
            .ok_or(ExchangeError::Nonsense("a malformed length"))
    }
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
