use {
    crate::errors::PlatformError,
    attohttpc::{ErrorKind, ProxySettings, RequestBuilder, Response},
    serde::de::DeserializeOwned,
    std::{io, net::SocketAddr, time::Duration},
};

/// Makes the platform's HTTP calls and sorts their failures.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// What is called, for messages.
    pub what: &'static str,
    /// `http://address/path-of-the-service`, without a slash at the end.
    pub base: String,
    /// Limit for connecting and for each read.
    pub timeout: Duration,
    /// Limit for all of it.
    pub whole: Duration,
}

impl HttpCall {
    pub fn new(
        what: &'static str,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Self {
        Self {
            what,
            base: format!("http://{address}{path}"),
            timeout,
            whole: timeout,
        }
    }

    /// The same for replies that may be large: all of it may take longer, as long as bytes come.
    pub fn with_whole(
        self,
        whole: Duration,
    ) -> Self {
        Self { whole, ..self }
    }

    /// Sends a request; a status of 400 or more is an error, but for 404.
    pub fn send<B: attohttpc::body::Body>(
        &self,
        request: RequestBuilder<B>,
    ) -> Result<Option<Response>, PlatformError> {
        let response = request
            // The platform is reached directly, whatever the environment says of proxies.
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(self.timeout)
            .read_timeout(self.timeout)
            .timeout(self.whole)
            .send()
            .map_err(|e| self.sort(e))?;
        match response.status().as_u16() {
            404 => Ok(None),
            status if status >= 400 => Err(PlatformError::Refused {
                what: self.what,
                status,
            }),
            _ => Ok(Some(response)),
        }
    }

    /// Sends a request and reads a JSON reply.
    pub fn json<B: attohttpc::body::Body, T: DeserializeOwned>(
        &self,
        request: RequestBuilder<B>,
    ) -> Result<Option<T>, PlatformError> {
        let Some(response) = self.send(request)? else {
            return Ok(None);
        };
        response
            .json()
            .map(Some)
            .map_err(|e| self.bad_reply(e.to_string()))
    }

    /// The error for a reply that is missing or makes no sense.
    pub fn bad_reply(
        &self,
        problem: String,
    ) -> PlatformError {
        PlatformError::BadReply {
            what: self.what,
            problem,
        }
    }

    fn sort(
        &self,
        error: attohttpc::Error,
    ) -> PlatformError {
        let what = self.what;
        let problem = error.to_string();
        match error.kind() {
            ErrorKind::ConnectError { .. } => PlatformError::NotReached { what, problem },
            ErrorKind::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                PlatformError::NotReached { what, problem }
            }
            _ => PlatformError::ReplyLost { what, problem },
        }
    }
}
