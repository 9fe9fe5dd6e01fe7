//! Answers of targets, complete or still being read.

use {
    super::{
        AnswerEnding, AnswerReader, admission::HeldPermit, in_flight_request::InFlightRequest,
    },
    crate::{
        clock::Instant,
        connection::{
            http1::ExchangeError,
            targets::{TargetIncarnation, TargetSilence},
        },
        formats::SoftwareVersion,
    },
    bytes::Bytes,
    http::{HeaderMap, StatusCode},
    std::time::Duration,
};

/// A complete answer of a target.
#[derive(Debug)]
pub struct CompleteAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// An answer whose body is still being sent.
pub struct OpenAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// First piece of the body.
    pub first: Bytes,
    pub source: AnswerSource,
}

/// Source of the rest of a body.
pub struct AnswerSource {
    pub(super) reader: AnswerReader,
    pub(super) reusable: bool,
    pub(super) idle_limit: Option<Duration>,
    pub(super) in_flight: InFlightRequest,
    /// Permit of a brittle target.
    pub(super) permit: Option<HeldPermit>,
}

impl AnswerSource {
    /// Returns the next piece, or `None` at the end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let awaited_event = self.reader.awaits_event();
        let piece = self.reader.next().await;
        if matches!(piece, Ok(Some(_))) {
            self.in_flight.on_received();
            if awaited_event && !self.reader.awaits_event() {
                self.in_flight.record_success();
            }
        }
        piece
    }

    /// Returns what is known of the silence of the target, in which it has sent nothing for `time`.
    pub fn target_silence(
        &self,
        service: &str,
        time: Duration,
    ) -> TargetSilence {
        let table = self.in_flight.table().borrow();
        table.silence_of(service, self.target(), time, Instant::now())
    }

    pub fn target(&self) -> &str {
        self.in_flight.target()
    }

    /// Returns the incarnation of the target that answers.
    pub fn incarnation(&self) -> TargetIncarnation {
        self.in_flight.target_incarnation()
    }

    /// Returns the version of the software that answers.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        self.in_flight.software()
    }

    /// Returns how the end of the bytes so far was told.
    pub fn ending(&self) -> AnswerEnding {
        self.reader.ending()
    }

    /// Records that the rest of the answer was malformed.
    pub fn record_failure(&self) {
        self.in_flight.record_failure();
    }

    /// Ends a completely read body, and returns the connection to the pool if it can be reused.
    pub fn finish(self) {
        if self.reusable {
            let connection = self.reader.into_connection();
            self.in_flight.release(connection, self.idle_limit);
        }
    }
}
