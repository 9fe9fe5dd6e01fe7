use {
    crate::{
        connection::http1::{CallClient, CallFailure, CallLimit},
        formats::{HttpCall, HttpReply},
    },
    std::{cell::RefCell, collections::HashMap, net::SocketAddr},
};

/// Calls engines and other hosts over connections that are kept open between calls.
#[derive(Debug, Default)]
pub struct CallPool {
    idle: RefCell<HashMap<SocketAddr, CallClient>>,
}

impl CallPool {
    /// Makes a call over the idle connection to `address`, or over a new one.
    ///
    /// `headers` are complete header lines, each with its line end.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &HttpCall,
        headers: &str,
        limit: CallLimit,
    ) -> Result<HttpReply, CallFailure> {
        let idle = self.idle.borrow_mut().remove(&address);
        let mut client = idle.unwrap_or_else(|| CallClient::new(address));
        let reply = client.call(call, headers, limit).await;
        self.idle.borrow_mut().insert(address, client);
        reply
    }
}
