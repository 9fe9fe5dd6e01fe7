use {
    super::{
        AnswerBody, BrokenAnswer, Dispatcher,
        buffer_limits::MAX_BUFFERED_PIECES,
        destination::Destination,
        event_splitter::EventSplitter,
        exchange::log_refused,
        hedge::{Hedge, HedgeWinner, log_hedge, may_hedge},
        host_stop::StopStage,
        open_request::{HOST_STOPPED, OpenRequest},
        outcome::{NotResumed, Outcome},
        request_trace::millis,
        served_request::{CALLER_GONE, WHOLE},
        silence_watch::{Alternative, StreamSilence},
        target_answer::{AnswerSource, OpenAnswer},
    },
    crate::{
        clock::{Instant, sleep_until, timeout_at},
        connection::http1::ExchangeError,
        formats::SoftwareVersion,
        metrics::{FramingLabels, metrics},
        note,
        request::{
            direct::AttemptEnd,
            origins::{ORIGIN_REFRESH, RequiredSoftware},
        },
        timeline::Event,
    },
    bytes::Bytes,
    http::Response,
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::sync::mpsc,
};

/// Silence that a resumable stream allows its target while others are heard, as a multiple of the route's gap objective.
const SILENCE_GAP_FACTOR: u32 = 4;

/// Word for a stream for which no other target was looked for.
const NOT_SOUGHT: &str = "-";

/// How the relay of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    /// Another target has told that the answer so far is complete.
    CompleteElsewhere,
    CallerGone,
    DeadlineExceeded,
    /// The target closed the connection in mid-answer, or the stream was invalid.
    Broken,
    /// The target's answer was malformed.
    Refused,
    /// The target has started anew.
    Restarted,
    /// This host ends.
    HostStopped,
}

impl RelayEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Complete | Self::CompleteElsewhere => WHOLE,
            Self::CallerGone => CALLER_GONE,
            Self::DeadlineExceeded => "time_over",
            Self::Broken => "target_broke_off",
            Self::Refused => "answer_refused",
            Self::Restarted => "target_restarted",
            Self::HostStopped => HOST_STOPPED,
        }
    }
}

/// Cause of a resumption while the target was silent, for logs.
const TARGET_SILENT: &str = "target_silent";

/// How a hedge of a stream ended.
enum HedgeEnd {
    /// The first answer has brought these events.
    First(Bytes),
    /// The first answer is complete.
    Complete,
    /// The second answer has begun; the first one may have broken off before.
    Second(Box<OpenAnswer>),
    /// The second answer shows that the stream has no further events.
    NothingLeft,
    /// There is no second answer, and the first one is still silent.
    Neither,
    /// There is no second answer, and the first one has broken off.
    Broken,
    CallerGone,
    DeadlineExceeded,
}

