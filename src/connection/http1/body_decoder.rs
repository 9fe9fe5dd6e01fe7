use {
    super::{BodyFraming, ExchangeError, FieldLine, UnframedCheck},
    bytes::{Buf, Bytes, BytesMut},
};

const LINE_END: &[u8] = b"\r\n";

/// Longest line of a chunk's size or of a trailer, in bytes.
const MAX_LINE: usize = 4096;

/// Bytes of all trailers together.
const MAX_TRAILERS: usize = 16 * 1024;

/// What could be taken out of the bytes that have arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    Data(Bytes),
    /// More bytes must arrive first.
    Incomplete,
    /// The body is whole.
    End,
}

/// Takes the body of one answer out of a connection's bytes.
#[derive(Debug, Clone)]
pub struct BodyDecoder {
    state: State,
    /// Bytes of trailers that were passed over.
    trailer_bytes: usize,
    /// A chunk has come whole.
    has_whole_chunk: bool,
    /// Check of a body that ends with its connection.
    unframed: Option<UnframedCheck>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    /// The line end behind a chunk's data.
    ChunkEnd,
    Trailer,
    UntilClose,
    End,
}

impl BodyDecoder {
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Length(0) => State::End,
            BodyFraming::Length(length) => State::Length(length),
            BodyFraming::Chunked => State::ChunkSize,
            BodyFraming::UntilClose => State::UntilClose,
        };
        let unframed = (framing == BodyFraming::UntilClose).then(UnframedCheck::new);
        Self {
            state,
            trailer_bytes: 0,
            has_whole_chunk: false,
            unframed,
        }
    }

    /// True when the end of the connection is the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Checks a body that ended with its connection.
    pub fn end_with_connection(&self) -> Result<(), ExchangeError> {
        self.unframed.as_ref().map_or(Ok(()), UnframedCheck::end)
    }

    /// Returns true if a chunk, possibly the last one, has come whole.
    pub fn has_whole_chunk(&self) -> bool {
        self.has_whole_chunk
    }

    /// Takes what there is.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Decoded, ExchangeError> {
        loop {
            match self.state {
                State::End => return Ok(Decoded::End),
                State::UntilClose if buffer.is_empty() => return Ok(Decoded::Incomplete),
                State::UntilClose => {
                    if let Some(check) = &mut self.unframed {
                        check.add(buffer)?;
                    }
                    return Ok(Decoded::Data(buffer.split().freeze()));
                }
                State::Length(left) => return Ok(self.take_data(buffer, left, false)),
                State::ChunkData(left) => return Ok(self.take_data(buffer, left, true)),
                State::ChunkSize => {
                    let Some(size) = chunk_size(buffer)? else {
                        return Ok(Decoded::Incomplete);
                    };
                    self.state = match size {
                        0 => State::Trailer,
                        size => State::ChunkData(size),
                    };
                }
                State::ChunkEnd => {
                    if !take_chunk_end(buffer)? {
                        return Ok(Decoded::Incomplete);
                    }
                    self.has_whole_chunk = true;
                    self.state = State::ChunkSize;
                }
                State::Trailer => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(Decoded::Incomplete);
                    };
                    match line.is_empty() {
                        true => {
                            self.has_whole_chunk = true;
                            self.state = State::End;
                        }
                        false => self.check_trailer(&line)?,
                    }
                }
            }
        }
    }

    fn check_trailer(
        &mut self,
        line: &[u8],
    ) -> Result<(), ExchangeError> {
        if FieldLine::parse(line).is_none() {
            return Err(ExchangeError::Nonsense("a trailer is no field"));
        }
        self.trailer_bytes += line.len();
        match self.trailer_bytes > MAX_TRAILERS {
            true => Err(ExchangeError::Nonsense("too many trailers")),
            false => Ok(()),
        }
    }

    fn take_data(
        &mut self,
        buffer: &mut BytesMut,
        left: u64,
        chunked: bool,
    ) -> Decoded {
        if buffer.is_empty() {
            return Decoded::Incomplete;
        }
        let size = left.min(buffer.len() as u64);
        let left = left - size;
        self.state = match (left, chunked) {
            (0, true) => State::ChunkEnd,
            (0, false) => State::End,
            (left, true) => State::ChunkData(left),
            (left, false) => State::Length(left),
        };
        Decoded::Data(buffer.split_to(size as usize).freeze())
    }
}

fn chunk_size(buffer: &mut BytesMut) -> Result<Option<u64>, ExchangeError> {
    // `httparse` takes a line without any digit for the last chunk.
    if buffer
        .first()
        .is_some_and(|first| !first.is_ascii_hexdigit())
    {
        return Err(ExchangeError::Nonsense("a chunk's size has no digit"));
    }
    match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete((size, length))) => {
            buffer.advance(size);
            Ok(Some(length))
        }
        Ok(httparse::Status::Partial) if buffer.len() > MAX_LINE => {
            Err(ExchangeError::Nonsense("a chunk's size is too long"))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ExchangeError::Nonsense("a malformed chunk size")),
    }
}

/// Takes the line end behind a chunk's data; returns false if more bytes are needed.
fn take_chunk_end(buffer: &mut BytesMut) -> Result<bool, ExchangeError> {
    if buffer.starts_with(LINE_END) {
        buffer.advance(LINE_END.len());
        return Ok(true);
    }
    match LINE_END.starts_with(buffer) {
        true => Ok(false),
        false => Err(ExchangeError::Nonsense("a chunk has no end")),
    }
}

/// Takes one line; returns it without its line end.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, ExchangeError> {
    let Some(feed) = buffer.iter().position(|byte| *byte == b'\n') else {
        return match buffer.len() > MAX_LINE {
            true => Err(ExchangeError::Nonsense("a trailer is too long")),
            false => Ok(None),
        };
    };
    let mut line = buffer.split_to(feed + 1);
    if !line.ends_with(LINE_END) {
        return Err(ExchangeError::Nonsense("a trailer has no line end"));
    }
    line.truncate(line.len() - LINE_END.len());
    Ok(Some(line))
}
