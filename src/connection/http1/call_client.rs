use {
    super::{BodyDecoder, CallHeaders, ExchangeError, HttpConnection, ResponseHead, RestState},
    crate::{
        clock::Instant,
        formats::{HttpCall, HttpReply},
    },
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::time::timeout,
};

/// Largest body of a reply to a call that sets no other limit, in bytes.
const MAX_REPLY: usize = 16 * 1024 * 1024;

/// Time for which no connection is kept to a side that has sent surplus replies, unless its replies name their call.
const SUSPICION_TIME: Duration = Duration::from_secs(60);

/// How long a call may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimit {
    /// All of it.
    pub whole: Duration,
    /// Until the reply's head has come, and from each piece of its body to the next.
    pub silence: Duration,
    /// Bytes of its reply's body.
    pub body: usize,
}

impl CallLimit {
    /// A call that must be over after this time, for replies that are always small.
    pub fn whole(whole: Duration) -> Self {
        Self {
            whole,
            silence: whole,
            body: MAX_REPLY,
        }
    }

    /// The same for replies of up to so many bytes.
    pub fn with_body(
        self,
        body: usize,
    ) -> Self {
        Self { body, ..self }
    }

    /// A call whose reply may be large, and which may take long as long as bytes come.
    pub const fn transfer(
        whole: Duration,
        silence: Duration,
    ) -> Self {
        Self {
            whole,
            silence,
            body: MAX_REPLY,
        }
    }
}

/// Why a call brought no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallEnd {
    #[error("its time was over")]
    TimedOut,
    #[error("silence")]
    Silent,
    #[error(transparent)]
    Broken(#[from] ExchangeError),
}

/// How a call ended that brought no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{end} after {received} bytes of the reply")]
pub struct CallFailure {
    /// It may have been carried out; if not, nothing left this host.
    pub sent: bool,
    /// Bytes of the reply's body that had come.
    pub received: usize,
    pub end: CallEnd,
}

/// How far a call has got.
#[derive(Debug, Default)]
struct CallProgress {
    sent: bool,
    body: Vec<u8>,
}

/// Makes calls to one address, one after the other, over a kept connection.
#[derive(Debug)]
pub struct CallClient {
    address: SocketAddr,
    connection: Option<HttpConnection>,
    /// Replies over the kept connection bear the ids of their calls.
    are_named: bool,
    /// When a reply came last that was due to no call.
    surplus_at: Option<Instant>,
}

impl CallClient {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
            are_named: false,
            surplus_at: None,
        }
    }

    /// Makes a call.
    pub async fn call(
        &mut self,
        call: &HttpCall,
        headers: &CallHeaders,
        limit: CallLimit,
    ) -> Result<HttpReply, CallFailure> {
        let mut progress = CallProgress::default();
        let running = self.try_call(call, headers, limit, &mut progress);
        let end = match timeout(limit.whole, running).await {
            Ok(Ok(head)) => {
                return Ok(HttpReply {
                    status: head.status.as_u16(),
                    headers: head.headers,
                    body: progress.body,
                });
            }
            Ok(Err(end)) => end,
            Err(_) => CallEnd::TimedOut,
        };
        // Whatever a connection that failed once says later belongs to no call.
        self.connection = None;
        Err(CallFailure {
            sent: progress.sent,
            received: progress.body.len(),
            end,
        })
    }

    async fn try_call(
        &mut self,
        call: &HttpCall,
        headers: &CallHeaders,
        limit: CallLimit,
        progress: &mut CallProgress,
    ) -> Result<ResponseHead, CallEnd> {
        let silence = limit.silence;
        let head = self.read_head(call, headers, progress);
        let (mut connection, head, whole) = within(silence, head).await?;
        let mut decoder = BodyDecoder::new(head.framing);
        while let Some(piece) = within(silence, connection.body_piece(&mut decoder)).await? {
            if progress.body.len() + piece.len() > limit.body {
                return Err(ExchangeError::Nonsense("the body is too large").into());
            }
            progress.body.extend_from_slice(&piece);
        }
        if connection.surplus_answers() > 0 {
            self.surplus_at = Some(Instant::now());
        }
        self.are_named = headers.is_named_by(&head.headers);
        // Of a reply that can't be told from others a second one would be taken for that to the next call.
        let can_be_told = self.are_named || !self.is_suspect();
        if head.keeps_alive && whole && can_be_told {
            connection.rest();
            self.connection = Some(connection);
        }
        Ok(head)
    }

    /// Sends the request and reads the reply's head; the flag says whether the request was sent whole.
    async fn read_head(
        &mut self,
        call: &HttpCall,
        headers: &CallHeaders,
        progress: &mut CallProgress,
    ) -> Result<(HttpConnection, ResponseHead, bool), ExchangeError> {
        let mut connection = match self.resting() {
            Some(connection) => connection,
            None => {
                self.are_named = false;
                HttpConnection::open(self.address).await?
            }
        };
        progress.sent = true;
        let request = self.request(call, headers);
        let is_due = |head: &ResponseHead| headers.admits(&head.headers, self.are_named);
        let (head, whole) = connection.exchange(&request, &call.method, is_due).await?;
        Ok((connection, head, whole))
    }

    /// Returns the kept connection if nothing has come on it.
    fn resting(&mut self) -> Option<HttpConnection> {
        let connection = self.connection.take()?;
        match connection.rest_state() {
            RestState::Quiet => return Some(connection),
            RestState::Unasked => self.surplus_at = Some(Instant::now()),
            RestState::Closed => {}
        }
        None
    }

    /// Returns true if the other side has lately sent replies that were due to no call.
    fn is_suspect(&self) -> bool {
        self.surplus_at
            .is_some_and(|at| at.elapsed() < SUSPICION_TIME)
    }

    fn request(
        &self,
        call: &HttpCall,
        headers: &CallHeaders,
    ) -> Vec<u8> {
        let content = match call.body.is_empty() {
            true => String::new(),
            false => "Content-Type: application/json\r\n".to_string(),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n{}{content}Content-Length: {}\r\n\r\n",
            call.method,
            call.target,
            self.address,
            headers.lines(),
            call.body.len(),
        );
        let mut request = head.into_bytes();
        request.extend_from_slice(&call.body);
        request
    }
}

/// Ends a step of a call that takes longer than the other side may be silent.
async fn within<T>(
    silence: Duration,
    step: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, CallEnd> {
    match timeout(silence, step).await {
        Ok(outcome) => Ok(outcome?),
        Err(_) => Err(CallEnd::Silent),
    }
}
