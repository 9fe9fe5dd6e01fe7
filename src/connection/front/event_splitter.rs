use bytes::{Bytes, BytesMut};

/// Ends one event of a stream.
const EVENT_END: &[u8] = b"\n\n";

/// An event longer than this is taken for nonsense, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// Events of one stream, out of the answers of the targets that made it one after the other.
///
/// Only whole events come out, each once and without a gap.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

/// The stream has a hole, or makes no sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenStream;

impl EventSplitter {
    /// Id of the last event that came out.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// True between two events.
    pub fn is_between_events(&self) -> bool {
        self.partial.is_empty()
    }

    /// Another target goes on; what was begun of an event comes again from there.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    /// Takes bytes in; gives the whole events among what has come, without those already given.
    pub fn take(
        &mut self,
        piece: &[u8],
    ) -> Result<Bytes, BrokenStream> {
        self.partial.extend_from_slice(piece);
        let Some(end) = last_event_end(&self.partial) else {
            return match self.partial.len() > MAX_EVENT {
                true => Err(BrokenStream),
                false => Ok(Bytes::new()),
            };
        };
        let mut events = self.partial.split_to(end).freeze();
        let mut fresh = 0;
        let mut at = 0;
        while at < events.len() {
            let size = first_event_end(&events[at..]).unwrap_or(events.len() - at);
            let id = event_id(&events[at..at + size]);
            at += size;
            if self.is_repeated(id)? {
                fresh = at;
            }
        }
        Ok(events.split_off(fresh))
    }

    /// True for an event that has come out before; its id otherwise becomes the last.
    fn is_repeated(
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

fn first_event_end(bytes: &[u8]) -> Option<usize> {
    let found = bytes
        .windows(EVENT_END.len())
        .position(|window| window == EVENT_END)?;
    Some(found + EVENT_END.len())
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let found = bytes
        .windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)?;
    Some(found + EVENT_END.len())
}

/// The number in an event's `id:` line.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
