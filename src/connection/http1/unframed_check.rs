use {
    super::{BodyDecoder, BodyFraming, Decoded, ExchangeError, FieldLine},
    bytes::{Buf, BytesMut},
};

/// Stands in the start line of each message.
const PROTOCOL: &[u8] = b"HTTP/";

/// Bytes at the beginning of a body that may be the rest of its head.
const MAX_REST_OF_HEAD: usize = 16 * 1024;

/// Checks the body of an answer that ends with its connection, as its head told of no other end.
///
/// If that head was damaged, the body holds what the head has lost: fields behind an empty line that was none of the target's, one
/// of them about the length or the connection, or chunks with their sizes. Anything else can't be told from a sound body.
#[derive(Debug, Clone)]
pub struct UnframedCheck {
    rest_of_head: RestOfHead,
    chunks: ChunkTrace,
}

impl UnframedCheck {
    pub fn new() -> Self {
        Self {
            rest_of_head: RestOfHead::default(),
            chunks: ChunkTrace::new(),
        }
    }

    /// Checks the next bytes of the body.
    pub fn add(
        &mut self,
        bytes: &[u8],
    ) -> Result<(), ExchangeError> {
        self.chunks.add(bytes);
        self.rest_of_head.add(bytes);
        match self.rest_of_head.state {
            BlockState::Fields => Err(ExchangeError::Nonsense("the body begins with a head")),
            BlockState::Open | BlockState::Other => Ok(()),
        }
    }

    /// Checks the whole body at its end.
    pub fn end(&self) -> Result<(), ExchangeError> {
        if self.rest_of_head.is_open_block() {
            return Err(ExchangeError::Nonsense("the body is the rest of a head"));
        }
        if self.chunks.has_chunks() {
            return Err(ExchangeError::Nonsense("the body holds chunks"));
        }
        Ok(())
    }
}

/// What the lines at the beginning of a body are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum BlockState {
    /// Fields so far; more may come.
    #[default]
    Open,
    /// Fields up to an empty line, some of them of a message.
    Fields,
    Other,
}

/// Reads the lines at the beginning of a body for as long as they may be the rest of a head: what is left of a line that was
/// split, then fields.
#[derive(Debug, Clone, Default)]
struct RestOfHead {
    state: BlockState,
    /// Bytes behind the last whole line.
    line: BytesMut,
    /// Bytes of all lines so far.
    bytes: usize,
    /// The first line that is not empty has come.
    has_begun: bool,
    /// A line was about the length of a body or its connection.
    has_message_field: bool,
}

impl RestOfHead {
    fn add(
        &mut self,
        bytes: &[u8],
    ) {
        if self.state != BlockState::Open {
            return;
        }
        self.bytes += bytes.len();
        self.line.extend_from_slice(bytes);
        while self.state == BlockState::Open {
            let Some(feed) = self.line.iter().position(|byte| *byte == b'\n') else {
                break;
            };
            let line = self.line.split_to(feed + 1);
            self.state = self.state_after(&line);
        }
        if self.state == BlockState::Open && self.bytes > MAX_REST_OF_HEAD {
            self.state = BlockState::Other;
        }
        if self.state != BlockState::Open {
            self.line = BytesMut::new();
        }
    }

    fn state_after(
        &mut self,
        line: &[u8],
    ) -> BlockState {
        let Some(line) = line.strip_suffix(b"\r\n") else {
            return BlockState::Other;
        };
        let is_first = !self.has_begun;
        self.has_begun |= !line.is_empty();
        match FieldLine::parse(line) {
            Some(field) => {
                self.has_message_field |= is_of_message(&field);
                BlockState::Open
            }
            None if self.has_message_field && line.is_empty() => BlockState::Fields,
            // A body with a start line is a whole message by itself.
            None if is_first && !line.windows(PROTOCOL.len()).any(|part| part == PROTOCOL) => {
                BlockState::Open
            }
            None => BlockState::Other,
        }
    }

    /// Returns true if all lines so far are fields, some of them of a message.
    fn is_open_block(&self) -> bool {
        self.state == BlockState::Open && self.line.is_empty() && self.has_message_field
    }
}

/// Returns true for a field that tells the length of a body, or concerns its connection.
fn is_of_message(field: &FieldLine) -> bool {
    let value = field.value.trim_ascii().to_ascii_lowercase();
    match field.name.to_ascii_lowercase().as_slice() {
        b"content-length" => !value.is_empty() && value.iter().all(u8::is_ascii_digit),
        b"transfer-encoding" => value == b"chunked",
        b"connection" => value == b"close" || value == b"keep-alive",
        b"keep-alive" => value.starts_with(b"timeout=") || value.starts_with(b"max="),
        _ => false,
    }
}

/// Reads a body as if it were chunked, for as long as it can be.
#[derive(Debug, Clone)]
struct ChunkTrace {
    /// `None` once the body has turned out not to be chunked.
    decoder: Option<Box<BodyDecoder>>,
    unread: BytesMut,
}

impl ChunkTrace {
    fn new() -> Self {
        Self {
            decoder: Some(Box::new(BodyDecoder::new(BodyFraming::Chunked))),
            unread: BytesMut::new(),
        }
    }

    fn add(
        &mut self,
        bytes: &[u8],
    ) {
        let Some(decoder) = &mut self.decoder else {
            return;
        };
        self.unread.extend_from_slice(bytes);
        let is_chunked = loop {
            match decoder.decode(&mut self.unread) {
                Ok(Decoded::Data(_)) => {}
                Ok(Decoded::Incomplete) => break true,
                Ok(Decoded::End) => break !self.unread.has_remaining(),
                Err(_) => break false,
            }
        };
        if !is_chunked {
            self.decoder = None;
            self.unread = BytesMut::new();
        }
    }

    /// Returns true if the body so far is chunks, one of them whole.
    fn has_chunks(&self) -> bool {
        self.decoder
            .as_ref()
            .is_some_and(|decoder| decoder.has_whole_chunk())
    }
}
