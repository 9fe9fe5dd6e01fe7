use {
    super::{
        AnswerBody, BrokenAnswer, Dispatcher,
        event_splitter::EventSplitter,
        exchange::{AnswerSource, OpenAnswer},
        request_trace::millis,
        tries::Tries,
    },
    crate::{
        clock::{Instant, sleep_until, timeout_at},
        note,
        request::direct::CallRequest,
        timeline::Event,
    },
    bytes::Bytes,
    http::Response,
    std::rc::Rc,
    tokio::sync::mpsc,
};

/// Pieces that wait for a slow caller before the target is held up.
const PIECES: usize = 16;

/// A stream that may go on elsewhere is given up here after a silence of so many pauses.
const SILENT_PAUSES: u32 = 4;

/// Why an answer could not be passed on to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayEnd {
    Whole,
    CallerGone,
    TimeOver,
    /// The target broke the answer off.
    Broken,
    /// The target is silent, and so are all others that it serves here.
    Silent,
}

impl RelayEnd {
    fn word(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::CallerGone => "caller_gone",
            Self::TimeOver => "time_over",
            Self::Broken => "target_broke_off",
            Self::Silent => "target_silent",
        }
    }
}

/// Passes one answer on, piece by piece; where the route allows, it goes on at another target when
/// the first one breaks it off.
pub struct StreamRelay {
    dispatcher: Rc<Dispatcher>,
    request: CallRequest,
    tries: Tries,
    caller: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
    events: EventSplitter,
}

impl StreamRelay {
    /// Starts to pass an answer on; gives the response for the caller.
    pub fn start(
        dispatcher: Rc<Dispatcher>,
        answer: OpenAnswer,
        request: CallRequest,
        tries: Tries,
    ) -> Response<AnswerBody> {
        let (caller, pieces) = mpsc::channel(PIECES);
        let mut response = Response::new(AnswerBody::Stream(pieces));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        let relay = Self {
            dispatcher,
            request,
            tries,
            caller,
            events: EventSplitter::default(),
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
            let end = self.pass_on(first, &mut source).await;
            if end == RelayEnd::Broken {
                let run = source.run();
                self.dispatcher.on_broken(&self.request, run, first_event);
            }
            match end {
                RelayEnd::Whole => {
                    self.dispatcher.on_whole(&self.request);
                    return source.finish();
                }
                RelayEnd::CallerGone => return self.tell(Event::RequestCallerGone, end, &source),
                RelayEnd::Broken | RelayEnd::Silent if self.request.route.resumable => {
                    let target = source.target().to_string();
                    // What the broken target may still do for it ends with the connection.
                    drop(source);
                    match self.resume(&target).await {
                        Some(answer) => {
                            first = answer.first;
                            source = answer.source;
                            self.tell(Event::RequestResumed, end, &source);
                        }
                        None => return self.cut(end, &target).await,
                    }
                }
                _ => {
                    let target = source.target().to_string();
                    return self.cut(end, &target).await;
                }
            }
        }
    }

    /// Passes on what one target sends.
    async fn pass_on(
        &mut self,
        first: Bytes,
        source: &mut AnswerSource,
    ) -> RelayEnd {
        if let Some(end) = self.give(first).await {
            return end;
        }
        let silence = self.request.route.gap_aim * SILENT_PAUSES;
        loop {
            let silent_at = Instant::now() + silence;
            let piece = tokio::select! {
                piece = source.next() => piece,
                _ = self.caller.closed() => return RelayEnd::CallerGone,
                _ = sleep_until(self.request.deadline) => return RelayEnd::TimeOver,
                _ = sleep_until(silent_at), if self.request.route.resumable => {
                    match source.target_is_silent(silence) {
                        true => return RelayEnd::Silent,
                        false => continue,
                    }
                }
            };
            match piece {
                Ok(Some(piece)) => {
                    if let Some(end) = self.give(piece).await {
                        return end;
                    }
                }
                Ok(None) if self.events.is_between_events() => return RelayEnd::Whole,
                Ok(None) | Err(_) => return RelayEnd::Broken,
            }
        }
    }

    /// Gives a piece to the caller; on routes that may be resumed, only whole events.
    async fn give(
        &mut self,
        piece: Bytes,
    ) -> Option<RelayEnd> {
        let piece = match self.request.route.resumable {
            true => match self.events.take(&piece) {
                Ok(events) => events,
                Err(_) => return Some(RelayEnd::Broken),
            },
            false => piece,
        };
        if piece.is_empty() {
            return None;
        }
        match self.caller.send(Ok(piece)).await {
            Ok(()) => None,
            Err(_) => Some(RelayEnd::CallerGone),
        }
    }

    /// Opens the rest of the stream at another target, unless the caller leaves meanwhile.
    async fn resume(
        &mut self,
        broken: &str,
    ) -> Option<Box<OpenAnswer>> {
        self.events.restart();
        let after = self.events.last_id();
        let caller = self.caller.clone();
        let resumed = self
            .dispatcher
            .resume(&self.request, &mut self.tries, broken, after);
        tokio::select! {
            resumed = timeout_at(self.request.deadline, resumed) => resumed.ok().flatten(),
            _ = caller.closed() => None,
        }
    }

    fn tell(
        &self,
        event: Event,
        end: RelayEnd,
        source: &AnswerSource,
    ) {
        note!(
            event,
            id = self.request.id_text(),
            cause = end.word(),
            target = source.target(),
            after_ms = millis(self.request.arrived.elapsed()),
            last_event = self.events.last_id().unwrap_or_default(),
        );
    }

    /// Ends the answer so that it does not look whole.
    async fn cut(
        &self,
        end: RelayEnd,
        target: &str,
    ) {
        self.tries
            .trace
            .tell(self.request.id_text(), Instant::now());
        note!(
            Event::RequestCut,
            id = self.request.id_text(),
            cause = end.word(),
            target = target,
            after_ms = millis(self.request.arrived.elapsed()),
            last_event = self.events.last_id().unwrap_or_default(),
        );
        let _ = self.caller.send(Err(BrokenAnswer)).await;
    }
}
