/// Byte-order mark, which may stand before the first event.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// What has been seen of the current line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Finds where the events of a `text/event-stream` end.
///
/// Lines end with LF, CR or both; an empty line ends an event. Comments and further empty lines belong to no event.
#[derive(Debug, Clone, Default)]
pub struct EventScanner {
    line: Line,
    in_event: bool,
    has_event: bool,
    after_cr: bool,
    /// Bytes of the byte-order mark that were seen or can no longer come.
    mark_bytes: usize,
    /// Bytes since the last event ended, or since the stream began.
    bytes_since_event: usize,
}

impl EventScanner {
    /// Scans the next bytes; returns the end of their longest prefix behind which an event may begin.
    pub fn scan(
        &mut self,
        bytes: &[u8],
    ) -> Option<usize> {
        let mut end = None;
        for (at, byte) in bytes.iter().enumerate() {
            self.step(*byte);
            if self.is_at_boundary() {
                end = Some(at + 1);
            }
        }
        end
    }

    /// Returns the size of the first complete event, with what stands before it; all bytes if there is none.
    pub fn first_event(bytes: &[u8]) -> usize {
        let mut scanner = Self::default();
        let mut ends_event = |byte: &u8| {
            scanner.step(*byte);
            scanner.has_event
        };
        let end = bytes.iter().position(&mut ends_event);
        end.map_or(bytes.len(), |at| at + 1)
    }

    /// Returns true if the bytes so far end inside an event.
    pub fn is_in_event(&self) -> bool {
        self.in_event
    }

    /// Returns true if an event was complete.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns the number of bytes behind the last complete event.
    pub fn bytes_since_event(&self) -> usize {
        self.bytes_since_event
    }

    fn is_at_boundary(&self) -> bool {
        !self.in_event && self.line == Line::Empty
    }

    fn step(
        &mut self,
        byte: u8,
    ) {
        self.bytes_since_event += 1;
        if self.is_of_mark(byte) {
            return;
        }
        let follows_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match (byte, self.line) {
            (b'\n', _) if follows_cr => {}
            (b'\r' | b'\n', _) => self.end_line(),
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => self.begin_field(),
            _ => {}
        }
    }

    fn is_of_mark(
        &mut self,
        byte: u8,
    ) -> bool {
        let seen = self.mark_bytes;
        if BYTE_ORDER_MARK.get(seen) == Some(&byte) {
            self.mark_bytes += 1;
            return true;
        }
        self.mark_bytes = BYTE_ORDER_MARK.len();
        if (1..BYTE_ORDER_MARK.len()).contains(&seen) {
            self.begin_field();
        }
        false
    }

    fn begin_field(&mut self) {
        self.line = Line::Field;
        self.in_event = true;
    }

    fn end_line(&mut self) {
        if self.line == Line::Empty {
            if self.in_event {
                self.has_event = true;
                self.bytes_since_event = 0;
            }
            self.in_event = false;
        }
        self.line = Line::Empty;
    }
}
