//! Streams that callers take up after a break: they go on at the version of the targets' software that began them.

use {
    super::{Dispatcher, ErrorCause, request_trace::millis},
    crate::{
        clock::{Instant, timeout_at},
        connection::{datagram::OriginAsk, targets::OriginReply},
        formats::{HeaderNames, SoftwareVersion},
        metrics::{StateLabels, metrics},
        note,
        request::{
            direct::CallRequest,
            origins::{OriginSearch, RequiredSoftware, SearchOutcome, StreamKey, StreamOrigin},
        },
        timeline::Event,
    },
    http::HeaderValue,
    std::time::Duration,
};

/// Time for other hosts to answer where a stream began.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);

/// Characters of a header's value in a log line.
const MAX_LOGGED_CHARS: usize = 64;

/// Retry delay for callers of streams whose origin is unknown here: a host that could not be heard may be back.
pub(super) const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Retry delay for callers of streams whose version has no target left.
pub(super) const GONE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A stream that its caller takes up.
struct TakenUpStream<'a> {
    /// Attempt that brought the first event, if the caller names one.
    first: Option<&'a HeaderValue>,
    last_event: Option<&'a HeaderValue>,
}

impl<'a> TakenUpStream<'a> {
    /// Returns `None` for a request that begins a stream.
    fn of(
        names: &HeaderNames,
        request: &'a CallRequest,
    ) -> Option<Self> {
        let first = request.headers.get(&names.resumes);
        let last_event = request.headers.get(&names.last_event_id);
        let is_taken_up = first.is_some() || last_event.is_some();
        is_taken_up.then_some(Self { first, last_event })
    }
}

impl Dispatcher {
    /// Returns the version at which a request may run. `Err` is why it may run nowhere.
    pub(super) async fn required_software(
        &self,
        request: &CallRequest,
    ) -> Result<RequiredSoftware, ErrorCause> {
        if !request.route.resumable {
            return Ok(RequiredSoftware::Any);
        }
        let names = self.formats.headers();
        let Some(stream) = TakenUpStream::of(names, request) else {
            return Ok(RequiredSoftware::Introduced);
        };
        let began_at = Instant::now();
        let search = self.search_origin(request, &stream).await;
        let outcome = search.outcome();
        let state = outcome.word();
        metrics()
            .take_ups
            .get_or_create(&StateLabels { state })
            .inc();
        note!(
            Event::RequestTakenUp,
            id = request.id_text(),
            first = text(stream.first),
            last_event = text(stream.last_event),
            origin = state,
            software = self.software_name(request, outcome),
            asked = search.asked(),
            answered = search.answered(),
            complete = search.complete(),
            versions = search.versions(),
            waited_ms = millis(began_at.elapsed()),
        );
        match outcome.software() {
            Some(software) => Ok(RequiredSoftware::Exactly(software)),
            None => Err(ErrorCause::VersionUnknown),
        }
    }

    /// Records at which version a stream runs, so that it goes on there.
    pub(super) fn record_origin(
        &self,
        request: &CallRequest,
        software: &SoftwareVersion,
    ) {
        let names = self.formats.headers();
        let named = request.headers.get(&names.resumes);
        let Some(first) = named.or(request.id.as_ref()) else {
            return;
        };
        self.table.borrow().record_origin(StreamOrigin {
            key: StreamKey::new(&request.service.name, first.as_bytes()),
            software: software.id(),
            at: Instant::now(),
        });
    }

    async fn search_origin(
        &self,
        request: &CallRequest,
        stream: &TakenUpStream<'_>,
    ) -> OriginSearch {
        let service = &request.service.name;
        let id = rand::random();
        let key = stream
            .first
            .map(|first| StreamKey::new(service, first.as_bytes()));
        let mut pending = {
            let table = self.table.borrow();
            let pending = table.pending_origins.register(id);
            table.search_origin(OriginAsk {
                id,
                stream: key.map(StreamKey::to_bits),
                service: service.clone(),
            });
            pending
        };
        let deadline = request.deadline.min(Instant::now() + SEARCH_TIMEOUT);
        let mut search = OriginSearch::default();
        while !search.is_over() {
            let Ok(Some(reply)) = timeout_at(deadline, pending.next()).await else {
                break;
            };
            take_reply(&mut search, &reply);
        }
        search
    }

    fn software_name(
        &self,
        request: &CallRequest,
        outcome: SearchOutcome,
    ) -> String {
        let table = self.table.borrow();
        let software = outcome.software();
        let name = software.map(|software| table.software_name(&request.service.name, software));
        format!("{:?}", name.unwrap_or("-"))
    }
}

fn take_reply(
    search: &mut OriginSearch,
    reply: &OriginReply,
) {
    match reply {
        OriginReply::Own { answer, asked } => search.on_own_answer(&answer.finding(), *asked),
        OriginReply::Other(answer) => search.on_answer(&answer.finding()),
    }
}

/// Returns a header's value for logs.
fn text(value: Option<&HeaderValue>) -> String {
    let text = value.and_then(|value| value.to_str().ok());
    let kept: String = text.unwrap_or("-").chars().take(MAX_LOGGED_CHARS).collect();
    format!("{kept:?}")
}
