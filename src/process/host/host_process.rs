use {
    super::{
        ControlEvent, HostControl,
        control_runner::ControlRunner,
        public_pages::{Audience, PublicPages},
        traffic::{TrafficParts, run_traffic},
    },
    crate::{
        clock::Instant,
        connection::{datagram::DatagramSocket, front::StopStage},
        errors::RunError,
        formats::Formats,
        process::settings::NodeSettings,
    },
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        runtime::Builder,
        signal::unix::{Signal, SignalKind, signal},
        sync::watch,
        task::{LocalSet, spawn_local},
    },
};

/// Share of the grace period after which new requests are rejected.
const REJECT_SHARE: f64 = 0.35;

/// Share of the grace period after which the process exits even if requests are running.
const EXIT_SHARE: f64 = 0.96;

/// Interval of checks for open connections during a planned stop.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum duration of a planned stop, so that callers can be notified of it.
const MIN_STOP_DURATION: Duration = Duration::from_millis(300);

/// Runs one host until it receives a signal to stop.
pub fn run_host_process(
    settings: NodeSettings,
    formats: Arc<dyn Formats>,
) -> Result<(), RunError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|problem| RunError::Call(problem.to_string()))?;
    LocalSet::new().block_on(&runtime, serve(settings, formats))
}

async fn serve(
    settings: NodeSettings,
    formats: Arc<dyn Formats>,
) -> Result<(), RunError> {
    // Handlers come first: an earlier signal would kill the process.
    let mut signals = Signals::new()?;
    let control = HostControl::new(
        settings.clone(),
        formats.clone(),
        rand::random(),
        Instant::now(),
    );
    let control = Rc::new(RefCell::new(control));
    let listen = &settings.listen;
    let front = std::net::TcpListener::bind(listen.front)
        .map_err(|problem| listen_error(listen.front, &problem))?;
    let (control_sender, requests) = flume::unbounded();
    let pages = Rc::new(PublicPages::new(
        control.clone(),
        formats.clone(),
        settings.bounds.entry_life,
        settings.link_mbps,
        control_sender.clone(),
    ));
    let addresses = [listen.entry, listen.ready, listen.peers].map(|at| (at, Audience::Anyone));
    let metrics_address = listen.metrics.map(|at| (at, Audience::Operators));
    for (address, audience) in addresses.into_iter().chain(metrics_address) {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|problem| listen_error(address, &problem))?;
        spawn_local(pages.clone().serve(listener, audience));
    }
    let socket = DatagramSocket::bind(listen.peers)
        .await
        .map_err(|problem| listen_error(listen.peers, &problem))?;
    let (stop, stop_receiver) = watch::channel(StopStage::Serving);
    let (traffic, inputs) = flume::unbounded();
    let open_connections = Arc::new(AtomicUsize::new(0));
    let parts = TrafficParts {
        settings: settings.clone(),
        formats: formats.clone(),
        listener: front,
        inputs,
        control: control_sender,
        stop: stop_receiver,
        open_connections: open_connections.clone(),
    };
    std::thread::Builder::new()
        .name("traffic".to_string())
        .spawn(move || run_traffic(parts))
        .map_err(|problem| RunError::Call(problem.to_string()))?;
    let runner = ControlRunner::new(control, formats, &settings, socket, requests, traffic);
    let events = runner.events();
    spawn_local(runner.run());
    signals.wait_for_stop().await;
    let _ = events.send(ControlEvent::Stop);
    drain(&stop, &open_connections, settings.bounds.grace).await;
    Ok(())
}

/// Handlers for SIGTERM and SIGINT, which stop the process, and SIGHUP, which is ignored.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, RunError> {
        let listen = |kind| signal(kind).map_err(|problem| RunError::Call(problem.to_string()));
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }

    async fn wait_for_stop(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => {}
            }
        }
    }
}

/// Drains connections: returns when none is open or the grace period is nearly over.
async fn drain(
    stop: &watch::Sender<StopStage>,
    open_connections: &AtomicUsize,
    grace: Duration,
) {
    let started = Instant::now();
    let _ = stop.send(StopStage::Draining);
    loop {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        let elapsed = started.elapsed();
        if elapsed >= grace.mul_f64(REJECT_SHARE) {
            let _ = stop.send(StopStage::Rejecting);
        }
        let idle = open_connections.load(Ordering::Relaxed) == 0;
        if elapsed >= grace.mul_f64(EXIT_SHARE) || idle && elapsed >= MIN_STOP_DURATION {
            return;
        }
    }
}

fn listen_error(
    address: SocketAddr,
    problem: &std::io::Error,
) -> RunError {
    RunError::Listen {
        address: address.to_string(),
        problem: problem.to_string(),
    }
}
