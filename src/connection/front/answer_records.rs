//! What is recorded of the answers that targets begin, break off and complete.

use {
    super::{
        Dispatcher,
        attempts::VersionAtStart,
        crash_probe::{LostAnswer, clear_suspect, probe_after_loss},
        destination::Destination,
        open_request::OpenRequest,
        survival_check::check_survival,
    },
    crate::{
        clock::Instant,
        connection::targets::{ANSWER_START_WINDOW, AnswerStart, TargetIncarnation},
        metrics::{StateLabels, metrics},
        request::direct::CallRequest,
    },
    std::sync::Arc,
};

impl Dispatcher {
    /// Handles a broken stream; its request becomes a suspect if the stream had just begun.
    pub fn on_broken(
        &self,
        request: &CallRequest,
        incarnation: TargetIncarnation,
        first_event: Instant,
    ) {
        let now = Instant::now();
        let had_just_begun = now.saturating_duration_since(first_event) < ANSWER_START_WINDOW;
        let lost = match had_just_begun {
            true => LostAnswer::suspect(request, incarnation, true),
            false => LostAnswer::unsuspected(incarnation),
        };
        probe_after_loss(&self.table, self.formats.headers(), request, lost);
    }

    /// Records that a target has begun to answer a request.
    pub(super) fn record_answer_start(
        &self,
        request: &CallRequest,
        incarnation: TargetIncarnation,
    ) {
        check_survival(&self.table, self.formats.headers(), request, &incarnation);
        let start = AnswerStart {
            at: Instant::now(),
            incarnation,
            id: request.id_text().to_string(),
            customer: request.customer_name().map(Arc::from),
            parts: request.part_keys(),
        };
        self.table.borrow_mut().crashes.on_answer_start(start);
    }

    /// Returns what is known now of the version of the adapter that a request was sent for, and counts it.
    pub(super) fn version_at_start(
        &self,
        request: &CallRequest,
        destination: &Destination,
    ) -> Option<VersionAtStart> {
        let adapter = request.generation.as_ref()?.adapter()?;
        let sent = destination.version?;
        let table = self.table.borrow();
        let deadline = table.version_deadline(adapter, sent.version);
        let start = VersionAtStart {
            newest: table.newest_version(adapter),
            remaining: deadline.remaining(Instant::now()),
        };
        let state = match start.remaining.is_over() {
            true => "expired",
            false if sent.version < start.newest => "replaced",
            false => "newest",
        };
        let labels = StateLabels { state };
        metrics().version_starts.get_or_create(&labels).inc();
        Some(start)
    }

    /// Handles the end of a complete stream.
    pub fn on_complete(
        &self,
        open: &OpenRequest,
    ) {
        let request = &open.request;
        self.record_answer_time(request);
        clear_suspect(&self.table, request, open.status);
        let paused_too_long = open.timing.longest_pause() > request.route.gap_aim;
        let mut table = self.table.borrow_mut();
        table.record_stream(&request.service.name, paused_too_long);
    }
}
