/// Longest line that may be the size of a chunk, in bytes.
const MAX_SIZE_LINE: usize = 64;

/// Looks at the first line of a stream of events that is not chunked.
///
/// Where the head has lost the name of its transfer coding, or was given a length, the sizes of chunks stand among the events. A
/// size is no line of an event: no field of events has a name of hexadecimal digits alone.
#[derive(Debug, Default)]
pub struct FirstLine {
    bytes: Vec<u8>,
}

impl FirstLine {
    /// Adds bytes of the stream up to the end of its first line.
    pub fn add(
        &mut self,
        bytes: &[u8],
    ) {
        let room = MAX_SIZE_LINE.saturating_sub(self.bytes.len());
        if self.bytes.contains(&b'\n') {
            return;
        }
        let line = bytes.split_inclusive(|byte| *byte == b'\n').next();
        let line = line.unwrap_or_default();
        self.bytes.extend_from_slice(&line[..line.len().min(room)]);
    }

    /// Returns true if the line is the size of a chunk.
    pub fn is_chunk_size(&self) -> bool {
        let Some(line) = self.bytes.strip_suffix(b"\r\n") else {
            return false;
        };
        let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let size = size.trim_ascii_end();
        !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit)
    }
}
