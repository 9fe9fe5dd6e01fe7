use {
    super::{HostList, HttpCall, ListedHost},
    crate::errors::PlatformError,
    attohttpc::header::{ETAG, IF_NONE_MATCH},
    std::{net::SocketAddr, sync::Mutex, time::Duration},
};

/// Status of an answer that says that nothing has changed.
const NOT_MODIFIED: u16 = 304;

/// The host list over HTTP: `GET /hosts`, sent whole only when it has changed, by HTTP's own tags.
pub struct HttpHostList {
    call: HttpCall,
    last: Mutex<Option<TaggedList>>,
}

/// A list and the tag that the platform gave it.
#[derive(Clone)]
struct TaggedList {
    tag: String,
    hosts: Vec<ListedHost>,
}

impl HttpHostList {
    pub fn new(
        address: SocketAddr,
        timeout: Duration,
    ) -> Self {
        Self {
            call: HttpCall::new("host list", address, "/hosts", timeout),
            last: Mutex::default(),
        }
    }
}

impl HostList for HttpHostList {
    fn read(&self) -> Result<Vec<ListedHost>, PlatformError> {
        let mut last = self.last.lock().expect("no holder panics");
        let mut request = attohttpc::get(&self.call.base);
        if let Some(last) = last.as_ref() {
            request = request.header(IF_NONE_MATCH, &last.tag);
        }
        let response = self.call.send(request)?;
        let response = response.ok_or_else(|| self.call.bad_reply("no list".into()))?;
        if let (NOT_MODIFIED, Some(last)) = (response.status().as_u16(), last.as_ref()) {
            return Ok(last.hosts.clone());
        }
        let tag = response.headers().get(ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(str::to_string);
        let hosts: Vec<ListedHost> = response
            .json()
            .map_err(|e| self.call.bad_reply(e.to_string()))?;
        *last = tag.map(|tag| TaggedList {
            tag,
            hosts: hosts.clone(),
        });
        Ok(hosts)
    }
}
