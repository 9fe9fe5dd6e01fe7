use {
    super::{destination::ExpectedVersion, engine_exclusions::EngineExclusions},
    crate::{
        clock::Instant,
        note,
        request::direct::{Awaited, RejectReason},
        timeline::Event,
    },
    std::{sync::Arc, time::Duration},
};

/// Maximum number of recorded steps of a request; later ones are only counted.
const MAX_STEPS: usize = 24;

/// A decision on a request, or the result of a send.
#[derive(Debug, Clone, PartialEq)]
pub enum TraceStep {
    /// A target was chosen; `ready` of the `candidates` were ready.
    Chosen {
        target: Arc<str>,
        candidates: usize,
        ready: usize,
        /// Requests and unread prompt tokens of all hosts at the target.
        running: u32,
        unread_tokens: u64,
        /// Prompt tokens that the target is expected to keep from earlier prompts.
        cached_tokens: u64,
        /// Age of the report on other hosts' requests.
        load_age: Option<Duration>,
        /// Version of the adapter, and age of the table of versions.
        version: Option<ExpectedVersion>,
        declared_age: Option<Duration>,
    },
    /// The holder of an engine was asked for the adapter.
    AdapterRequested {
        target: Arc<str>,
        spare: bool,
    },
    /// The request waits, and its first event is expected after `expected`.
    Waiting {
        expected: Option<Duration>,
        awaited: Awaited,
    },
    /// The request was rejected without having run; its caller may retry later.
    Deferred {
        reason: RejectReason,
        retry_after: Option<Duration>,
        /// Other requests of the service that wait at this host or were rejected lately.
        crowd: f64,
    },
    /// No engine could take the request, for these reasons.
    Unplaced(EngineExclusions),
    /// The target's rate limit granted no permit.
    NoPermit {
        target: Arc<str>,
    },
    Unreachable {
        target: Arc<str>,
    },
    Rejected {
        target: Arc<str>,
        status: u16,
    },
    Failed {
        target: Arc<str>,
        status: u16,
    },
    /// There was no answer, or none that could be relayed.
    AnswerLost {
        target: Arc<str>,
    },
    /// The request is sent again; `repeats` if that is charged to the shared repeat budget.
    Resent {
        repeats: bool,
    },
}

/// Steps of one request, logged only if it fails or is late.
#[derive(Debug, Default)]
pub struct RequestTrace {
    steps: Vec<(Instant, TraceStep)>,
    dropped_steps: usize,
}

impl RequestTrace {
    pub fn add(
        &mut self,
        step: TraceStep,
        now: Instant,
    ) {
        match self.steps.len() < MAX_STEPS {
            true => self.steps.push((now, step)),
            false => self.dropped_steps += 1,
        }
    }

    /// Adds the steps of another attempt.
    pub fn append(
        &mut self,
        other: Self,
    ) {
        self.dropped_steps += other.dropped_steps;
        for (at, step) in other.steps {
            self.add(step, at);
        }
    }

    /// Adds the step that ends a request, which is kept also if there are too many steps.
    pub fn add_last(
        &mut self,
        step: TraceStep,
        now: Instant,
    ) {
        self.steps.push((now, step));
    }

    /// Returns the target that was chosen last, or `-` if there was none.
    pub fn last_target(&self) -> &str {
        let chosen = self.steps.iter().rev().find_map(|(_, step)| match step {
            TraceStep::Chosen { target, .. } => Some(&**target),
            _ => None,
        });
        chosen.unwrap_or("-")
    }

    /// Returns the adapter version of the last choice.
    pub fn last_version(&self) -> Option<ExpectedVersion> {
        self.steps.iter().rev().find_map(|(_, step)| match step {
            TraceStep::Chosen { version, .. } => *version,
            _ => None,
        })
    }

    /// Returns the time from the arrival to the last choice of a target; zero if there was none.
    pub fn time_to_last_send(
        &self,
        arrived: Instant,
    ) -> Duration {
        let sent = self.steps.iter().rev().find_map(|(at, step)| match step {
            TraceStep::Chosen { .. } => Some(*at),
            _ => None,
        });
        sent.map_or(Duration::ZERO, |at| at.saturating_duration_since(arrived))
    }

