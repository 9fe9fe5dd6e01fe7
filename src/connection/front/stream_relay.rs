use {
    super::{
        AnswerBody, BrokenAnswer, Dispatcher,
        buffer_limits::MAX_BUFFERED_PIECES,
        dispatcher::NotResumed,
        event_splitter::EventSplitter,
        exchange::{AnswerSource, OpenAnswer},
        open_request::OpenRequest,
        request_trace::millis,
        served_request::{CALLER_GONE, WHOLE},
    },
    crate::{
        clock::{Instant, sleep_until, timeout_at},
        formats::SoftwareVersion,
        metrics::{FramingLabels, metrics},
        note,
        request::origins::ORIGIN_REFRESH,
        timeline::Event,
    },
    bytes::Bytes,
    http::Response,
    std::{rc::Rc, time::Duration},
    tokio::sync::mpsc,
};

/// Silence after which a resumable stream is abandoned, as a multiple of the route's gap objective.
const SILENCE_GAP_FACTOR: u32 = 4;

/// Word for a stream for which no other target was looked for.
const NOT_SOUGHT: &str = "-";

/// How the relay of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    CallerGone,
    DeadlineExceeded,
    /// The target closed the connection in mid-answer, or the stream was invalid.
    Broken,
    /// The target sends nothing, neither for this stream nor for any other of this host.
    Silent,
}

impl RelayEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Complete => WHOLE,
            Self::CallerGone => CALLER_GONE,
            Self::DeadlineExceeded => "time_over",
            Self::Broken => "target_broke_off",
            Self::Silent => "target_silent",
        }
    }
}

/// Relays an answer piece by piece; on resumable routes a broken stream continues at another target.
pub struct StreamRelay {
    dispatcher: Rc<Dispatcher>,
    open: OpenRequest,
    caller: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
    events: EventSplitter,
    /// Version of the software of the present target.
    software: Option<SoftwareVersion>,
    /// When the stream's origin was last recorded; `None` before its first event.
    recorded_at: Option<Instant>,
}

impl StreamRelay {
    /// Starts the relay of an answer, and returns the response for the caller.
    pub fn start(
        dispatcher: Rc<Dispatcher>,
        answer: OpenAnswer,
        open: OpenRequest,
    ) -> Response<AnswerBody> {
        let (caller, pieces) = mpsc::channel(MAX_BUFFERED_PIECES);
        let mut response = Response::new(AnswerBody::Stream(pieces));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        let relay = Self {
            dispatcher,
            open,
            caller,
            events: EventSplitter::default(),
            software: None,
            recorded_at: None,
        };
        tokio::task::spawn_local(relay.run(answer.first, answer.source));
        response
    }

    async fn run(
        mut self,
        mut first: Bytes,
        mut source: AnswerSource,
    ) {
        loop {
            let first_event = Instant::now();
            self.software = source.software().cloned();
            let end = self.relay(first, &mut source).await;
            if matches!(end, RelayEnd::Complete | RelayEnd::Broken) {
                self.open.ending = Some(source.ending());
            }
            if end == RelayEnd::Broken {
                let framing = source.ending().framing.word();
                let labels = FramingLabels { framing };
                metrics().broken_streams.get_or_create(&labels).inc();
                let incarnation = source.incarnation();
                self.dispatcher
                    .on_broken(&self.open.request, incarnation, first_event);
            }
            match end {
                RelayEnd::Complete => {
                    self.dispatcher
                        .on_complete(&self.open.request, &self.open.timing);
                    self.open.end(end.label());
                    return source.finish();
                }
                RelayEnd::CallerGone => {
                    self.open.end(end.label());
                    return self.log(Event::RequestCallerGone, end, &source);
                }
                RelayEnd::Broken | RelayEnd::Silent if self.open.request.route.resumable => {
                    let target = source.target().to_string();
                    if end == RelayEnd::Silent {
                        self.log_silence(&source);
                    }
                    // Closes the connection, so that the broken target cancels the request.
                    drop(source);
                    match self.resume(&target).await {
                        Ok(answer) => {
                            first = answer.first;
                            source = answer.source;
                            self.log_resumed(end, &target, &source);
                        }
                        Err(problem) => return self.truncate(end, &target, problem.word()).await,
                    }
                }
                _ => {
                    let target = source.target().to_string();
                    return self.truncate(end, &target, NOT_SOUGHT).await;
                }
            }
        }
    }

    /// Returns the silence after which a resumable stream is abandoned.
    fn max_silence(&self) -> Duration {
        self.open.request.route.gap_aim * SILENCE_GAP_FACTOR
    }

    /// Relays the answer of one target.
    async fn relay(
        &mut self,
        first: Bytes,
        source: &mut AnswerSource,
    ) -> RelayEnd {
        if let Some(end) = self.send_to_caller(first).await {
            return end;
        }
        let max_silence = self.max_silence();
        loop {
            let silence_deadline = Instant::now() + max_silence;
            let piece = tokio::select! {
                piece = source.next() => piece,
                _ = self.caller.closed() => return RelayEnd::CallerGone,
                _ = sleep_until(self.open.request.deadline) => return RelayEnd::DeadlineExceeded,
                _ = sleep_until(silence_deadline), if self.open.request.route.resumable => {
                    match source.target_is_silent(max_silence) {
                        true => return RelayEnd::Silent,
                        false => continue,
                    }
                }
            };
            match piece {
                Ok(Some(piece)) => {
                    if let Some(end) = self.send_to_caller(piece).await {
                        return end;
                    }
                }
                Ok(None) => {
                    let rest = self.events.take_rest();
                    let end = self.send_piece(rest).await;
                    return end.unwrap_or(RelayEnd::Complete);
                }
                Err(_) => return RelayEnd::Broken,
            }
        }
    }

