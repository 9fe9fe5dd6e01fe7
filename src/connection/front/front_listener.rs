use {
    super::{
        AnswerBody, Dispatcher, OwnAnswer, OwnCause, RequestProblem, RequestReader,
        admission::{Belief, HELD_COME_BACK, wait_until_confirmed},
        request_trace::millis,
    },
    crate::{
        clock::Instant,
        connection::targets::TargetTable,
        formats::Formats,
        metrics::{StateLabels, metrics},
        note,
        timeline::Event,
    },
    http::{Request, Response},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    rand::RngExt,
    std::{
        cell::RefCell,
        io,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::spawn_local,
    },
};

/// Pause after a failed accept, such as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Callers come back to another host after this time when this one stops.
const STOP_COME_BACK: Duration = Duration::from_millis(20);

/// Callers come back after this time while no configuration is known.
const NOT_READY_COME_BACK: Duration = Duration::from_millis(300);

/// Connections of callers, among the figures.
const CALLERS: StateLabels = StateLabels { state: "callers" };

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrontStop {
    Serving,
    /// Requests are served; connections end after their request.
    Leaving,
    /// New requests are refused.
    Refusing,
}

/// Takes callers' connections and serves their requests.
pub struct FrontListener {
    dispatcher: Rc<Dispatcher>,
    reader: RequestReader,
    board: Rc<RefCell<TargetTable>>,
    formats: Arc<dyn Formats>,
    stop: watch::Receiver<FrontStop>,
    open_connections: Arc<AtomicUsize>,
}

impl FrontListener {
    pub fn new(
        board: Rc<RefCell<TargetTable>>,
        formats: Arc<dyn Formats>,
        hall: &str,
        stop: watch::Receiver<FrontStop>,
        open_connections: Arc<AtomicUsize>,
    ) -> Self {
        Self {
            dispatcher: Rc::new(Dispatcher::new(board.clone(), formats.clone(), hall)),
            reader: RequestReader::new(formats.clone()),
            board,
            formats,
            stop,
            open_connections,
        }
    }

    /// Accepts connections for as long as the process runs.
    pub async fn serve(
        self: Rc<Self>,
        listener: TcpListener,
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().serve_connection(stream));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
    ) {
        let _ = stream.set_nodelay(true);
        let _open = OpenConnection::start(&self.open_connections);
        let limits = self.board.borrow().routing().limits;
        let front = self.clone();
        let service = service_fn(move |request| front.clone().answer(request));
        let connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.header_bytes.max(8 * 1024) * 2)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut stop = self.stop.clone();
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stop.wait_for(|stop| *stop >= FrontStop::Leaving) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, io::Error> {
        let arrived = Instant::now();
        let id = self.reader.id(request.headers());
        let own = |answer: OwnAnswer| {
            answer.into_response(&self.formats.headers().request_id, id.as_ref())
        };
        if *self.stop.borrow() >= FrontStop::Refusing {
            return Ok(own(OwnAnswer::after(OwnCause::Stopping, STOP_COME_BACK)));
        }
        let id_text = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
        if !wait_until_confirmed(&self.board, Belief::Declared, id_text).await {
            return Ok(own(OwnAnswer::after(OwnCause::Unconfirmed, HELD_COME_BACK)));
        }
        self.board
            .borrow_mut()
            .record_routing_staleness(Instant::now());
        let routing = self.board.borrow().routing().clone();
        let draw = rand::rng().random::<f64>();
        match self.reader.read(request, &routing, arrived, draw).await {
            Ok(request) => Ok(self.dispatcher.serve(request).await),
            Err(RequestProblem::Answer(OwnCause::NotReady)) => Ok(own(OwnAnswer::after(
                OwnCause::NotReady,
                NOT_READY_COME_BACK,
            ))),
            Err(RequestProblem::Answer(cause)) => Ok(own(self.reject(cause, id_text))),
            Err(RequestProblem::Gone) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

impl FrontListener {
    /// The answer to a request that is not routed, with a line on what that rests on.
    ///
    /// A key that stands nowhere may have been added since a configuration that is older than its bound; its caller
    /// would take 401 for the last word.
    fn reject(
        &self,
        cause: OwnCause,
        id: &str,
    ) -> OwnAnswer {
        let now = Instant::now();
        let board = self.board.borrow();
        let answer = match cause {
            OwnCause::UnknownKey if !board.can_reject_unknown_keys(now) => {
                OwnAnswer::after(OwnCause::Unconfirmed, HELD_COME_BACK)
            }
            cause => OwnAnswer::new(cause),
        };
        let age = board.freshness().declared.age(now);
        note!(
            Event::RequestRejected,
            id = id,
            cause = cause.word(),
            answered = answer.cause.word(),
            config = board.routing().version,
            age_ms = age.map_or(-1.0, millis),
        );
        answer
    }
}

/// A connection that is open; counted until dropped.
struct OpenConnection {
    count: Arc<AtomicUsize>,
}

impl OpenConnection {
    fn start(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        metrics().connections.get_or_create(&CALLERS).inc();
        Self {
            count: count.clone(),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
        metrics().connections.get_or_create(&CALLERS).dec();
    }
}
