use {
    super::{HttpCall, ObjectStore},
    crate::errors::PlatformError,
    std::{net::SocketAddr, time::Duration},
};

/// Longest time for a whole object: the configuration of 150,000 adapters has 14.8 MiB, 12.4 s on a
/// link of 10 Mbit/s.
///
/// A limit of a second on the whole would cut each read of such an object, and each try would begin anew.
const OBJECT_LIMIT: Duration = Duration::from_secs(60);

/// The object store over HTTP: `GET` and `PUT /objects/<name>`.
pub struct HttpObjectStore {
    call: HttpCall,
}

impl HttpObjectStore {
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        Self {
            call: HttpCall::new("object store", address, "/objects", timeout)
                .with_whole(OBJECT_LIMIT),
        }
    }

    fn url(
        &self,
        name: &str,
    ) -> String {
        format!("{}/{name}", self.call.base)
    }
}

impl ObjectStore for HttpObjectStore {
    fn get(
        &self,
        name: &str,
    ) -> Result<Option<String>, PlatformError> {
        let Some(response) = self.call.send(attohttpc::get(self.url(name)))? else {
            return Ok(None);
        };
        let text = response.text();
        text.map(Some)
            .map_err(|e| self.call.bad_reply(e.to_string()))
    }

    fn put(
        &self,
        name: &str,
        content: &str,
    ) -> Result<(), PlatformError> {
        let request = attohttpc::put(self.url(name)).text(content);
        let stored = self.call.send(request)?;
        stored
            .map(|_| ())
            .ok_or_else(|| self.call.bad_reply("no such path".into()))
    }
}
