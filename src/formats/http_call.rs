use http::Method;

/// An HTTP call to an external system, without connection-level headers.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpCall {
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// JSON, or empty if there is no body.
    pub body: Vec<u8>,
}

impl HttpCall {
    /// Creates a GET call without a body.
    pub fn get(target: String) -> Self {
        Self {
            method: Method::GET,
            target,
            body: Vec::new(),
        }
    }

    /// Creates a POST call with a JSON body.
    pub fn post(
        target: String,
        body: Vec<u8>,
    ) -> Self {
        Self {
            method: Method::POST,
            target,
            body,
        }
    }
}

/// The complete response to a call.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpReply {
    pub status: u16,
    pub body: Vec<u8>,
}