impl HedgeEnd {
    fn winner(&self) -> HedgeWinner {
        match self {
            Self::First(_) | Self::Complete => HedgeWinner::First,
            Self::Second(_) | Self::NothingLeft => HedgeWinner::Second,
            Self::Neither | Self::Broken => HedgeWinner::Neither,
            Self::CallerGone | Self::DeadlineExceeded => HedgeWinner::GivenUp,
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
    /// When the present target began to answer.
    began_at: Instant,
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
            began_at: Instant::now(),
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
            self.begin(&source);
            let end = self.relay(first, &mut source).await;
            if matches!(
                end,
                RelayEnd::Complete | RelayEnd::Broken | RelayEnd::Refused
            ) {
                self.open.ending = Some(source.ending());
            }
            if end == RelayEnd::Broken {
                self.on_broken(&source);
            }
            match end {
                RelayEnd::Complete => {
                    self.dispatcher.on_complete(&self.open);
                    self.open.end(end.label());
                    return source.finish();
                }
                RelayEnd::CompleteElsewhere => {
                    self.dispatcher.on_complete(&self.open);
                    return self.open.end(end.label());
                }
                RelayEnd::CallerGone => {
                    self.open.end(end.label());
                    return self.log(Event::RequestCallerGone, end, &source);
                }
                RelayEnd::Broken | RelayEnd::Refused | RelayEnd::Restarted
                    if self.open.request.route.resumable =>
                {
                    let target = source.target().to_string();
                    // Closes the connection, so that the broken target cancels the request.
                    drop(source);
                    match self.resume(&target).await {
                        Ok(answer) => {
                            first = answer.first;
                            source = answer.source;
                            self.log_resumed(end.label(), &target, &source);
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

    /// Begins with the answer of a target.
    fn begin(
        &mut self,
        source: &AnswerSource,
    ) {
        self.began_at = Instant::now();
        self.software = source.software().cloned();
    }

    /// Handles an answer that the target has broken off.
    fn on_broken(
        &self,
        source: &AnswerSource,
    ) {
        let framing = source.ending().framing.word();
        let labels = FramingLabels { framing };
        metrics().broken_streams.get_or_create(&labels).inc();
        self.dispatcher
            .on_broken(&self.open.request, source.incarnation(), self.began_at);
    }

    /// Handles an answer that was malformed: its target is not sound, and its request has crashed nothing.
    fn on_refused(
        &self,
        source: &AnswerSource,
        reason: &str,
    ) {
        let request = &self.open.request;
        log_refused(request.id_text(), source.target(), reason);
        // A resumption records it by itself.
        if !request.route.resumable {
            source.record_failure();
        }
    }

    /// Relays the answer of one target, and that of the next one if that has overtaken it.
    async fn relay(
        &mut self,
        first: Bytes,
        source: &mut AnswerSource,
    ) -> RelayEnd {
        if let Some(end) = self.send_to_caller(first).await {
            return end;
        }
        loop {
            let incarnation = source.incarnation();
            let watch = self
                .dispatcher
                .silence_watch(&self.open.request, &incarnation);
            let piece = tokio::select! {
                piece = source.next() => piece,
                _ = self.caller.closed() => return RelayEnd::CallerGone,
                _ = sleep_until(self.open.request.deadline) => return RelayEnd::DeadlineExceeded,
                () = self.dispatcher.stop.until(StopStage::Answering) => return RelayEnd::HostStopped,
                silence = watch.until_stream_is_silent(self.max_silence()), if self.open.request.route.resumable => {
                    let end = match silence {
                        StreamSilence::Restarted => Some(RelayEnd::Restarted),
                        StreamSilence::Alternative(alternative) => {
                            self.hedge(source, alternative).await
                        }
                    };
                    match end {
                        Some(end) => return end,
                        None => continue,
                    }
                }
            };
            match piece {
                Ok(Some(piece)) => {
                    if let Some(end) = self.send_to_caller(piece).await {
                        return end;
                    }
                }
                Ok(None) => return self.complete().await,
                Err(ExchangeError::Nonsense(reason)) => {
                    self.on_refused(source, reason);
                    return RelayEnd::Refused;
                }
                Err(_) => return RelayEnd::Broken,
            }
        }
    }

    /// Sends what is left of a complete answer.
    async fn complete(&mut self) -> RelayEnd {
        let rest = self.events.take_rest();
        let end = self.send_piece(rest).await;
        end.unwrap_or(RelayEnd::Complete)
    }

    /// Opens the rest of the stream elsewhere while its target is silent; the first new event decides which answer goes on.
    /// Returns the end of the relay, if this is one.
    async fn hedge(
        &mut self,
        source: &mut AnswerSource,
        alternative: Alternative,
    ) -> Option<RelayEnd> {
        match self.race(source, alternative).await {
            HedgeEnd::First(events) => self.send_piece(events).await,
            HedgeEnd::Complete => Some(self.complete().await),
            HedgeEnd::Second(answer) => {
                let target = source.target().to_string();
                let first = Destination::of(&target);
                let now = Instant::now();
                let attempts = &mut self.open.attempts;
                attempts.record_end(&first, AttemptEnd::Lost, now);
                self.events.discard_partial();
                // Closes the connection, so that the silent target cancels the request.
                *source = answer.source;
                self.begin(source);
                self.log_resumed(TARGET_SILENT, &target, source);
                self.send_to_caller(answer.first).await
            }
            HedgeEnd::NothingLeft => {
                self.events.discard_partial();
                Some(RelayEnd::CompleteElsewhere)
            }
            HedgeEnd::Neither => None,
            HedgeEnd::Broken => Some(RelayEnd::Broken),
            HedgeEnd::CallerGone => Some(RelayEnd::CallerGone),
            HedgeEnd::DeadlineExceeded => Some(RelayEnd::DeadlineExceeded),
        }
    }

    /// Waits for the next event of the silent target while another answer is opened.
    async fn race(
        &mut self,
        source: &mut AnswerSource,
        alternative: Alternative,
    ) -> HedgeEnd {
        let request = &self.open.request;
        let mut lost = self.open.attempts.history;
        lost.record(AttemptEnd::Lost);
        if !may_hedge(request, &lost) {
            return HedgeEnd::Neither;
        }
        self.log_silence(source, alternative);
        let hedge = Hedge {
            request,
            alternative,
            first: &Destination::of(source.target()),
            after: self.events.last_id(),
        };
        let incarnation = source.incarnation();
        let watch = self.dispatcher.silence_watch(request, &incarnation);
        let started = Instant::now();
        let mut beside = self.open.attempts.beside(lost);
        let mut is_broken = false;
        let end = {
            let mut second = pin!(self.dispatcher.try_beside(&hedge, &mut beside));
            loop {
                tokio::select! {
                    outcome = &mut second => break match outcome {
                        Some(Outcome::Open(answer)) => HedgeEnd::Second(answer),
                        Some(Outcome::Final(rest)) if rest.status().is_success() => HedgeEnd::NothingLeft,
                        _ if is_broken => HedgeEnd::Broken,
                        _ => HedgeEnd::Neither,
                    },
                    piece = source.next(), if !is_broken => match piece.map(|piece| piece.map(|piece| self.events.take(&piece))) {
                        Ok(Some(Ok(events))) if events.is_empty() => {}
                        Ok(Some(Ok(events))) => break HedgeEnd::First(events),
                        Ok(None) => break HedgeEnd::Complete,
                        Ok(Some(Err(_))) | Err(_) => is_broken = true,
                    },
                    () = watch.until_heard_again(alternative), if !is_broken => break HedgeEnd::Neither,
                    _ = self.caller.closed() => break HedgeEnd::CallerGone,
                    _ = sleep_until(request.deadline) => break HedgeEnd::DeadlineExceeded,
                }
            }
        };
        log_hedge(&hedge, end.winner(), started, &beside.history.since(&lost));
        if is_broken && matches!(end, HedgeEnd::Second(_)) {
            self.on_broken(source);
        }
        self.open.attempts.end_hedge(beside, &lost);
        end
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
            self.open.attempts.software = RequiredSoftware::Exactly(software.id());
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
        alternative: Alternative,
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
            alternative = alternative.word(),
        );
    }

    fn log_resumed(
        &self,
        cause: &str,
        from: &str,
        source: &AnswerSource,
    ) {
        let name = |software: Option<&SoftwareVersion>| {
            format!("{:?}", software.map_or("-", SoftwareVersion::name))
        };
        note!(
            Event::RequestResumed,
            id = self.open.request.id_text(),
            cause = cause,
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
