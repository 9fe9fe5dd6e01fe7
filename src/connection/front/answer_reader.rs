use {
    super::EventScanner,
    crate::connection::http1::{
        BodyDecoder, BodyFraming, ExchangeError, HttpConnection, ResponseHead,
    },
    bytes::Bytes,
    http::header,
};

/// Media type of streams of events.
const EVENT_STREAM: &str = "text/event-stream";

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

/// Reads the body of one answer.
pub struct AnswerReader {
    connection: HttpConnection,
    decoder: BodyDecoder,
    framing: BodyFraming,
    /// `None` for answers that are no streams of events.
    events: Option<EventScanner>,
}

impl AnswerReader {
    /// Creates the reader of the body behind `head`; `streams` is true if the route's answers are streams of events.
    pub fn new(
        connection: HttpConnection,
        head: &ResponseHead,
        streams: bool,
    ) -> Self {
        let has_events = streams && head.status.is_success() && may_be_events(head);
        Self {
            connection,
            decoder: BodyDecoder::new(head.framing),
            framing: head.framing,
            events: has_events.then(EventScanner::default),
        }
    }

    /// Returns the next piece, or `None` at the end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let piece = self.connection.body_piece(&mut self.decoder).await?;
        if let (Some(events), Some(piece)) = (&mut self.events, &piece) {
            events.scan(piece);
        }
        Ok(piece)
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
