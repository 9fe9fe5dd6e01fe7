//! Requests that no target can take now: whether they wait or are rejected, and when their callers should retry.

use {
    super::{
        ErrorCause,
        attempts::Attempts,
        choice::Choice,
        request_trace::TraceStep,
        waits::{CHOICE_RETRY_INTERVAL, HOLDER_TIMEOUT},
    },
    crate::{
        clock::Instant,
        connection::targets::TargetTable,
        metrics::{WaitLabels, metrics},
        request::direct::{
            AdapterCopyState, Awaited, BoundedWait, CallRequest, DEFAULT_RETRY_AFTER,
            EngineCandidate, EngineOutlook, RejectReason, RequestTiming, RetrySpread, WaitDecision,
            bounded_wait, outlook_of, unconfirmed_limit, wait_or_reject,
        },
    },
    rand::RngExt,
    std::{sync::Arc, time::Duration},
};

/// Minimum wait of a request before it tries to choose an engine again.
const MIN_WAIT: Duration = Duration::from_millis(2);

/// Share of the route's latency objective after which a request that no target can take is rejected.
const PROMPT_REJECT_SHARE: f64 = 0.17;

/// Retries of callers that are rejected while all targets are closed are spread over this time after the first one
/// opens.
const RETRY_SPREAD: Duration = Duration::from_millis(500);

/// A request that no engine can take now, and the candidates that were weighed for it.
pub(super) struct Unplaced<'a> {
    request: &'a CallRequest,
    targets: &'a [Arc<str>],
    candidates: &'a [EngineCandidate],
    now: Instant,
}

impl<'a> Unplaced<'a> {
    pub fn of(
        request: &'a CallRequest,
        targets: &'a [Arc<str>],
        candidates: &'a [EngineCandidate],
        now: Instant,
    ) -> Self {
        Self {
            request,
            targets,
            candidates,
            now,
        }
    }

    /// Decides before a holder is asked for a load of the adapter: waits for its reply, unless holders have been asked
    /// without success for too long.
    pub fn await_reply(
        &self,
        table: &mut TargetTable,
        attempts: &mut Attempts,
    ) -> Choice {
        let until = self.now + HOLDER_TIMEOUT;
        match is_bounded(table, attempts) {
            true => self.decide(table, attempts, self.outlook(table), until),
            false => Choice::Wait {
                until,
                expected: None,
                awaited: Awaited::HolderReply,
            },
        }
    }

    /// Decides while the adapter is being loaded at an engine, or the reply of its holder is awaited; looks again at
    /// `until` at the latest. The first event is expected after `expected`.
    pub fn await_load(
        &self,
        table: &mut TargetTable,
        attempts: &mut Attempts,
        until: Instant,
        expected: Option<Duration>,
    ) -> Choice {
        let until = until.max(self.now + MIN_WAIT);
        if is_bounded(table, attempts) {
            let outlook = match (self.outlook(table), expected) {
                (EngineOutlook::Confirmed { .. }, Some(expected)) => {
                    EngineOutlook::Confirmed { expected }
                }
                (outlook, _) => outlook,
            };
            return self.decide(table, attempts, outlook, until);
        }
        let rejectable = expected.filter(|_| table.policy().refuses_early);
        let decision = rejectable.map(|expected| wait_or_reject(&self.timing(), expected));
        let awaited = match expected {
            Some(_) => Awaited::Load,
            None => Awaited::HolderReply,
        };
        match decision {
            Some(WaitDecision::Reject { retry_after }) => {
                let step = TraceStep::Waiting { expected, awaited };
                attempts.trace.add(step, self.now);
                Choice::Reject {
                    retry_after,
                    reason: RejectReason::Late,
                }
            }
            _ => Choice::Wait {
                until,
                expected,
                awaited,
            },
        }
    }

