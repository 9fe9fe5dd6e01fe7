use {
    super::{HostList, HttpCall, ListedHost},
    crate::errors::PlatformError,
    std::{net::SocketAddr, time::Duration},
};

/// The host list over HTTP: `GET /hosts`.
pub struct HttpHostList {
    call: HttpCall,
}

impl HttpHostList {
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        Self {
            call: HttpCall::new("host list", address, "/hosts", timeout),
        }
    }
}

impl HostList for HttpHostList {
    fn read(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let hosts = self.call.json(attohttpc::get(&self.call.base))?;
        hosts.ok_or_else(|| self.call.bad_reply("no list".into()))
    }
}
