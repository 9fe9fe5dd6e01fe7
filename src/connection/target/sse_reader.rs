use {
    crate::errors::TargetError,
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
};

/// Ends one server-sent event.
const EVENT_END: &[u8] = b"\n\n";

/// An event longer than this is refused, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// Splits a body into server-sent events, without copying them.
pub struct SseReader {
    body: Incoming,
    buffer: BytesMut,
    /// Bytes of `buffer` that hold no event end.
    searched: usize,
}

impl SseReader {
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            searched: 0,
        }
    }

    /// The next event with its blank line; none at the body's end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, TargetError> {
        loop {
            if let Some(event) = self.take_buffered() {
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_EVENT {
                return Err(TargetError::BadAnswer("an event is too long".into()));
            }
            let Some(frame) = self.body.frame().await else {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(TargetError::CutShort("inside an event".into())),
                };
            };
            let frame = frame.map_err(|e| TargetError::CutShort(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// An event that has already arrived whole.
    pub fn take_buffered(&mut self) -> Option<Bytes> {
        let from = self.searched.saturating_sub(EVENT_END.len() - 1);
        let found = self.buffer[from..]
            .windows(EVENT_END.len())
            .position(|window| window == EVENT_END);
        let Some(found) = found else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let end = from + found + EVENT_END.len();
        Some(self.buffer.split_to(end).freeze())
    }
}