    /// Decides if no engine can be asked for a load either: chooses again while there is time for a prompt rejection, and until
    /// its deadline for a request that this host has cancelled itself.
    pub fn wait_or_give_up(
        &self,
        table: &mut TargetTable,
        attempts: &mut Attempts,
    ) -> Choice {
        if let Some(choice) = self.wait_for_opening(table) {
            return choice;
        }
        let retry_at = self.now + CHOICE_RETRY_INTERVAL;
        if is_bounded(table, attempts) {
            if let Some(lasted) = self.holders_unknown_for(table) {
                return self.decide(
                    table,
                    attempts,
                    EngineOutlook::NoHolder { lasted },
                    retry_at,
                );
            }
            let room_at = self.room_at(table).filter(|_| self.candidates.is_empty());
            let until = room_at.unwrap_or(retry_at);
            return self.decide(table, attempts, self.outlook(table), until);
        }
        if attempts.was_cancelled {
            // With no other engine left, those that it was cancelled at are better than none.
            attempts.tried.clear();
        }
        match self.is_prompt(retry_at) || attempts.was_cancelled {
            true => Choice::Wait {
                until: retry_at,
                expected: None,
                awaited: Awaited::AnyEngine,
            },
            false => Choice::NoTarget,
        }
    }

    /// Returns what to do if all targets are closed, or `None` if one is not.
    ///
    /// Waits if a target opens while there is time for a prompt rejection; otherwise rejects at once, and the caller
    /// retries when the first target opens.
    pub fn wait_for_opening(
        &self,
        table: &TargetTable,
    ) -> Option<Choice> {
        let opens = table.earliest_availability(self.targets.iter(), self.now)?;
        let opens_after = opens.saturating_duration_since(self.now);
        if self.is_prompt(opens) {
            return Some(Choice::Wait {
                until: opens,
                expected: Some(opens_after),
                awaited: Awaited::Opening,
            });
        }
        // Callers that are rejected together must not retry together.
        let jitter = rand::rng().random_range(Duration::ZERO..RETRY_SPREAD);
        Some(Choice::Reject {
            retry_after: opens_after + jitter,
            reason: RejectReason::Closed,
        })
    }

    /// Decides by what can be expected of the engines; a request that waits looks again at `until` at the latest.
    fn decide(
        &self,
        table: &mut TargetTable,
        attempts: &mut Attempts,
        outlook: EngineOutlook,
        until: Instant,
    ) -> Choice {
        let timing = self.timing();
        let unconfirmed_since = attempts.unconfirmed_since(&outlook, self.now);
        let unconfirmed_for = self.now.saturating_duration_since(unconfirmed_since);
        let decision = bounded_wait(
            &timing,
            outlook,
            unconfirmed_for,
            &retry_spread(table, self.request, self.now),
            table.policy().refuses_early,
        );
        match decision {
            BoundedWait::Wait { expected } => {
                let limit = unconfirmed_since
                    + unconfirmed_limit(&timing, outlook.awaited(), unconfirmed_for);
                let until = match outlook {
                    EngineOutlook::Confirmed { .. } => until,
                    _ => until.min(limit).max(self.now + MIN_WAIT),
                };
                Choice::Wait {
                    until,
                    expected,
                    awaited: outlook.awaited(),
                }
            }
            BoundedWait::Reject {
                retry_after,
                reason,
            } => {
                self.trace_expectation(attempts, outlook);
                Choice::Reject {
                    retry_after,
                    reason,
                }
            }
        }
    }

    /// Adds to the trace what a holder has confirmed, for which a request is rejected without a wait.
    fn trace_expectation(
        &self,
        attempts: &mut Attempts,
        outlook: EngineOutlook,
    ) {
        if let EngineOutlook::Confirmed { expected } = outlook {
            let step = TraceStep::Waiting {
                expected: Some(expected),
                awaited: outlook.awaited(),
            };
            attempts.trace.add(step, self.now);
        }
    }

    fn outlook(
        &self,
        table: &TargetTable,
    ) -> EngineOutlook {
        outlook_of(self.candidates, self.room_at(table), self.now)
    }

