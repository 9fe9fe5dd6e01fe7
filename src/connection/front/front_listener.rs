use {
    super::{
        AnswerBody, Dispatcher, ErrorCause, LocalAnswer, RequestReadError, RequestReader,
        admission::{FreshnessCheck, STALE_RETRY_AFTER, wait_until_fresh},
        final_answers::STOPPING_RETRY_AFTER,
        host_forwarder::DECLINED,
        host_stop::{StopStage, StopWatch},
        memory_sweeper::MemorySweeper,
        request_trace::millis,
    },
    crate::{
        clock::Instant,
        connection::targets::TargetTable,
        formats::Formats,
        metrics::{StateLabels, metrics},
        note,
        request::memory::{CallerMemory, CallerStage, CutKind, HostMemory, Pressure},
        timeline::Event,
        version::routing::RouteKind,
    },
    http::{HeaderValue, Request, Response, Version, header},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    rand::RngExt,
    socket2::SockRef,
    std::{
        cell::{Cell, RefCell},
        io,
        pin::Pin,
        rc::Rc,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// Backoff after a failed accept, such as when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Retry delay for callers while no configuration is known.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Retry delay for callers for whose requests there is no memory: other hosts may have some, and this one has some
/// again within 2 s.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Size of the send and the receive buffer that the system keeps for a connection, in bytes, if memory is limited:
/// enough for 200 Mbit/s over 5 ms. By default the system lets each grow to some megabytes for a caller that does not
/// read or is not read from. A slow caller must free a third of it within the time in which it has to show progress.
const SOCKET_BUFFER_BYTES: usize = 128 * 1024;

/// Time that a new connection to a host that stops has for its first request.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Smallest read buffer of a connection, in bytes.
const MIN_READ_BUFFER: usize = 8 * 1024;

/// Metric label of callers' connections.
const CALLER_CONNECTIONS: StateLabels = StateLabels { state: "callers" };

/// Who sends the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    Caller,
    /// Another host that forwards what it can't serve.
    Host,
}

/// Accepts callers' connections and serves their requests.
pub struct FrontListener {
    dispatcher: Rc<Dispatcher>,
    reader: RequestReader,
    table: Rc<RefCell<TargetTable>>,
    formats: Arc<dyn Formats>,
    stop: StopWatch,
    open_connections: Arc<AtomicUsize>,
    memory: HostMemory,
}

impl FrontListener {
    pub fn new(
        table: Rc<RefCell<TargetTable>>,
        formats: Arc<dyn Formats>,
        hall: &str,
        stop: StopWatch,
        open_connections: Arc<AtomicUsize>,
        memory: HostMemory,
    ) -> Self {
        let dispatcher = Dispatcher::new(table.clone(), formats.clone(), hall, stop.clone());
        Self {
            dispatcher: Rc::new(dispatcher),
            reader: RequestReader::new(formats.clone()),
            table,
            formats,
            stop,
            open_connections,
            memory,
        }
    }

    /// Accepts connections for as long as the process runs.
    pub async fn serve(
        self: Rc<Self>,
        listener: TcpListener,
        origin: RequestOrigin,
    ) {
        if origin == RequestOrigin::Caller {
            spawn_local(MemorySweeper::new(self.memory.clone()).run());
        }
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().serve_connection(stream, origin));
                }
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            }
        }
    }

    /// Serves a connection up to its end, or resets it.
    async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        origin: RequestOrigin,
    ) {
        let _ = stream.set_nodelay(true);
        let _open = OpenConnection::start(&self.open_connections);
        let Some(memory) = self.memory.connect() else {
            return self.report_no_memory(Event::CallerNoMemory, "connection", "-");
        };
        if memory.is_limited() {
            limit_socket_buffers(&stream);
        }
        let limits = self.table.borrow().routing().limits;
        let front = self.clone();
        let request_memory = memory.clone();
        let ends_with_connection = Rc::new(Cell::new(false));
        let answered = ends_with_connection.clone();
        let has_request = Rc::new(Cell::new(false));
        let is_first = has_request.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            is_first.set(true);
            answered.set(request.version() == Version::HTTP_10);
            front
                .clone()
                .answer(request, origin, request_memory.clone())
        });
        let mut connection = Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(self.read_buffer_size(limits.header_bytes))
            .serve_connection(TokioIo::new(stream), service);
        let mut is_closing = false;
        loop {
            let least_cut = match is_closing {
                true => CutKind::Reset,
                false => CutKind::Close,
            };
            tokio::select! {
                ended = &mut connection => {
                    // The end of the connection would end a broken answer as it ends a complete one.
                    let is_broken = ended.is_err_and(|error| error.is_user());
                    match is_broken && ends_with_connection.get() {
                        true => break,
                        false => return,
                    }
                }
                () = self.until_closing(&has_request), if !is_closing => {}
                cut = memory.cut(least_cut) => match cut {
                    // The request is answered by whoever reads its body.
                    CutKind::Reject | CutKind::Close => {}
                    CutKind::Reset => break,
                },
            }
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        let stream = connection.into_parts().io.into_inner();
        let _ = stream.set_zero_linger();
    }

    /// Waits until a connection may be closed once its request is answered, as the host stops. The first request of a connection may
    /// be on its way.
    async fn until_closing(
        &self,
        has_request: &Cell<bool>,
    ) {
        self.stop.until(StopStage::Draining).await;
        if !has_request.get() {
            tokio::time::sleep(FIRST_REQUEST_TIME).await;
        }
    }

    /// Returns the largest size of a connection's read buffer: under pressure only what the largest head needs.
    fn read_buffer_size(
        &self,
        header_bytes: usize,
    ) -> usize {
        let size = header_bytes.max(MIN_READ_BUFFER);
        match self.memory.levels() {
            Some((Pressure::Pressed | Pressure::Full, ..)) => size,
            _ => size * 2,
        }
    }

    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        origin: RequestOrigin,
        memory: CallerMemory,
    ) -> Result<Response<AnswerBody>, io::Error> {
        memory.begin_request(id_text(self.reader.id(request.headers()).as_ref()));
        let mut answered = CallerStage::Idle;
        let response = self
            .serve_request(request, origin, &memory, &mut answered)
            .await;
        memory.set_stage(answered);
        let response = response.map(|response| self.mark_closing(response));
        match origin {
            RequestOrigin::Caller => response,
            RequestOrigin::Host => response.map(mark_declined),
        }
    }

    /// Serves a request; sets `answered` to the stage of the connection once the request has an answer.
    async fn serve_request(
        &self,
        request: Request<Incoming>,
        origin: RequestOrigin,
        memory: &CallerMemory,
        answered: &mut CallerStage,
    ) -> Result<Response<AnswerBody>, io::Error> {
        let arrived = Instant::now();
        let id = self.reader.id(request.headers());
        let error_response = |answer: LocalAnswer| {
            answer.into_response(&self.formats.headers().request_id, id.as_ref())
        };
        let stopping = LocalAnswer::after(ErrorCause::Stopping, STOPPING_RETRY_AFTER);
        if self.stop.has_reached(StopStage::Rejecting) {
            return Ok(error_response(stopping));
        }
        let id_text = id_text(id.as_ref());
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
        let read = self
            .reader
            .read(request, &routing, arrived, draw, origin, memory);
        let Some(read) = self.stop.before_the_end(read).await else {
            return Ok(error_response(stopping));
        };
        match read {
            Ok(request) if !self.dispatcher.ends_in_time(&request) => {
                self.dispatcher.log_too_late(&request);
                Ok(error_response(stopping))
            }
            Ok(request) => {
                memory.set_stage(CallerStage::AwaitsAnswer);
                *answered = CallerStage::Answered {
                    repeatable: request.route.repeatable(),
                    streams: request.route.kind == RouteKind::Stream,
                };
                Ok(self.dispatcher.serve(request).await)
            }
            Err(RequestReadError::Rejected(ErrorCause::NoMemory)) => {
                self.report_no_memory(Event::RequestNoMemory, "request", id_text);
                Ok(error_response(LocalAnswer::after(
                    ErrorCause::NoMemory,
                    NO_MEMORY_RETRY_AFTER,
                )))
            }
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
    /// Tells the caller that its connection ends behind this answer, if the host stops.
    fn mark_closing(
        &self,
        mut response: Response<AnswerBody>,
    ) -> Response<AnswerBody> {
        if self.stop.has_reached(StopStage::Draining) {
            let headers = response.headers_mut();
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Counts and logs that there was no memory for a request or a connection.
    fn report_no_memory(
        &self,
        event: Event,
        state: &'static str,
        id: &str,
    ) {
        let labels = StateLabels { state };
        metrics().memory_rejected.get_or_create(&labels).inc();
        let (pressure, held, capacity) = self.memory.levels().unwrap_or((Pressure::None, 0, 0));
        note!(
            event,
            id = id,
            pressure = pressure.word(),
            held_bytes = held,
            capacity_bytes = capacity,
        );
    }

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

/// Marks an answer that says that this host has done nothing for a forwarded request, so that another host can serve it.
fn mark_declined(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    let cause = response.extensions().get::<ErrorCause>();
    let is_declined = cause.is_some_and(|cause| cause.is_of_host());
    let headers = response.headers_mut();
    // A target's own header of that name would make the other host send again what has run.
    headers.remove(DECLINED);
    if is_declined {
        headers.insert(DECLINED, HeaderValue::from_static("1"));
    }
    response
}

/// Returns the id of a request for logs.
fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

fn limit_socket_buffers(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
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
