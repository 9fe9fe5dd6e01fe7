//! Hedged requests: while a target is silent, its request is also tried elsewhere, and the first answer decides.
//!
//! The first attempt is kept until another one has brought an answer, as its target may go on at any moment. Only one of both
//! is relayed; the connection of the other is closed at once, so that its target cancels the request.

use {
    super::{
        AnswerBody, Dispatcher, ErrorCause,
        admission::{charge_repeat, wait_for_budget},
        attempts::Attempts,
        destination::Destination,
        exchange::{SendOutcome, send},
        outcome::Outcome,
        poison_check::has_crashed_targets,
        request_trace::millis,
        silence_watch::{Alternative, SilenceWatch},
    },
    crate::{
        clock::Instant,
        connection::targets::TargetIncarnation,
        metrics::{StateLabels, metrics},
        note,
        request::direct::{AttemptEnd, CallRequest, NextStep, RequestHistory, next_step},
        timeline::Event,
        version::routing::RouteKind,
    },
    futures_util::future::LocalBoxFuture,
    http::{Response, StatusCode},
    std::pin::pin,
};

/// Statuses by which another host promises that it has not run a request.
const NOT_RUN: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// A second attempt beside one whose target is silent.
pub(super) struct Hedge<'a> {
    pub request: &'a CallRequest,
    pub alternative: Alternative,
    /// Where the first attempt waits.
    pub first: &'a Destination,
    /// Id of the event after which the answer continues.
    pub after: Option<u64>,
}

/// Which attempt a hedged request was decided by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HedgeWinner {
    First,
    Second,
    /// The second attempt has brought no answer, and the first one none so far.
    Neither,
    /// The caller has left, or the deadline has passed.
    GivenUp,
}

impl HedgeWinner {
    fn word(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Second => "second",
            Self::Neither => "none",
            Self::GivenUp => "given_up",
        }
    }
}

/// Result of a send that is hedged while its target is silent.
pub(super) enum HedgedSend {
    /// The send has ended by itself.
    Sent(SendOutcome),
    /// Another attempt has brought the answer before it.
    Overtaken(Outcome),
}

impl Dispatcher {
    /// Sends a request to a target, and tries it elsewhere as well while the target is silent and there is an alternative.
    pub(super) async fn send_hedged(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        destination: &Destination,
    ) -> HedgedSend {
        let names = self.formats.headers();
        let streams = request.route.kind == RouteKind::Stream;
        let incarnation = self.incarnation_of(&destination.target);
        let watch = self.silence_watch(request, &incarnation);
        let sent_at = Instant::now();
        let mut first = pin!(send(&self.table, names, request, destination, streams));
        loop {
            let alternative = tokio::select! {
                sent = &mut first => return HedgedSend::Sent(sent),
                alternative = watch.until_answer_is_late(sent_at) => alternative,
            };
            // The send in progress already counts as a run.
            let mut lost = attempts.history;
            lost.arrivals += 1;
            if !may_hedge(request, &lost) {
                return HedgedSend::Sent(first.await);
            }
            let hedge = Hedge {
                request,
                alternative,
                first: destination,
                after: destination.resume_after,
            };
            let started = Instant::now();
            let mut beside = attempts.beside(lost);
            let mut sent = None;
            let outcome = {
                let mut second = pin!(self.try_beside(&hedge, &mut beside));
                loop {
                    tokio::select! {
                        outcome = &mut second => break outcome,
                        () = watch.until_heard_again(alternative), if sent.is_none() => break None,
                        end = &mut first, if sent.is_none() => {
                            let is_answered = !matches!(end, SendOutcome::Ended(_));
                            sent = Some(end);
                            if is_answered {
                                break None;
                            }
                        }
                    }
                }
            };
            let winner = match (&outcome, &sent) {
                (Some(_), _) => HedgeWinner::Second,
                (None, Some(SendOutcome::Ended(_)) | None) => HedgeWinner::Neither,
                (None, Some(_)) => HedgeWinner::First,
            };
            log_hedge(&hedge, winner, started, &beside.history.since(&lost));
            attempts.end_hedge(beside, &lost);
            match (outcome, sent) {
                (Some(outcome), _) => return HedgedSend::Overtaken(outcome),
                (None, Some(sent)) => return HedgedSend::Sent(sent),
                (None, None) => {}
            }
        }
    }

