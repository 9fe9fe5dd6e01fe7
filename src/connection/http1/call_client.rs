use {
    super::{BodyDecoder, ExchangeError, HttpConnection, ResponseHead},
    crate::formats::{HttpCall, HttpReply},
    std::{net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::time::timeout,
};

/// Largest body of a reply, in bytes.
const MAX_REPLY: usize = 16 * 1024 * 1024;

/// Why a call brought no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallEnd {
    #[error("its time was over")]
    TimedOut,
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
}

impl CallClient {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Makes a call; the whole of it may take `limit`.
    ///
    /// `headers` are whole header lines, each with its line end.
    pub async fn call(
        &mut self,
        call: &HttpCall,
        headers: &str,
        limit: Duration,
    ) -> Result<HttpReply, CallFailure> {
        let mut progress = CallProgress::default();
        let outcome = timeout(limit, self.try_call(call, headers, &mut progress)).await;
        let end = match outcome {
            Ok(Ok(status)) => {
                let body = progress.body;
                return Ok(HttpReply { status, body });
            }
            Ok(Err(problem)) => CallEnd::Broken(problem),
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
        headers: &str,
        progress: &mut CallProgress,
    ) -> Result<u16, ExchangeError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_quiet() => connection,
            _ => HttpConnection::open(self.address).await?,
        };
        progress.sent = true;
        let request = self.request(call, headers);
        let (head, whole) = connection
            .exchange(&request, &call.method, |_| true)
            .await?;
        read_body(&mut connection, &head, &mut progress.body).await?;
        if head.keeps_alive && whole {
            connection.rest();
            self.connection = Some(connection);
        }
        Ok(head.status.as_u16())
    }

    fn request(
        &self,
        call: &HttpCall,
        headers: &str,
    ) -> Vec<u8> {
        let content = match call.body.is_empty() {
            true => String::new(),
            false => "Content-Type: application/json\r\n".to_string(),
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n{headers}{content}Content-Length: {}\r\n\r\n",
            call.method,
            call.target,
            self.address,
            call.body.len(),
        );
        let mut request = head.into_bytes();
        request.extend_from_slice(&call.body);
        request
    }
}

async fn read_body(
    connection: &mut HttpConnection,
    head: &ResponseHead,
    body: &mut Vec<u8>,
) -> Result<(), ExchangeError> {
    let mut decoder = BodyDecoder::new(head.framing);
    while let Some(piece) = connection.body_piece(&mut decoder).await? {
        if body.len() + piece.len() > MAX_REPLY {
            return Err(ExchangeError::Nonsense("the body is too large"));
        }
        body.extend_from_slice(&piece);
    }
    Ok(())
}