    /// Returns the time from the arrival to the last choice of a target, or `None` if the request did not wait or no
    /// target was chosen.
    pub fn time_waited(
        &self,
        arrived: Instant,
    ) -> Option<Duration> {
        let is_wait = |(_, step): &(Instant, TraceStep)| matches!(step, TraceStep::Waiting { .. });
        if !self.steps.iter().any(is_wait) {
            return None;
        }
        let chosen = self.steps.iter().rev().find_map(|(at, step)| match step {
            TraceStep::Chosen { .. } => Some(*at),
            _ => None,
        })?;
        Some(chosen.saturating_duration_since(arrived))
    }

    /// Logs one line for each step.
    pub fn log(
        &self,
        id: &str,
        now: Instant,
    ) {
        for (at, step) in &self.steps {
            log_step(id, now.saturating_duration_since(*at), step);
        }
    }
}

fn log_step(
    id: &str,
    ago: Duration,
    step: &TraceStep,
) {
    let ago_ms = millis(ago);
    match step {
        TraceStep::Chosen {
            target,
            candidates,
            ready,
            running,
            unread_tokens,
            cached_tokens,
            load_age,
            version,
            declared_age,
        } => {
            let load_age_ms = load_age.map_or(-1.0, millis);
            let declared_age_ms = declared_age.map_or(-1.0, millis);
            note!(
                Event::RequestChosen,
                id = id,
                ago_ms = ago_ms,
                target = target,
                candidates = candidates,
                ready = ready,
                running = running,
                unread_tokens = unread_tokens,
                cached_tokens = cached_tokens,
                load_age_ms = load_age_ms,
                version = version.map_or(0, |sent| sent.version),
                newest = version.map_or(0, |sent| sent.newest),
                expected_ms = version.map_or(-1.0, |sent| millis(sent.wait)),
                declared_age_ms = declared_age_ms,
            );
        }
        TraceStep::AdapterRequested { target, spare } => {
            note!(
                Event::RequestAsks,
                id = id,
                ago_ms = ago_ms,
                target = target,
                spare = spare
            );
        }
        TraceStep::Waiting { expected, awaited } => {
            let expected_ms = expected.map_or(-1.0, millis);
            note!(
                Event::RequestWaits,
                id = id,
                ago_ms = ago_ms,
                awaited = awaited.word(),
                expected_ms = expected_ms
            );
        }
        TraceStep::Deferred {
            reason,
            retry_after,
            crowd,
        } => {
            note!(
                Event::RequestDeferred,
                id = id,
                ago_ms = ago_ms,
                reason = reason.word(),
                retry_after_ms = retry_after.map_or(-1.0, millis),
                crowd = format_args!("{crowd:.1}"),
            );
        }
        TraceStep::Unplaced(exclusions) => {
            note!(
                Event::RequestUnplaced,
                id = id,
                ago_ms = ago_ms,
                weighed = exclusions.candidates,
                tried = exclusions.tried,
                closed = exclusions.closed,
                avoided = exclusions.avoided,
                without_holder = exclusions.without_holder,
                full = exclusions.full,
            );
        }
        TraceStep::NoPermit { target } => {
            note!(
                Event::RequestNoPermit,
                id = id,
                ago_ms = ago_ms,
                target = target
            );
        }
        TraceStep::Unreachable { target } => {
            note!(
                Event::RequestNotReached,
                id = id,
                ago_ms = ago_ms,
                target = target
            );
        }
        TraceStep::Rejected { target, status } => {
            note!(
                Event::RequestTurnedAway,
                id = id,
                ago_ms = ago_ms,
                target = target,
                status = status
            );
        }
        TraceStep::Failed { target, status } => {
            note!(
                Event::RequestFailedThere,
                id = id,
                ago_ms = ago_ms,
                target = target,
                status = status
            );
        }
        TraceStep::AnswerLost { target } => {
            note!(
                Event::RequestLost,
                id = id,
                ago_ms = ago_ms,
                target = target
            );
        }
        TraceStep::Resent { repeats } => {
            note!(
                Event::RequestResent,
                id = id,
                ago_ms = ago_ms,
                repeats = repeats
            );
        }
    }
}

/// Converts a duration to milliseconds with one decimal, for log lines.
pub fn millis(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}
