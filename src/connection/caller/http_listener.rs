use {
    axum::{Router, body::Body, extract::ConnectInfo},
    hyper::{Request, body::Incoming, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        collections::HashMap,
        io,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
    },
    tower::ServiceExt,
};

/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Largest head of a request, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// What one listener bears.
#[derive(Debug, Clone)]
pub struct ListenerLimits {
    /// Connections open at once.
    pub connections: usize,
    /// Connections open at once from one address.
    pub connections_per_address: usize,
    /// Time for the head of a request to arrive; also how long an idle connection stays.
    pub head_timeout: Duration,
}

/// An extension of a response that makes the listener drop the connection instead.
#[derive(Debug, Clone)]
pub struct DropConnection;

/// Serves HTTP/1.1 over bounded connections; each write leaves at once.
pub struct HttpListener {
    listener: TcpListener,
    limits: ListenerLimits,
    open: Arc<Semaphore>,
    by_address: Arc<Mutex<HashMap<IpAddr, usize>>>,
}

impl HttpListener {
    pub fn new(
        listener: TcpListener,
        limits: ListenerLimits,
    ) -> Self {
        Self {
            listener,
            open: Arc::new(Semaphore::new(limits.connections)),
            by_address: Arc::default(),
            limits,
        }
    }

    /// Accepts until `stop` turns true; open connections then end after their request.
    pub async fn serve(
        self,
        router: Router,
        mut stop: watch::Receiver<bool>,
    ) {
        loop {
            let permit = tokio::select! {
                permit = self.open.clone().acquire_owned() => permit,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            let Ok(permit) = permit else { return };
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = stop.wait_for(|stop| *stop) => return,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Some(seat) = self.seat(peer.ip()) else {
                continue;
            };
            let router = router.clone();
            let limits = self.limits.clone();
            let stop = stop.clone();
            tokio::spawn(async move {
                serve_connection(stream, peer, router, limits, stop).await;
                drop((seat, permit));
            });
        }
    }

    fn seat(
        &self,
        address: IpAddr,
    ) -> Option<Seat> {
        let mut by_address = self.by_address.lock().expect("no holder panics");
        let taken = by_address.entry(address).or_insert(0);
        if *taken >= self.limits.connections_per_address {
            return None;
        }
        *taken += 1;
        Some(Seat {
            address,
            by_address: self.by_address.clone(),
        })
    }
}

/// One open connection of an address; given back when dropped.
struct Seat {
    address: IpAddr,
    by_address: Arc<Mutex<HashMap<IpAddr, usize>>>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut by_address = self.by_address.lock().expect("no holder panics");
        if let Some(taken) = by_address.get_mut(&self.address) {
            *taken -= 1;
            if *taken == 0 {
                by_address.remove(&self.address);
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    router: Router,
    limits: ListenerLimits,
    mut stop: watch::Receiver<bool>,
) {
    // Without it a token could wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(ConnectInfo(peer));
        let answer = router.clone().oneshot(request.map(Body::new));
        async move {
            let response = answer.await.unwrap_or_else(|never| match never {});
            match response.extensions().get::<DropConnection>() {
                Some(_) => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
                None => Ok(response),
            }
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(MAX_HEAD)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopped = tokio::select! {
        _ = connection.as_mut() => return,
        stopped = stop.wait_for(|stop| *stop) => stopped.is_ok(),
    };
    if stopped {
        connection.as_mut().graceful_shutdown();
    }
    let _ = connection.await;
}
