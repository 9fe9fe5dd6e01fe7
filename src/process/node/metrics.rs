use {
    cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink},
    std::{
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
};

const PREFIX: &str = "coveproxy";

/// Requests that ended, by outcome.
pub const REQUESTS: &str = "requests";
/// Time from a request's arrival to its end, in milliseconds.
pub const REQUEST_TIME: &str = "request.time";
/// Tries of requests beyond the first.
pub const RESENDS: &str = "resends";
/// Time that a request waited for its adapter to be loaded, in milliseconds.
pub const LOAD_WAIT: &str = "load.wait";

/// Every metric there is; `docs/METRICS.md` describes each.
pub const ALL_METRICS: &[&str] = &[REQUESTS, REQUEST_TIME, RESENDS, LOAD_WAIT];

/// Sends statsd metrics, if the settings say where.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    pub fn new(
        statsd: Option<SocketAddr>,
        host: &str,
    ) -> Self {
        let sink = statsd.and_then(|address| {
            let socket = UdpSocket::bind("0.0.0.0:0").ok()?;
            socket.set_nonblocking(true).ok()?;
            UdpMetricSink::from(address, socket).ok()
        });
        let builder = match sink {
            Some(sink) => StatsdClient::builder(PREFIX, QueuingMetricSink::from(sink)),
            None => StatsdClient::builder(PREFIX, NopMetricSink),
        };
        let client = builder.with_tag("host", host).build();
        Self {
            client: Arc::new(client),
        }
    }

    /// A request has ended.
    pub fn request(
        &self,
        outcome: &str,
        kind: &str,
        time: Duration,
    ) {
        let client = &self.client;
        client
            .count_with_tags(REQUESTS, 1)
            .with_tag("outcome", outcome)
            .with_tag("kind", kind)
            .send();
        client
            .time_with_tags(REQUEST_TIME, time)
            .with_tag("kind", kind)
            .send();
    }

    /// A request is tried once more.
    pub fn resend(
        &self,
        why: &str,
    ) {
        let counted = self.client.count_with_tags(RESENDS, 1);
        counted.with_tag("why", why).send();
    }

    /// A request has waited for its adapter.
    pub fn load_wait(
        &self,
        time: Duration,
    ) {
        self.client.time_with_tags(LOAD_WAIT, time).send();
    }
}
