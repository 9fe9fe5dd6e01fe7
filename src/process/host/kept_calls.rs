use {
    crate::{
        connection::http1::{CallClient, CallFailure, CallHeaders, CallLimit},
        formats::{HttpCall, HttpReply},
    },
    std::{cell::RefCell, collections::HashMap, net::SocketAddr},
};

/// Makes calls to engines and other hosts, over connections that rest in between.
#[derive(Debug, Default)]
pub struct KeptCalls {
    resting: RefCell<HashMap<SocketAddr, CallClient>>,
}

impl KeptCalls {
    /// Makes a call over the connection that rests, or a new one.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &HttpCall,
        headers: &CallHeaders,
        limit: CallLimit,
    ) -> Result<HttpReply, CallFailure> {
        let resting = self.resting.borrow_mut().remove(&address);
        let mut client = resting.unwrap_or_else(|| CallClient::new(address));
        let reply = client.call(call, headers, limit).await;
        self.resting.borrow_mut().insert(address, client);
        reply
    }
}