    /// Returns when the first engine that is full for the adapter may be asked again.
    fn room_at(
        &self,
        table: &TargetTable,
    ) -> Option<Instant> {
        let adapter = self.request.generation.as_ref()?.adapter()?;
        table.adapters.earliest_room(adapter, self.now)
    }

    /// Returns for how long no holder of the service's engines has been known, if none of the engines has the adapter
    /// either: then no engine can serve the request before a holder is known.
    fn holders_unknown_for(
        &self,
        table: &mut TargetTable,
    ) -> Option<Duration> {
        self.request.generation.as_ref()?.adapter()?;
        let is_ready =
            |candidate: &EngineCandidate| candidate.copy_state == AdapterCopyState::Ready;
        match self.candidates.iter().any(is_ready) {
            true => None,
            false => table.holders_unknown_for(&self.request.service.name, self.now),
        }
    }

    /// Returns true if a rejection at this time is still prompt.
    fn is_prompt(
        &self,
        at: Instant,
    ) -> bool {
        let elapsed = at.saturating_duration_since(self.request.arrived);
        elapsed < self.request.route.aim.mul_f64(PROMPT_REJECT_SHARE)
    }

    fn timing(&self) -> RequestTiming {
        RequestTiming {
            elapsed: self.now.saturating_duration_since(self.request.arrived),
            aim: self.request.route.aim,
            time_left: self.request.time_left(self.now),
        }
    }
}

/// Returns true if the request waits only while an engine can be expected to serve it.
///
/// One that may have run can't be rejected so that its caller retries it; for it a late answer is better than none.
fn is_bounded(
    table: &TargetTable,
    attempts: &Attempts,
) -> bool {
    table.bounds_waits() && attempts.history.runs == 0
}

fn retry_spread(
    table: &mut TargetTable,
    request: &CallRequest,
    now: Instant,
) -> RetrySpread {
    let service = &request.service.name;
    RetrySpread {
        crowd: table.unplaced(service).crowd(now),
        room_interval: table.room_interval(service),
        priority: request.urgency,
        draw: rand::rng().random::<f64>(),
    }
}

/// Returns the retry delay of a request about which nothing is known of when a target can take it.
///
/// Only retries of requests for engines are spread: the spread follows from the time that loads of adapters take, and
/// plain services have none.
pub(super) fn retry_delay(
    table: &mut TargetTable,
    request: &CallRequest,
    now: Instant,
) -> Duration {
    match table.bounds_waits() && request.generation.is_some() {
        true => {
            let spread = retry_spread(table, request, now);
            spread.retry_after(DEFAULT_RETRY_AFTER, request.time_left(now))
        }
        false => DEFAULT_RETRY_AFTER,
    }
}

/// Returns why a request was rejected that got an answer with this cause, or `None` if the cause has nothing to do
/// with the load of targets.
pub(super) fn reason_of(cause: ErrorCause) -> Option<RejectReason> {
    match cause {
        ErrorCause::NoAdapter | ErrorCause::NoTarget => Some(RejectReason::NoTarget),
        ErrorCause::RejectedByTargets => Some(RejectReason::RejectedByTargets),
        ErrorCause::DeadlineExceededUnsent => Some(RejectReason::DeadlineExceeded),
        _ => None,
    }
}

/// Counts a rejected request, so that the retries of others are spread further, and adds it to the trace.
pub(super) fn record_rejection(
    table: &mut TargetTable,
    request: &CallRequest,
    attempts: &mut Attempts,
    reason: RejectReason,
    retry_after: Option<Duration>,
) {
    let now = Instant::now();
    let unplaced = table.unplaced(&request.service.name);
    let step = TraceStep::Deferred {
        reason,
        retry_after,
        crowd: unplaced.crowd(now),
    };
    unplaced.on_rejected(now);
    attempts.trace.add_last(step, now);
    let labels = WaitLabels {
        cause: reason.word(),
    };
    metrics().rejections.get_or_create(&labels).inc();
}
