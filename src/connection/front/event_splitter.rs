use {
    super::EventScanner,
    bytes::{Bytes, BytesMut},
};

/// Maximum size of an event, in bytes; a stream with a longer one is broken.
pub(super) const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Joins the answers of several targets, one after another, to one stream of server-sent events.
///
/// Returns only complete events, each once and without a gap.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Place in the answer of the present target.
    scanner: EventScanner,
    last_id: Option<u64>,
}

/// The stream has a gap in its event ids, or an event is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenStream;

impl EventSplitter {
    /// Returns the id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards an incomplete event, before another target continues the stream and sends it again.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanner = EventScanner::default();
    }

    /// Takes what is left at the end of a complete stream, such as a comment without a line end.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Appends bytes; returns the events that are now complete, without those returned before.
    pub fn take(
        &mut self,
        piece: &[u8],
    ) -> Result<Bytes, BrokenStream> {
        let buffered = self.partial.len();
        self.partial.extend_from_slice(piece);
        let Some(end) = self.scanner.scan(piece) else {
            return match self.partial.len() > MAX_EVENT_BYTES {
                true => Err(BrokenStream),
                false => Ok(Bytes::new()),
            };
        };
        let mut events = self.partial.split_to(buffered + end).freeze();
        let mut new_from = 0;
        let mut at = 0;
        while at < events.len() {
            let size = EventScanner::first_event(&events[at..]);
            let id = event_id(&events[at..at + size]);
            at += size;
            if self.is_duplicate(id)? {
                new_from = at;
            }
        }
        Ok(events.split_off(new_from))
    }

    /// Returns true if an event was returned before; otherwise its id becomes the last one.
    fn is_duplicate(
        &mut self,
        id: Option<u64>,
    ) -> Result<bool, BrokenStream> {
        let Some(id) = id else {
            return Ok(false);
        };
        match self.last_id {
            Some(last) if id <= last => return Ok(true),
            Some(last) if id > last + 1 => return Err(BrokenStream),
            _ => {}
        }
        self.last_id = Some(id);
        Ok(false)
    }
}

/// Returns the number in the `id:` line of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| matches!(byte, b'\r' | b'\n'))
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
