use {
    super::{BodyDecoder, ExchangeError, HttpConnection, ResponseHead},
    crate::formats::{HttpCall, HttpReply},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Largest body of a reply, in bytes.
const MAX_REPLY: usize = 16 * 1024 * 1024;

/// How a call ended that brought no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// Nothing left this host.
    NotSent,
    /// It may have been carried out.
    Unknown,
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
        let mut sent = false;
        let outcome = timeout(limit, self.try_call(call, headers, &mut sent)).await;
        match outcome {
            Ok(Ok(reply)) => Ok(reply),
            // Whatever a connection that failed once says later belongs to no call.
            _ => {
                self.connection = None;
                Err(match sent {
                    true => CallFailure::Unknown,
                    false => CallFailure::NotSent,
                })
            }
        }
    }

    async fn try_call(
        &mut self,
        call: &HttpCall,
        headers: &str,
        sent: &mut bool,
    ) -> Result<HttpReply, ExchangeError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_quiet() => connection,
            _ => HttpConnection::open(self.address).await?,
        };
        *sent = true;
        let request = self.request(call, headers);
        let (head, whole) = connection
            .exchange(&request, &call.method, |_| true)
            .await?;
        let body = read_body(&mut connection, &head).await?;
        if head.keeps_alive && whole {
            connection.rest();
            self.connection = Some(connection);
        }
        Ok(HttpReply {
            status: head.status.as_u16(),
            body,
        })
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
) -> Result<Vec<u8>, ExchangeError> {
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    while let Some(piece) = connection.body_piece(&mut decoder).await? {
        if body.len() + piece.len() > MAX_REPLY {
            return Err(ExchangeError::Nonsense("the body is too large"));
        }
        body.extend_from_slice(&piece);
    }
    Ok(body)
}
