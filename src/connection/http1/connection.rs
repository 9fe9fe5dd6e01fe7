use {
    super::{BodyDecoder, CarriedIds, Decoded, ResponseHead},
    crate::metrics::metrics,
    bytes::{Bytes, BytesMut},
    http::Method,
    std::{
        io::{self, IoSlice},
        net::SocketAddr,
    },
    thiserror::Error,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Bytes read from a connection at once.
const READ_SIZE: usize = 4096;

/// Ends a head, behind its last line.
const BLANK_LINE: &[u8] = b"\r\n\r\n";

/// Begins each answer.
const ANSWER_BEGINNING: &[u8] = b"HTTP/1.";

/// Interim answers that are passed over in one exchange.
const MAX_INTERIM_ANSWERS: u32 = 8;

/// Surplus answers that are passed over in one exchange, and bytes of each body.
const MAX_SURPLUS_ANSWERS: u32 = 4;
const MAX_SURPLUS_BODY: usize = 256 * 1024;

/// Why an exchange over a connection came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ExchangeError {
    #[error("no connection")]
    NoConnection,
    #[error("the connection was closed")]
    Closed,
    #[error("the connection was reset")]
    Reset,
    #[error("the answer was broken off")]
    BrokenOff,
    #[error("no answer in the protocol: {0}")]
    Nonsense(&'static str),
}

/// One connection to a target or to the store.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
    /// Requests that went over it; no other answer may be taken for the one to a request that is sent again.
    pub carried: CarriedIds,
    surplus_answers: u32,
    /// Bytes of the buffer in which no end of a head was found.
    seen: usize,
    /// Size of the buffer at which an unfinished head is parsed again, as what came may be no head at all.
    parse_at: usize,
}

/// What has come on a connection on which nothing is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestState {
    Quiet,
    /// Bytes, which belong to no request.
    Unasked,
    Closed,
}

