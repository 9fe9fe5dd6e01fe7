use {
    super::{
        AnswerBody, Dispatcher, ErrorCause, LocalAnswer, RequestReadError, RequestReader,
        admission::{FreshnessCheck, STALE_RETRY_AFTER, wait_until_fresh},
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

/// Backoff after a failed accept, such as when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Retry delay for callers while this host stops; they should use another one.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Retry delay for callers while no configuration is known.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Metric label of callers' connections.
const CALLER_CONNECTIONS: StateLabels = StateLabels { state: "callers" };

/// Stage of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    Serving,
    /// Requests are served; connections are closed after their request.
    Draining,
    /// New requests are rejected.
    Rejecting,
}

/// Accepts callers' connections and serves their requests.
pub struct FrontListener {
    dispatcher: Rc<Dispatcher>,
    reader: RequestReader,
    table: Rc<RefCell<TargetTable>>,
    formats: Arc<dyn Formats>,
    stop: watch::Receiver<StopStage>,
    open_connections: Arc<AtomicUsize>,
}

impl FrontListener {
    pub fn new(
        table: Rc<RefCell<TargetTable>>,
        formats: Arc<dyn Formats>,
        hall: &str,
        stop: watch::Receiver<StopStage>,
        open_connections: Arc<AtomicUsize>,
    ) -> Self {
        Self {
            dispatcher: Rc::new(Dispatcher::new(table.clone(), formats.clone(), hall)),
            reader: RequestReader::new(formats.clone()),
            table,
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
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
    ) {
        let _ = stream.set_nodelay(true);
        let _open = OpenConnection::start(&self.open_connections);
        let limits = self.table.borrow().routing().limits;
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
            _ = stop.wait_for(|stop| *stop >= StopStage::Draining) => {}
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
        let error_response = |answer: LocalAnswer| {
            answer.into_response(&self.formats.headers().request_id, id.as_ref())
        };
        if *self.stop.borrow() >= StopStage::Rejecting {
            return Ok(error_response(LocalAnswer::after(
                ErrorCause::Stopping,
                STOPPING_RETRY_AFTER,
            )));
        }
        let id_text = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
        if !wait_until_fresh(&self.table, FreshnessCheck::Declared, id_text).await {
            return Ok(error_response(LocalAnswer::after(
                ErrorCause::StaleTables,
                STALE_RETRY_AFTER,
            )));
        }
        self.table
            .borrow_mut()
            .record_routing_staleness(Instant::now());
        let routing = self.table.borrow().routing().clone();
        let draw = rand::rng().random::<f64>();
        match self.reader.read(request, &routing, arrived, draw).await {
            Ok(request) => Ok(self.dispatcher.serve(request).await),
            Err(RequestReadError::Rejected(ErrorCause::NotReady)) => Ok(error_response(
                LocalAnswer::after(ErrorCause::NotReady, NOT_READY_RETRY_AFTER),
            )),
            Err(RequestReadError::Rejected(cause)) => {
                Ok(error_response(self.reject(cause, id_text)))
            }
            Err(RequestReadError::CallerGone) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

impl FrontListener {
    /// Returns the answer to a request that is not routed, and logs the configuration that this depends on.
    ///
    /// While the configuration is stale, an unknown key gets a retryable answer, since it may have been added
    /// meanwhile.
    fn reject(
        &self,
        cause: ErrorCause,
        id: &str,
    ) -> LocalAnswer {
        let now = Instant::now();
        let table = self.table.borrow();
        let answer = match cause {
            ErrorCause::UnknownKey if !table.can_reject_unknown_keys(now) => {
                LocalAnswer::after(ErrorCause::StaleTables, STALE_RETRY_AFTER)
            }
            cause => LocalAnswer::new(cause),
        };
        let age = table.freshness().declared.age(now);
        note!(
            Event::RequestRejected,
            id = id,
            cause = cause.word(),
            answered = answer.cause.word(),
            config = table.routing().version,
            age_ms = age.map_or(-1.0, millis),
        );
        answer
    }
}

/// An open connection; counted until dropped.
struct OpenConnection {
    count: Arc<AtomicUsize>,
}

impl OpenConnection {
    fn start(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        metrics()
            .connections
            .get_or_create(&CALLER_CONNECTIONS)
            .inc();
        Self {
            count: count.clone(),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
        metrics()
            .connections
            .get_or_create(&CALLER_CONNECTIONS)
            .dec();
    }
}
