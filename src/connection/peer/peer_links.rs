use {
    super::wire::peer_client,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tonic::transport::{Channel, Endpoint},
};

/// A client of another host's peer service.
pub type PeerClient = peer_client::PeerClient<Channel>;

/// Limit for reaching another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A link in use that answers no ping for this long after the interval is cut.
const PING_TIMEOUT: Duration = Duration::from_millis(700);

const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Largest message between hosts, in bytes.
const MAX_MESSAGE: usize = 32 * 1024 * 1024;

/// Links to the other hosts, opened at first use and kept.
#[derive(Clone, Default)]
pub struct PeerLinks {
    links: Arc<Mutex<HashMap<SocketAddr, PeerClient>>>,
}

impl PeerLinks {
    /// The link to the host at `address`.
    pub fn to(
        &self,
        address: SocketAddr,
    ) -> PeerClient {
        let mut links = self.links.lock().expect("no holder panics");
        let link = links.entry(address).or_insert_with(|| open(address));
        link.clone()
    }
}

fn open(address: SocketAddr) -> PeerClient {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .expect("an address makes a valid URI")
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT);
    PeerClient::new(endpoint.connect_lazy())
        .max_decoding_message_size(MAX_MESSAGE)
        .max_encoding_message_size(MAX_MESSAGE)
}
