use http::{HeaderMap, Method};

/// A call to an outside system, without what only concerns the connection.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpCall {
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Empty for calls without a body; else JSON.
    pub body: Vec<u8>,
}

impl HttpCall {
    /// A call without a body.
    pub fn get(target: String) -> Self {
        Self {
            method: Method::GET,
            target,
            body: Vec::new(),
        }
    }

    /// A call with a JSON body.
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

/// The whole answer to a call.
#[derive(Debug, Clone, PartialEq)]
pub struct HttpReply {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}