impl HttpConnection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Self, ExchangeError> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| ExchangeError::NoConnection)?;
        // Without it an event could wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            carried: CarriedIds::default(),
            surplus_answers: 0,
            seen: 0,
            parse_at: 0,
        })
    }

    /// True when the other side has neither closed the resting connection nor sent anything on it.
    pub fn is_quiet(&self) -> bool {
        self.rest_state() == RestState::Quiet
    }

    /// Returns what has come on the resting connection.
    pub fn rest_state(&self) -> RestState {
        if !self.buffer.is_empty() {
            return RestState::Unasked;
        }
        let mut byte = [0u8; 1];
        match self.stream.try_read(&mut byte) {
            Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => RestState::Quiet,
            Ok(0) | Err(_) => RestState::Closed,
            Ok(_) => RestState::Unasked,
        }
    }

    /// Returns the number of answers that were passed over, as they were to no request or to an earlier one.
    pub fn surplus_answers(&self) -> u32 {
        self.surplus_answers
    }

    /// Gives the memory back that only a running exchange needs.
    pub fn rest(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Sends a request and reads the head of the answer for which `is_ours` holds.
    ///
    /// Answers for which it does not hold are surplus, and passed over whole. The flag says whether
    /// the request was sent to its end; if not, the connection can serve nothing else.
    pub async fn exchange(
        &mut self,
        request: &[u8],
        method: &Method,
        is_ours: impl Fn(&ResponseHead) -> bool,
    ) -> Result<(ResponseHead, bool), ExchangeError> {
        self.exchange_parts(request, &[], method, is_ours).await
    }

    /// Exchanges a request whose head and body lie apart, so that the body need not be copied.
    pub async fn exchange_parts(
        &mut self,
        head: &[u8],
        body: &[u8],
        method: &Method,
        is_ours: impl Fn(&ResponseHead) -> bool,
    ) -> Result<(ResponseHead, bool), ExchangeError> {
        let size = head.len() + body.len();
        let mut sent = 0;
        let (mut interim, mut surplus) = (0, 0);
        loop {
            while let Some(head) = self.take_head(method)? {
                if head.is_interim() {
                    interim += 1;
                    if interim > MAX_INTERIM_ANSWERS {
                        return Err(ExchangeError::Nonsense("too many interim answers"));
                    }
                    continue;
                }
                if is_ours(&head) {
                    return Ok((head, sent == size));
                }
                surplus += 1;
                self.surplus_answers += 1;
                metrics().surplus_answers.inc();
                if surplus > MAX_SURPLUS_ANSWERS {
                    return Err(ExchangeError::Nonsense("too many surplus answers"));
                }
                self.skip_body(&head, MAX_SURPLUS_BODY).await?;
            }
            if sent < size {
                let rest = [
                    IoSlice::new(&head[sent.min(head.len())..]),
                    IoSlice::new(&body[sent.saturating_sub(head.len())..]),
                ];
                sent += self.write_or_read(&rest).await?;
            } else {
                self.read().await?;
            }
        }
    }

    /// The next piece of a body; `None` at its end.
    pub async fn body_piece(
        &mut self,
        decoder: &mut BodyDecoder,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match decoder.decode(&mut self.buffer)? {
                Decoded::Data(data) => return Ok(Some(data)),
                Decoded::End => {
                    self.check_behind()?;
                    return Ok(None);
                }
                Decoded::Incomplete => match self.read().await {
                    Err(ExchangeError::Closed) if decoder.ends_with_connection() => {
                        decoder.end_with_connection()?;
                        return Ok(None);
                    }
                    outcome => outcome?,
                },
            }
        }
    }

    /// Checks the bytes that have come behind a body: those of a surplus answer belong to no request, any others to a body whose
    /// length or last chunk is wrong. It waits for none.
    fn check_behind(&mut self) -> Result<(), ExchangeError> {
        if self.buffer.len() < ANSWER_BEGINNING.len() {
            self.buffer.reserve(READ_SIZE);
            // The end of the connection, or a failure, shows again in the next exchange or while the connection rests.
            let _ = self.stream.try_read_buf(&mut self.buffer);
        }
        let size = self.buffer.len().min(ANSWER_BEGINNING.len());
        match self.buffer[..size] == ANSWER_BEGINNING[..size] {
            true => Ok(()),
            false => Err(ExchangeError::Nonsense("more bytes than the body has")),
        }
    }

    /// Reads a body of up to `max` bytes that nobody needs.
    async fn skip_body(
        &mut self,
        head: &ResponseHead,
        max: usize,
    ) -> Result<(), ExchangeError> {
        let mut decoder = BodyDecoder::new(head.framing);
        let mut skipped = 0;
        while let Some(piece) = self.body_piece(&mut decoder).await? {
            skipped += piece.len();
            if skipped > max {
                return Err(ExchangeError::Nonsense("a surplus answer is too large"));
            }
        }
        Ok(())
    }

    /// Takes a head once it may be whole: a head that comes byte by byte is not parsed with each of them.
    fn take_head(
        &mut self,
        method: &Method,
    ) -> Result<Option<ResponseHead>, ExchangeError> {
        let size = self.buffer.len();
        let unseen = self.seen.saturating_sub(BLANK_LINE.len() - 1).min(size);
        let may_be_whole = ends_head(&self.buffer[unseen..]);
        self.seen = size;
        if size == 0 || !may_be_whole && size < self.parse_at {
            return Ok(None);
        }
        let head = ResponseHead::take(&mut self.buffer, method)?;
        (self.seen, self.parse_at) = match head {
            Some(_) => (0, 0),
            None => (size, size * 2),
        };
        Ok(head)
    }

    /// Writes some of `parts`, or reads if the other side has sent something; gives bytes written.
    async fn write_or_read(
        &mut self,
        parts: &[IoSlice<'_>],
    ) -> Result<usize, ExchangeError> {
        let (mut reader, mut writer) = self.stream.split();
        self.buffer.reserve(READ_SIZE);
        tokio::select! {
            biased;
            written = writer.write_vectored(parts) => written.map_err(failed),
            read = reader.read_buf(&mut self.buffer) => match read.map_err(failed)? {
                0 => Err(ExchangeError::Closed),
                _ => Ok(0),
            },
        }
    }

    async fn read(&mut self) -> Result<(), ExchangeError> {
        self.buffer.reserve(READ_SIZE);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) => Err(ExchangeError::Closed),
            Ok(_) => Ok(()),
            Err(problem) => Err(failed(problem)),
        }
    }
}

/// Returns true if a head may end here.
fn ends_head(bytes: &[u8]) -> bool {
    let mut pairs = bytes.windows(2);
    let ends = pairs.any(|pair| pair == b"\n\n");
    ends || bytes
        .windows(BLANK_LINE.len())
        .any(|window| window == BLANK_LINE)
}

fn failed(problem: io::Error) -> ExchangeError {
    match problem.kind() {
        io::ErrorKind::UnexpectedEof => ExchangeError::Closed,
        _ => ExchangeError::Reset,
    }
}