    /// Sends a piece to the caller; on resumable routes, only complete events.
    async fn send_to_caller(
        &mut self,
        piece: Bytes,
    ) -> Option<RelayEnd> {
        let piece = match self.open.request.route.resumable {
            true => match self.events.take(&piece) {
                Ok(events) => events,
                Err(_) => return Some(RelayEnd::Broken),
            },
            false => piece,
        };
        self.send_piece(piece).await
    }

    async fn send_piece(
        &mut self,
        piece: Bytes,
    ) -> Option<RelayEnd> {
        if piece.is_empty() {
            return None;
        }
        let arrived = Instant::now();
        self.record_origin(arrived);
        let held = tokio::select! {
            piece = self.open.request.memory.hold_piece(piece) => Some(piece),
            _ = self.caller.closed() => None,
        };
        let sent = match held {
            Some(piece) => self.caller.send(Ok(piece)).await.is_ok(),
            None => false,
        };
        let now = Instant::now();
        match sent {
            true => {
                self.open.timing.on_event(arrived, now);
                None
            }
            false => {
                self.open.timing.on_held(arrived, now);
                Some(RelayEnd::CallerGone)
            }
        }
    }

    /// Records the version at which the stream runs before its first event goes out, and from time to time after that.
    fn record_origin(
        &mut self,
        now: Instant,
    ) {
        let elapsed = |at: Instant| now.saturating_duration_since(at);
        let is_recorded = self
            .recorded_at
            .is_some_and(|at| elapsed(at) < ORIGIN_REFRESH);
        let Some(software) = self.software.as_ref().filter(|_| !is_recorded) else {
            return;
        };
        if self.open.request.route.resumable {
            self.open.attempts.software = Some(software.id());
            self.dispatcher.record_origin(&self.open.request, software);
            self.recorded_at = Some(now);
        }
    }

    /// Opens the rest of the stream at another target.
    async fn resume(
        &mut self,
        broken: &str,
    ) -> Result<Box<OpenAnswer>, NotResumed> {
        self.events.discard_partial();
        let after = self.events.last_id();
        let caller = self.caller.clone();
        let resumed =
            self.dispatcher
                .resume(&self.open.request, &mut self.open.attempts, broken, after);
        tokio::select! {
            resumed = timeout_at(self.open.request.deadline, resumed) => match resumed {
                Ok(resumed) => resumed,
                Err(_) => Err(NotResumed::TimeOver),
            },
            _ = caller.closed() => Err(NotResumed::CallerGone),
        }
    }

    /// Logs what this host knows of its targets as the stream's target is silent.
    fn log_silence(
        &self,
        source: &AnswerSource,
    ) {
        let request = &self.open.request;
        let silence = source.target_silence(&request.service.name, self.max_silence());
        note!(
            Event::StreamSilent,
            id = request.id_text(),
            target = source.target(),
            silent_ms = silence.lasted.map_or(-1.0, millis),
            targets = silence.targets,
            silent = silence.silent,
            others_heard_ms = silence.others_heard.map_or(-1.0, millis),
            runs = self.open.attempts.history.runs,
        );
    }

    fn log_resumed(
        &self,
        end: RelayEnd,
        from: &str,
        source: &AnswerSource,
    ) {
        let name = |software: Option<&SoftwareVersion>| {
            format!("{:?}", software.map_or("-", SoftwareVersion::name))
        };
        note!(
            Event::RequestResumed,
            id = self.open.request.id_text(),
            cause = end.label(),
            target = source.target(),
            software = name(source.software()),
            from = from,
            from_software = name(self.software.as_ref()),
            after_ms = millis(self.open.request.arrived.elapsed()),
            last_event = self.events.last_id().unwrap_or_default(),
        );
    }

    fn log(
        &self,
        event: Event,
        end: RelayEnd,
        source: &AnswerSource,
    ) {
        note!(
            event,
            id = self.open.request.id_text(),
            cause = end.label(),
            target = source.target(),
            after_ms = millis(self.open.request.arrived.elapsed()),
            last_event = self.events.last_id().unwrap_or_default(),
        );
    }

    /// Closes the connection early, so that the caller sees a truncated answer.
    async fn truncate(
        &mut self,
        end: RelayEnd,
        target: &str,
        resumption: &str,
    ) {
        self.open.end(end.label());
        note!(
            Event::RequestCut,
            id = self.open.request.id_text(),
            cause = end.label(),
            target = target,
            after_ms = millis(self.open.request.arrived.elapsed()),
            last_event = self.events.last_id().unwrap_or_default(),
            resumption = resumption,
        );
        let _ = self.caller.send(Err(BrokenAnswer)).await;
    }
}
