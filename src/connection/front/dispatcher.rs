use {
    super::{
        AnswerBody, ErrorCause, LocalAnswer,
        admission::{
            HeldSlot, Permit, QuotaCharge, STALE_RETRY_AFTER, SlotAcquisition, acquire_permit,
            acquire_slot, charge, charge_repeat,
        },
        answer_times::AnswerTimes,
        attempts::Attempts,
        choice::Choice,
        chooser::Chooser,
        crash_probe::{LostAnswer, answers_health_check, clear_suspect, probe_after_loss},
        destination::Destination,
        exchange::SendOutcome,
        final_answers::{FinalAnswers, STOPPING_RETRY_AFTER, relay},
        hedge::HedgedSend,
        host_forwarder::HostForwarder,
        host_stop::StopWatch,
        open_request::OpenRequest,
        outcome::{NotResumed, Outcome, Unreached},
        pending_request::{PendingRequest, settle_charge},
        poison_check::{is_suspected, rejected_key},
        request_trace::TraceStep,
        served_request::ServedRequest,
        stream_relay::StreamRelay,
        take_up::{GONE_RETRY_AFTER, UNKNOWN_RETRY_AFTER},
        target_answer::OpenAnswer,
    },
    crate::{
        clock::{Instant, timeout_at},
        connection::targets::{TargetIncarnation, TargetTable},
        formats::Formats,
        request::{
            direct::{AttemptEnd, CallRequest, RejectReason},
            origins::RequiredSoftware,
            places::SlotOutcome,
        },
    },
    http::Response,
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// Backoff before a target is chosen again for a request that was not sent to the one chosen before.
const WITHHELD_BACKOFF: Duration = Duration::from_millis(10);

/// A connection that is lost sooner than this was closed before the target started the request.
const MIN_RUN_TIME: Duration = Duration::from_millis(3);

/// Sends each request to a target, with resends where the route allows them, and returns the final answer.
pub struct Dispatcher {
    pub(super) table: Rc<RefCell<TargetTable>>,
    chooser: Chooser,
    pub(super) answers: FinalAnswers,
    pub(super) forwarder: Rc<HostForwarder>,
    pub(super) formats: Arc<dyn Formats>,
    pub(super) stop: StopWatch,
    answer_times: RefCell<AnswerTimes>,
}

impl Dispatcher {
    pub fn new(
        table: Rc<RefCell<TargetTable>>,
        formats: Arc<dyn Formats>,
        hall: &str,
        stop: StopWatch,
    ) -> Self {
        let forwarder = HostForwarder::new(table.clone(), formats.clone(), stop.clone());
        Self {
            chooser: Chooser::new(table.clone(), hall),
            answers: FinalAnswers::new(table.clone(), formats.clone()),
            forwarder: Rc::new(forwarder),
            answer_times: RefCell::default(),
            table,
            formats,
            stop,
        }
    }

    /// Serves a request up to its final answer, or to the first event of a stream.
    pub async fn serve(
        self: &Rc<Self>,
        request: CallRequest,
    ) -> Response<AnswerBody> {
        if let Some(key) = rejected_key(&self.table, &request) {
            log_unsent(&request, ErrorCause::CrashesTargets);
            return self.answers.reject_poison(&request, key);
        }
        let mut forwarding_failed = false;
        if self.table.borrow().is_unreached(&request.service.name) {
            match self.forward_unsent(&request).await {
                Some(response) => return response,
                None => forwarding_failed = true,
            }
        }
        let prepared = self.stop.before_the_end(self.prepare(&request)).await;
        let (software, charged) = match prepared {
            Some(Ok(prepared)) => prepared,
            Some(Err(response)) => return response,
            None => {
                let cause = ErrorCause::Stopping;
                return self.reject_unsent(&request, cause, STOPPING_RETRY_AFTER);
            }
        };
        self.record_demand(&request);
        let mut pending = PendingRequest::new(&request, charged);
        pending.attempts.forwarding_failed = forwarding_failed;
        pending.attempts.software = software;
        let tried = self.try_or_forward(&request, &mut pending.attempts);
        let tried = timeout_at(request.deadline, tried);
        let outcome = self.stop.before_the_end(tried).await;
        let (mut attempts, charged) = pending.disarm();
        let response = match outcome {
            Some(Ok(Outcome::Final(response))) => response,
            Some(Ok(Outcome::Forwarded(response))) => {
                // The other host has charged it.
                settle_charge(charged, false);
                return response;
            }
            Some(Err(_)) => self.answers.answer_timeout(&request, &mut attempts),
            None => self.answers.answer_stopped(&request, &mut attempts),
            Some(Ok(Outcome::Open(answer))) => {
                settle_charge(charged, true);
                let open = OpenRequest::new(request, attempts, answer.status);
                return StreamRelay::start(self.clone(), *answer, open);
            }
        };
        let cause = response.extensions().get::<ErrorCause>().copied();
        if cause.is_none() {
            self.record_answer_time(&request);
        }
        settle_charge(charged, cause.is_none_or(ErrorCause::may_have_run));
        let status = response.status().as_u16();
        let served = ServedRequest::new(&request, &attempts, status, cause);
        served.log_final(&request, &attempts);
        response
    }

    /// Returns the software that a request needs, and charges it to its customer's quota; `Err` is the final answer.
    async fn prepare(
        &self,
        request: &CallRequest,
    ) -> Result<(RequiredSoftware, Option<QuotaCharge>), Response<AnswerBody>> {
        let software = self
            .required_software(request)
            .await
            .map_err(|cause| self.reject_unsent(request, cause, UNKNOWN_RETRY_AFTER))?;
        let charged = charge(&self.table, request)
            .await
            .map_err(|answer| self.answers.reject_uncharged(request, answer))?;
        Ok((software, charged))
    }

    /// Returns false if a request would be answered after this host has ended, by the times of its route.
    pub fn ends_in_time(
        &self,
        request: &CallRequest,
    ) -> bool {
        let now = Instant::now();
        let expected = self.answer_times.borrow().expected(&request.route, now);
        self.stop.leaves_time_for(expected, now)
    }

    /// Logs a request that is not served, as it would not end in time.
    pub fn log_too_late(
        &self,
        request: &CallRequest,
    ) {
        log_unsent(request, ErrorCause::Stopping);
    }

    pub(super) fn record_answer_time(
        &self,
        request: &CallRequest,
    ) {
        let mut times = self.answer_times.borrow_mut();
        times.record(&request.route, request.arrived.elapsed(), Instant::now());
    }

    /// Rejects a request for which nothing was sent or charged.
    fn reject_unsent(
        &self,
        request: &CallRequest,
        cause: ErrorCause,
        retry_after: Duration,
    ) -> Response<AnswerBody> {
        log_unsent(request, cause);
        self.answers
            .answer(request, LocalAnswer::after(cause, retry_after))
    }

    /// Returns false if no target runs the version that the request needs.
    fn is_version_served(
        &self,
        request: &CallRequest,
        attempts: &Attempts,
    ) -> bool {
        let table = self.table.borrow();
        let service = &request.service.name;
        match attempts.software {
            RequiredSoftware::Exactly(software) => {
                table.serves_software(service, software, Instant::now())
            }
            RequiredSoftware::Any | RequiredSoftware::Introduced => true,
        }
    }

    /// Opens the rest of a broken stream at another target, after the event `after`.
    pub async fn resume(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        broken: &str,
        after: Option<u64>,
    ) -> Result<Box<OpenAnswer>, NotResumed> {
        let now = Instant::now();
        let destination = Destination::of(broken);
        attempts.record_end(&destination, AttemptEnd::Lost, now);
        if let Some(link) = self.table.borrow_mut().links.get_mut(broken) {
            link.health.on_failure(now);
        }
        if let Some(response) = self
            .handle_failed_send(request, attempts, &destination, AttemptEnd::Lost)
            .await
        {
            return Err(NotResumed::Answered(response));
        }
        match self.try_targets(request, attempts, after).await {
            Ok(Outcome::Open(answer)) if answer.status.is_success() => Ok(answer),
            Ok(Outcome::Final(response)) => Err(NotResumed::Answered(response)),
            _ => Err(NotResumed::Unusable),
        }
    }

    fn record_demand(
        &self,
        request: &CallRequest,
    ) {
        let mut table = self.table.borrow_mut();
        table
            .budget(&request.service.name)
            .on_request(request.arrived);
        let Some(generation) = &request.generation else {
            return;
        };
        table
            .prefill_throughput(&request.service.name)
            .on_prompt(generation.tokens_in);
        if let Some(adapter) = generation.adapter() {
            table.demand.on_request(adapter, request.arrived);
        }
    }

    /// Sends the request to one target after the other until there is an answer or it is not sent again.
    pub(super) async fn try_targets(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
    ) -> Result<Outcome, Unreached> {
        loop {
            if resume_after.is_none() && self.must_forward(request, attempts) {
                return Err(Unreached);
            }
            let next = self.next_destination(request, attempts, resume_after.is_some());
            let (mut destination, mut slot) = match next.await {
                Ok(next) => next,
                Err(response) => return Ok(Outcome::Final(response)),
            };
            let permit = match acquire_permit(&self.table, &destination.target).await {
                Permit::Free => None,
                Permit::Held(permit) => Some(permit),
                Permit::Denied => {
                    let target = destination.target.clone();
                    let step = TraceStep::NoPermit { target };
                    attempts.trace.add(step, Instant::now());
                    continue;
                }
            };
            destination.resume_after = resume_after;
            let names = self.formats.headers();
            // Charged right before the send: the request may have waited seconds for its adapter.
            let repeats = attempts.history.arrivals > 0;
            let repeat_charge = match repeats {
                true => charge_repeat(&self.table, request),
                false => None,
            };
            if repeats && repeat_charge.is_none() {
                return Ok(Outcome::Final(
                    self.answers.rejected_by_targets(request, attempts),
                ));
            }
            let verified = is_suspected(&self.table, request);
            if verified
                && !answers_health_check(&self.table, names, request, &destination.target).await
            {
                attempts.record_end(&destination, AttemptEnd::NotSent, Instant::now());
                attempts.tried.push(destination.target.to_string());
                continue;
            }
            // It may also have become known since, while the request waited for a permit or a health check.
            if let Some(key) = rejected_key(&self.table, request) {
                return Ok(Outcome::Final(self.answers.reject_poison(request, key)));
            }
            let incarnation = self.incarnation_of(&destination.target);
            let sent_at = Instant::now();
            if let Some(permit) = &permit {
                permit.on_sent();
            }
            // A send counts as run until its end is known.
            attempts.history.runs += 1;
            attempts.estimate = destination.estimate;
            let sent = self.send_hedged(request, attempts, &destination).await;
            attempts.history.runs -= 1;
            let sent = match sent {
                HedgedSend::Sent(sent) => sent,
                HedgedSend::Overtaken(outcome) => {
                    attempts.record_end(&destination, AttemptEnd::Lost, Instant::now());
                    return Ok(outcome);
                }
            };
            if let Some(permit) = permit.as_ref().filter(|_| is_rejected(&sent)) {
                permit.on_rejected();
                let mut table = self.table.borrow_mut();
                table.on_brittle_rejection(&request.service.name, Instant::now());
            }
            if let Some(slot) = &mut slot {
                slot.end = slot_end(&sent, sent_at.elapsed());
            }
            drop(slot);
            if let Some(repeat_charge) = repeat_charge.filter(|_| sent.never_arrived()) {
                let mut table = self.table.borrow_mut();
                table.budget(&request.service.name).refund(&repeat_charge);
            }
            let end = match sent {
                SendOutcome::Complete(answer) => {
                    self.record_answer_start(request, incarnation);
                    attempts.version_at_start = self.version_at_start(request, &destination);
                    clear_suspect(&self.table, request, answer.status);
                    return Ok(Outcome::Final(relay(answer)));
                }
                SendOutcome::Open(mut answer) => {
                    self.record_answer_start(request, incarnation);
                    attempts.version_at_start = self.version_at_start(request, &destination);
                    answer.source.permit = permit;
                    return Ok(Outcome::Open(answer));
                }
                SendOutcome::Failed(answer) => {
                    let status = answer.status.as_u16();
                    attempts.failure = Some(answer);
                    AttemptEnd::Failed { status }
                }
                SendOutcome::Misdirected => {
                    self.on_misdirected(request, &destination);
                    AttemptEnd::NotRun { status: 421 }
                }
                SendOutcome::Withheld => {
                    tokio::time::sleep(WITHHELD_BACKOFF).await;
                    continue;
                }
                SendOutcome::Ended(AttemptEnd::Lost) => {
                    let started = verified || sent_at.elapsed() >= MIN_RUN_TIME;
                    let lost = LostAnswer::suspect(request, incarnation, started);
                    probe_after_loss(&self.table, names, request, lost);
                    AttemptEnd::Lost
                }
                SendOutcome::Ended(end) => end,
            };
            attempts.record_end(&destination, end, Instant::now());
            if let Some(response) = self
                .handle_failed_send(request, attempts, &destination, end)
                .await
            {
                return Ok(Outcome::Final(response));
            }
        }
    }

    /// Returns the destination of the next send, with a concurrency slot there if it needs one; waits until there
    /// is one. `Err` is the final answer to a request that is not sent, or not again.
    async fn next_destination(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        resumes: bool,
    ) -> Result<(Destination, Option<HeldSlot>), Response<AnswerBody>> {
        loop {
            // It may have become known while the request waited for its adapter.
            if let Some(key) = rejected_key(&self.table, request) {
                return Err(self.answers.reject_poison(request, key));
            }
            if !self.wait_until_fresh(request).await {
                return Err(self.answers.answer_unserved(
                    request,
                    attempts,
                    ErrorCause::StaleTables,
                    STALE_RETRY_AFTER,
                ));
            }
            if !resumes && let Some(cause) = self.key_error(request) {
                return Err(self.answers.answer_unserved(
                    request,
                    attempts,
                    cause,
                    STALE_RETRY_AFTER,
                ));
            }
            if !self.is_version_served(request, attempts) {
                return Err(self.answers.answer_unserved(
                    request,
                    attempts,
                    ErrorCause::VersionGone,
                    GONE_RETRY_AFTER,
                ));
            }
            let (choice, slot) = self.choose(request, attempts).await;
            match choice {
                Choice::Send(destination) => return Ok((destination, slot)),
                Choice::Wait {
                    until,
                    expected,
                    awaited,
                } => {
                    let step = TraceStep::Waiting { expected, awaited };
                    attempts.trace.add(step, Instant::now());
                    self.wait_for_adapter(request, until).await;
                }
                Choice::AwaitReports { until } => {
                    self.wait_for_engine_reports(until).await;
                }
                Choice::Reject {
                    retry_after,
                    reason,
                } if attempts.history.runs == 0 => {
                    return Err(self.answers.reject_unplaced(
                        request,
                        attempts,
                        reason,
                        retry_after,
                    ));
                }
                Choice::Reject { .. } | Choice::NoTarget => {
                    return Err(self.answers.no_target(request, attempts));
                }
            }
        }
    }

    /// Chooses the target of the next send, and acquires a concurrency slot there if it needs one.
    async fn choose(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
    ) -> (Choice, Option<HeldSlot>) {
        if request.generation.is_some() {
            return (self.chooser.choose(request, attempts, Instant::now()), None);
        }
        let outcome = acquire_slot(&self.table, request, attempts).await;
        let now = Instant::now();
        match outcome {
            SlotAcquisition::Acquired(slot) => {
                let choice = self.chooser.choose_slot(attempts, &slot.target, now);
                (choice, Some(slot))
            }
            SlotAcquisition::Full { retry_after } => {
                let reason = RejectReason::NoRoom;
                let choice = Choice::Reject {
                    retry_after,
                    reason,
                };
                (choice, None)
            }
            SlotAcquisition::Unavailable => (self.chooser.choose(request, attempts, now), None),
        }
    }

    /// Returns the current incarnation of a target.
    pub(super) fn incarnation_of(
        &self,
        target: &Arc<str>,
    ) -> TargetIncarnation {
        (target.clone(), self.table.borrow().incarnation(target))
    }
}

/// Writes the line of a request for which nothing was sent.
fn log_unsent(
    request: &CallRequest,
    cause: ErrorCause,
) {
    let status = cause.status().as_u16();
    let attempts = Attempts::default();
    let served = ServedRequest::new(request, &attempts, status, Some(cause));
    served.log_final(request, &attempts);
}

/// Returns true if the target turned the request away.
fn is_rejected(sent: &SendOutcome) -> bool {
    matches!(sent, SendOutcome::Ended(AttemptEnd::NotRun { .. }))
}

/// Returns what a send shows of the load of its target.
fn slot_end(
    sent: &SendOutcome,
    took: Duration,
) -> SlotOutcome {
    match sent {
        SendOutcome::Complete(_) => SlotOutcome::Answered { took },
        SendOutcome::Ended(AttemptEnd::NotRun { .. }) => SlotOutcome::Rejected,
        _ => SlotOutcome::Other,
    }
}
