use {
    super::{HttpCall, WeightStore, WeightStoreHealth},
    crate::errors::PlatformError,
    std::{net::SocketAddr, time::Duration},
};

/// The weight store's health over HTTP: `GET /weights/health`.
pub struct HttpWeightStore {
    call: HttpCall,
}

impl HttpWeightStore {
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        Self {
            call: HttpCall::new("weight store", address, "/weights", timeout),
        }
    }
}

impl WeightStore for HttpWeightStore {
    fn health(&self) -> Result<WeightStoreHealth, PlatformError> {
        let url = format!("{}/health", self.call.base);
        let health = self.call.json(attohttpc::get(url))?;
        health.ok_or_else(|| self.call.bad_reply("no health".into()))
    }
}
