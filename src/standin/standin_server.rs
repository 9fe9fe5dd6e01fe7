use {
    crate::connection::caller::{HttpListener, ListenerLimits},
    axum::Router,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

/// Stand-ins bear what the tests and benchmarks send.
const CONNECTIONS: usize = 20_000;

/// A stand-in that listens; it stops when dropped.
pub struct StandinServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl StandinServer {
    /// Serves `router` at `address`; port 0 takes a port from the system.
    pub async fn start(
        address: SocketAddr,
        router: Router,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let limits = ListenerLimits {
            connections: CONNECTIONS,
            connections_per_address: CONNECTIONS,
            head_timeout: Duration::from_secs(60),
        };
        let listener = HttpListener::new(listener, limits);
        tokio::spawn(listener.serve(router, stopped));
        Ok(Self { address, stop })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        let _ = self.stop.send(true);
    }
}
