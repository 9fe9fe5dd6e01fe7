use {
    super::{
        ControlEvent, HostControl,
        control_runner::ControlRunner,
        public_pages::{Audience, PublicPages},
        traffic::{TrafficParts, run_traffic},
    },
    crate::{
        clock::Instant,
        connection::{
            datagram::DatagramSocket,
            front::{HostStop, StopStage},
        },
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

/// Share of the grace time after which new requests are refused.
const REFUSE_SHARE: f64 = 0.35;

/// Share of the grace time after which requests that still run are answered without their targets' answers.
const ANSWER_SHARE: f64 = 0.9;

/// Share of the grace time after which the process ends whatever runs.
const END_SHARE: f64 = 0.96;

/// Time between looks whether the last connection has ended.
const END_PERIOD: Duration = Duration::from_millis(50);

/// A planned stop takes at least so long, so that callers hear of it.
const LEAST_STOP: Duration = Duration::from_millis(300);

/// Runs one host until it is told to stop.
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
    // First of all: a signal that comes before would end the process.
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
    let forwards = std::net::TcpListener::bind(listen.forwards)
        .map_err(|problem| listen_error(listen.forwards, &problem))?;
    let (control_sender, requests) = flume::unbounded();
    let pages = Rc::new(PublicPages::new(
        control.clone(),
        formats.clone(),
        settings.bounds.entry_life,
        settings.link_mbps,
        control_sender.clone(),
    ));
    let addresses = [listen.entry, listen.ready, listen.peers].map(|at| (at, Audience::Anyone));
    let figures = listen.metrics.map(|at| (at, Audience::Operators));
    for (address, audience) in addresses.into_iter().chain(figures) {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|problem| listen_error(address, &problem))?;
        spawn_local(pages.clone().serve(listener, audience));
    }
    let socket = DatagramSocket::bind(listen.peers)
        .await
        .map_err(|problem| listen_error(listen.peers, &problem))?;
    let (stop, stop_seen) = watch::channel(HostStop::none());
    let (traffic, inputs) = flume::unbounded();
    let open_connections = Arc::new(AtomicUsize::new(0));
    let parts = TrafficParts {
        settings: settings.clone(),
        formats: formats.clone(),
        listener: front,
        forwards,
        inputs,
        control: control_sender,
        stop: stop_seen,
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
    leave(&stop, &open_connections, settings.bounds.grace).await;
    Ok(())
}

/// The signals that the process heeds.
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

/// Lets what runs come to its end, as long as the grace time allows.
async fn leave(
    stop: &watch::Sender<HostStop>,
    open_connections: &AtomicUsize,
    grace: Duration,
) {
    let begun = Instant::now();
    let tell = |passed: Duration| {
        let _ = stop.send(HostStop {
            stage: stop_stage(passed, grace),
            answering_at: Some(begun + grace.mul_f64(ANSWER_SHARE)),
        });
    };
    tell(Duration::ZERO);
    loop {
        tokio::time::sleep(END_PERIOD).await;
        let passed = begun.elapsed();
        tell(passed);
        let idle = open_connections.load(Ordering::Relaxed) == 0;
        if passed >= grace.mul_f64(END_SHARE) || idle && passed >= LEAST_STOP {
            return;
        }
    }
}

/// Returns the stage of a planned stop after this time.
fn stop_stage(
    passed: Duration,
    grace: Duration,
) -> StopStage {
    if passed >= grace.mul_f64(ANSWER_SHARE) {
        return StopStage::Answering;
    }
    match passed >= grace.mul_f64(REFUSE_SHARE) {
        true => StopStage::Rejecting,
        false => StopStage::Draining,
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