    /// Tries a request elsewhere while its first attempt goes on; `None` if that brings no answer of a target.
    ///
    /// In `attempts` the first attempt counts as lost.
    pub(super) fn try_beside<'a>(
        &'a self,
        hedge: &'a Hedge<'a>,
        attempts: &'a mut Attempts,
    ) -> LocalBoxFuture<'a, Option<Outcome>> {
        Box::pin(async move {
            let outcome = match hedge.alternative {
                Alternative::OtherHost => self.forward_beside(hedge, attempts).await,
                Alternative::OtherTarget => {
                    attempts.excluded = vec![hedge.first.target.to_string()];
                    self.try_targets_beside(hedge, attempts).await
                }
                Alternative::SameTarget => {
                    attempts.excluded = self.other_targets(hedge);
                    self.try_targets_beside(hedge, attempts).await
                }
            }?;
            match is_answer(&outcome) {
                true => Some(outcome),
                false => {
                    if may_have_run(&outcome) {
                        attempts.history.record(AttemptEnd::Lost);
                    }
                    None
                }
            }
        })
    }

    /// Returns the watch over a target on which a request waits.
    pub(super) fn silence_watch<'a>(
        &'a self,
        request: &'a CallRequest,
        incarnation: &'a TargetIncarnation,
    ) -> SilenceWatch<'a> {
        SilenceWatch {
            table: &self.table,
            names: self.formats.headers(),
            request,
            incarnation,
        }
    }

    async fn try_targets_beside(
        &self,
        hedge: &Hedge<'_>,
        attempts: &mut Attempts,
    ) -> Option<Outcome> {
        let request = hedge.request;
        if has_crashed_targets(&self.table, request) || !wait_for_budget(&self.table, request).await
        {
            return None;
        }
        self.try_targets(request, attempts, hedge.after).await.ok()
    }

    /// Leaves a request to another host, as this one hears from no target of its service.
    async fn forward_beside(
        &self,
        hedge: &Hedge<'_>,
        attempts: &mut Attempts,
    ) -> Option<Outcome> {
        let request = hedge.request;
        // Another host would begin a resumed answer anew.
        if request.is_forwarded || hedge.after.is_some() {
            return None;
        }
        let charge = charge_repeat(&self.table, request)?;
        // It counts as run until its end is known.
        attempts.history.runs += 1;
        let response = self.forwarder.forward(request).await;
        if response.is_none() {
            let mut table = self.table.borrow_mut();
            table.budget(&request.service.name).refund(&charge);
        }
        attempts.history.runs -= 1;
        response.map(Outcome::Forwarded)
    }

    /// Returns the targets of the service but that of the first attempt.
    fn other_targets(
        &self,
        hedge: &Hedge<'_>,
    ) -> Vec<String> {
        let table = self.table.borrow();
        let targets = table.targets_of(&hedge.request.service.name).iter();
        let others = targets.filter(|target| target.id != hedge.first.target);
        others.map(|target| target.id.to_string()).collect()
    }
}

/// Returns true if a request may run once more, given the attempts so far with the one in progress as lost.
pub(super) fn may_hedge(
    request: &CallRequest,
    lost: &RequestHistory,
) -> bool {
    let step = next_step(&request.route, lost, AttemptEnd::Lost, true);
    matches!(step, NextStep::Resend { .. })
}

/// Returns true if an outcome may be relayed in place of the answer to the first attempt.
fn is_answer(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Open(answer) => answer.status.is_success(),
        Outcome::Final(response) => !is_local(response) && !response.status().is_server_error(),
        Outcome::Forwarded(response) => response.status().is_success(),
    }
}

/// Returns true if an outcome that is no answer may come from a run that is not counted yet.
fn may_have_run(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Open(_) => true,
        Outcome::Final(_) => false,
        Outcome::Forwarded(response) => !NOT_RUN.contains(&response.status()),
    }
}

fn is_local(response: &Response<AnswerBody>) -> bool {
    response.extensions().get::<ErrorCause>().is_some()
}

/// Logs and counts the end of a hedge that began at `started` and took so many `runs`.
pub(super) fn log_hedge(
    hedge: &Hedge<'_>,
    winner: HedgeWinner,
    started: Instant,
    runs: &RequestHistory,
) {
    let labels = StateLabels {
        state: winner.word(),
    };
    metrics().hedges.get_or_create(&labels).inc();
    note!(
        Event::RequestHedged,
        id = hedge.request.id_text(),
        target = hedge.first.target,
        alternative = hedge.alternative.word(),
        won = winner.word(),
        runs = runs.runs,
        took_ms = millis(started.elapsed()),
        after_ms = millis(hedge.request.arrived.elapsed()),
    );
}
