use {
    super::{EventScanner, event_splitter::MAX_EVENT_BYTES, first_line::FirstLine},
    crate::connection::http1::{
        BodyDecoder, BodyFraming, ExchangeError, HttpConnection, ResponseHead,
    },
    bytes::Bytes,
    http::header,
};

/// Media type of streams of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Bytes of comments between two events; a stream of comments alone is no answer.
const MAX_COMMENT_BYTES: usize = 64 * 1024;

/// How an answer's end was told, and whether its bytes end inside an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerEnding {
    pub framing: BodyFraming,
    /// `None` for answers that are no streams of events.
    pub in_event: Option<bool>,
}

impl AnswerEnding {
    /// Returns the word for logs.
    pub fn in_event_word(self) -> &'static str {
        match self.in_event {
            None => "-",
            Some(true) => "yes",
            Some(false) => "no",
        }
    }
}

/// Reads the body of one answer, and decides at its end whether the answer is complete.
///
/// A stream that ends inside an event has been broken off, whatever its framing says. So has one without any event whose
/// end is told by nothing but the connection. Of any other answer without framing the end can't be checked.
pub struct AnswerReader {
    connection: HttpConnection,
    decoder: BodyDecoder,
    framing: BodyFraming,
    /// `None` for answers that are no streams of events.
    events: Option<EventScanner>,
    /// First line of a stream of events that is not chunked.
    first_line: Option<FirstLine>,
}

impl AnswerReader {
    /// Creates the reader of the body behind `head`; `streams` is true if the route's answers are streams of events.
    pub fn new(
        connection: HttpConnection,
        head: &ResponseHead,
        streams: bool,
    ) -> Self {
        let has_events = streams && head.status.is_success() && may_be_events(head);
        let is_chunked = head.framing == BodyFraming::Chunked;
        Self {
            connection,
            decoder: BodyDecoder::new(head.framing),
            framing: head.framing,
            events: has_events.then(EventScanner::default),
            first_line: (has_events && !is_chunked).then(FirstLine::default),
        }
    }

    /// Returns the next piece, or `None` at the end of a complete body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let piece = self.connection.body_piece(&mut self.decoder).await?;
        let Some(bytes) = &piece else {
            return match self.is_broken_off() {
                true => Err(ExchangeError::BrokenOff),
                false => Ok(None),
            };
        };
        if let Some(line) = &mut self.first_line {
            line.add(bytes);
            if line.is_chunk_size() {
                return Err(ExchangeError::Nonsense(
                    "a stream begins with the size of a chunk",
                ));
            }
        }
        if let Some(events) = &mut self.events {
            events.scan(bytes);
            let max = match events.is_in_event() {
                true => MAX_EVENT_BYTES,
                false => MAX_COMMENT_BYTES,
            };
            if events.bytes_since_event() > max {
                return Err(ExchangeError::Nonsense("no event comes to an end"));
            }
        }
        Ok(piece)
    }

    /// Returns true for a stream of events none of which is complete yet.
    pub fn awaits_event(&self) -> bool {
        self.events
            .as_ref()
            .is_some_and(|events| !events.has_event())
    }

    /// Returns true if the bytes so far can't be a complete answer.
    fn is_broken_off(&self) -> bool {
        let Some(events) = &self.events else {
            return false;
        };
        let is_framed = self.framing != BodyFraming::UntilClose;
        events.is_in_event() || !(is_framed || events.has_event())
    }

    /// Returns how the end of the bytes so far was told.
    pub fn ending(&self) -> AnswerEnding {
        AnswerEnding {
            framing: self.framing,
            in_event: self.events.as_ref().map(EventScanner::is_in_event),
        }
    }

    /// Returns the connection, once the body is read.
    pub fn into_connection(self) -> HttpConnection {
        self.connection
    }
}

/// Returns false if an answer says that it is no stream of events.
fn may_be_events(head: &ResponseHead) -> bool {
    let Some(content_type) = head.headers.get(header::CONTENT_TYPE) else {
        return true;
    };
    let bytes = content_type.as_bytes();
    let media_type = bytes.get(..EVENT_STREAM.len()).unwrap_or_default();
    media_type.eq_ignore_ascii_case(EVENT_STREAM.as_bytes())
}
