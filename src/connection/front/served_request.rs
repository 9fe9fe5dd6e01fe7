use {
    super::{
        AnswerEnding, ErrorCause, Lateness, StreamTiming, TimedPart,
        attempts::{Attempts, VersionAtStart},
        destination::ExpectedVersion,
        request_trace::millis,
    },
    crate::{
        clock::Instant,
        metrics::{KindLabels, LatenessLabels, OutcomeLabels, WaitLabels, metrics},
        note,
        request::{direct::CallRequest, pace::PaceEstimate},
        timeline::Event,
        version::routing::RouteKind,
    },
    std::time::Duration,
};

/// Word for an answer that was sent completely.
pub const WHOLE: &str = "whole";

/// Word for a stream that the caller left.
pub const CALLER_GONE: &str = "caller_gone";

/// What is known of a relayed answer at its end.
pub struct RelayedAnswer<'a> {
    pub timing: &'a StreamTiming,
    /// `None` if the answer did not end by itself.
    pub ending: Option<AnswerEnding>,
}

/// Content of a request's log line that is known once there is its answer, or the first event of a stream.
///
/// A stream that is resumed later keeps what was known at its first event; other log lines record the resumption.
pub struct ServedRequest {
    status: u16,
    cause: Option<ErrorCause>,
    target: String,
    sent: Option<ExpectedVersion>,
    version_at_start: Option<VersionAtStart>,
    estimate: Option<PaceEstimate>,
    waited: Duration,
    waited_for_adapter: Option<Duration>,
    arrivals: u32,
    first_event: Duration,
}

impl ServedRequest {
    pub fn new(
        request: &CallRequest,
        attempts: &Attempts,
        status: u16,
        cause: Option<ErrorCause>,
    ) -> Self {
        let trace = &attempts.trace;
        Self {
            status,
            cause,
            target: trace.last_target().to_string(),
            sent: trace.last_version(),
            version_at_start: attempts.version_at_start,
            estimate: attempts.estimate,
            waited: trace.time_to_last_send(request.arrived),
            waited_for_adapter: trace.time_waited(request.arrived),
            arrivals: attempts.history.arrivals,
            first_event: request.arrived.elapsed(),
        }
    }

    /// Logs an answer that is final at once, and records its metrics.
    pub fn log_final(
        &self,
        request: &CallRequest,
        attempts: &Attempts,
    ) {
        let ended = self.cause.map_or(WHOLE, ErrorCause::word);
        self.log(request, attempts, None, ended);
    }

    /// Logs a relayed answer that has ended, and records its metrics.
    pub fn log_relayed(
        &self,
        request: &CallRequest,
        attempts: &Attempts,
        relayed: &RelayedAnswer,
        ended: &'static str,
    ) {
        let is_stream = request.route.kind == RouteKind::Stream;
        self.log(request, attempts, is_stream.then_some(relayed), ended);
    }

    /// Writes one line, preceded by the request's trace if it failed, was late or broke off.
    fn log(
        &self,
        request: &CallRequest,
        attempts: &Attempts,
        relayed: Option<&RelayedAnswer>,
        ended: &'static str,
    ) {
        let timing = relayed.map(|relayed| relayed.timing);
        let ending = relayed.and_then(|relayed| relayed.ending);
        let now = Instant::now();
        let id = request.id_text();
        let lateness = self.lateness(request, timing);
        let broke_off = ![WHOLE, CALLER_GONE].contains(&ended);
        if self.status >= 400 || lateness != Lateness::InTime || broke_off {
            attempts.trace.log(id, now);
        }
        self.record_metrics(request, timing, lateness);
        let generation = request.generation.as_ref();
        let start = self.version_at_start;
        note!(
            Event::RequestServed,
            id = id,
            route = request.route.name,
            status = self.status,
            cause = self.cause.map_or("-", ErrorCause::word),
            target = self.target,
            adapter = generation.and_then(|g| g.adapter()).unwrap_or("-"),
            version = self.sent.map_or(0, |sent| sent.version),
            newest = self.sent.map_or(0, |sent| sent.newest),
            newest_at_start = start.map_or(0, |start| start.newest),
            version_left_ms = start.map_or("-".to_string(), |start| start.remaining.to_string()),
            waited_ms = millis(self.waited),
            expected_ms = self.sent.map_or(-1.0, |sent| millis(sent.wait)),
            first_ms = millis(self.first_event),
            aim_ms = millis(request.route.aim),
            arrivals = self.arrivals,
            late = lateness.word(),
            ended = ended,
            total_ms = millis(now.saturating_duration_since(request.arrived)),
            pause_ms = timing.map_or(-1.0, |timing| millis(timing.longest_pause())),
            allowed_pause_ms = timing.map_or(-1.0, |_| millis(request.route.gap_aim)),
            held_ms = timing.map_or(-1.0, |timing| millis(timing.held())),
            expected_first_ms = self.estimate.map_or(-1.0, |e| millis(e.first_event)),
            expected_pause_ms = self.estimate.map_or(-1.0, |e| millis(e.pause)),
            prompt_tokens = generation.map_or(0, |generation| generation.tokens_in),
            framing = ending.map_or("-", |ending| ending.framing.word()),
            in_event = ending.map_or("-", AnswerEnding::in_event_word),
            customer = request.customer_name().unwrap_or("-"),
        );
    }

    fn lateness(
        &self,
        request: &CallRequest,
        timing: Option<&StreamTiming>,
    ) -> Lateness {
        let first_event = TimedPart {
            took: self.first_event,
            allowed: request.route.aim,
        };
        let gap = timing.map(|timing| TimedPart {
            took: timing.longest_gap(),
            allowed: request.route.gap_aim,
        });
        Lateness::of(first_event, gap)
    }

    fn record_metrics(
        &self,
        request: &CallRequest,
        timing: Option<&StreamTiming>,
        lateness: Lateness,
    ) {
        let kind = request.route.kind.word();
        let metrics = metrics();
        let outcome = self.outcome(request);
        let labels = OutcomeLabels { kind, outcome };
        metrics.requests.get_or_create(&labels).inc();
        if self.status < 400 {
            let first_event = metrics.first_event.get_or_create(&KindLabels { kind });
            first_event.observe(self.first_event.as_secs_f64());
            let late = lateness.word();
            let labels = LatenessLabels { kind, late };
            metrics.answers.get_or_create(&labels).inc();
        }
        if let Some(timing) = timing {
            let pauses = metrics.longest_pause.get_or_create(&KindLabels { kind });
            pauses.observe(timing.longest_pause().as_secs_f64());
        }
        if let Some(waited) = self.waited_for_adapter {
            let labels = WaitLabels { cause: "adapter" };
            let histogram = metrics.waits.get_or_create(&labels);
            histogram.observe(waited.as_secs_f64());
        }
    }

    fn outcome(
        &self,
        request: &CallRequest,
    ) -> &'static str {
        match (self.status, self.cause) {
            (0..400, _) if self.first_event > request.route.aim => "late",
            (0..400, _) => "answered",
            (_, None) => "failed_there",
            (503, Some(_)) => "refused",
            (_, Some(_)) => "failed",
        }
    }
}
