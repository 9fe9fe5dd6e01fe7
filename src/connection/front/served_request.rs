//! The log line and the metrics of a served request.

use {
    super::{ErrorCause, attempts::Attempts, request_trace::millis},
    crate::{
        clock::Instant,
        metrics::{KindLabels, OutcomeLabels, WaitLabels, metrics},
        note,
        request::direct::CallRequest,
        timeline::Event,
    },
    std::time::Duration,
};

/// Logs a served request: one line, preceded by its trace if it failed or was late.
pub fn log_served(
    request: &CallRequest,
    attempts: &Attempts,
    status: u16,
    cause: Option<ErrorCause>,
) {
    let now = Instant::now();
    let id = request.id_text();
    let elapsed = now.saturating_duration_since(request.arrived);
    let late = elapsed > request.route.aim;
    if status >= 400 || late {
        attempts.trace.log(id, now);
    }
    record_metrics(request, attempts, status, cause, elapsed);
    let adapter = request.generation.as_ref().and_then(|g| g.adapter());
    let sent = attempts.trace.last_version();
    note!(
        Event::RequestServed,
        id = id,
        route = request.route.name,
        status = status,
        cause = cause.map_or("-", |cause| cause.word()),
        target = attempts.trace.last_target(),
        adapter = adapter.unwrap_or("-"),
        version = sent.map_or(0, |sent| sent.version),
        newest = sent.map_or(0, |sent| sent.newest),
        waited_ms = millis(attempts.trace.time_to_last_send(request.arrived)),
        expected_ms = sent.map_or(-1.0, |sent| millis(sent.wait)),
        first_ms = millis(elapsed),
        aim_ms = millis(request.route.aim),
        arrivals = attempts.history.arrivals,
        late = late,
    );
}

fn record_metrics(
    request: &CallRequest,
    attempts: &Attempts,
    status: u16,
    cause: Option<ErrorCause>,
    elapsed: Duration,
) {
    let kind = request.route.kind.word();
    let outcome = match (status, cause) {
        (0..400, _) if elapsed > request.route.aim => "late",
        (0..400, _) => "answered",
        (_, None) => "failed_there",
        (503, Some(_)) => "refused",
        (_, Some(_)) => "failed",
    };
    let metrics = metrics();
    let labels = OutcomeLabels { kind, outcome };
    metrics.requests.get_or_create(&labels).inc();
    if status < 400 {
        let labels = KindLabels { kind };
        let histogram = metrics.first_event.get_or_create(&labels);
        histogram.observe(elapsed.as_secs_f64());
    }
    if let Some(waited) = attempts.trace.time_waited(request.arrived) {
        let labels = WaitLabels { cause: "adapter" };
        let histogram = metrics.waits.get_or_create(&labels);
        histogram.observe(waited.as_secs_f64());
    }
}
