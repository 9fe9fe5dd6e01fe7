use {
    super::{BodyFraming, ExchangeError},
    bytes::{Buf, Bytes, BytesMut},
};

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
        Self {
            state,
            trailer_bytes: 0,
        }
    }

    /// True when the end of the connection is the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
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
                State::UntilClose => return Ok(Decoded::Data(buffer.split().freeze())),
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
                State::ChunkEnd => match take_line(buffer)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(0) => self.state = State::ChunkSize,
                    Some(_) => return Err(ExchangeError::Nonsense("a chunk has no end")),
                },
                State::Trailer => match take_line(buffer)? {
                    None => return Ok(Decoded::Incomplete),
                    Some(0) => self.state = State::End,
                    Some(length) => {
                        self.trailer_bytes += length;
                        if self.trailer_bytes > MAX_TRAILERS {
                            return Err(ExchangeError::Nonsense("too many trailers"));
                        }
                    }
                },
            }
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

/// Takes one line; gives its length without the line end.
fn take_line(buffer: &mut BytesMut) -> Result<Option<usize>, ExchangeError> {
    let Some(end) = buffer.iter().position(|byte| *byte == b'\n') else {
        return match buffer.len() > MAX_LINE {
            true => Err(ExchangeError::Nonsense("a trailer is too long")),
            false => Ok(None),
        };
    };
    let length = match end.checked_sub(1) {
        Some(last) if buffer[last] == b'\r' => last,
        _ => end,
    };
    buffer.advance(end + 1);
    Ok(Some(length))
}
