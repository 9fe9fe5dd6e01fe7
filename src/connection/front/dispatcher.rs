use {
    super::{
        AnswerBody, ErrorCause, LocalAnswer,
        adapter_waiter::AdapterWaiter,
        admission::{
            FreshnessCheck, HeldSlot, QuotaCharge, STALE_RETRY_AFTER, SlotAcquisition,
            acquire_permit, acquire_slot, charge, wait_until_fresh,
        },
        attempts::Attempts,
        chooser::{Choice, Chooser},
        crash_probe::{answers_health_check, clear_suspect, probe_after_loss},
        exchange::{CompleteAnswer, Destination, OpenAnswer, SendOutcome, send},
        request_trace::{TraceStep, millis},
        stream_relay::StreamRelay,
        unplaced::{reason_of, record_rejection, retry_delay},
    },
    crate::{
        clock::{Instant, sleep_until, timeout_at},
        connection::targets::{KeyStatus, TargetIncarnation, TargetTable},
        formats::Formats,
        metrics::{KindLabels, OutcomeLabels, WaitLabels, metrics},
        note,
        request::{
            direct::{
                AdapterCopyState, AttemptEnd, CallRequest, NextStep, RejectReason, next_step,
            },
            places::SlotOutcome,
            poison::PoisonStatus,
            repeats::RepeatCharge,
        },
        timeline::Event,
        version::routing::RouteKind,
    },
    http::Response,
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// Backoff before a request is sent again to an engine that is still loading its adapter.
const LOAD_BACKOFF: Duration = Duration::from_millis(25);

/// Timeout of a repeat that waits for repeat budget borrowed from other hosts.
const BORROW_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which a waiting repeat checks whether budget was borrowed.
const BORROW_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A stream that breaks off within this time of its first event is suspected of having crashed its target; later on,
/// any other request at the target is as likely the cause.
const STREAM_START_WINDOW: Duration = Duration::from_secs(1);

/// A connection that is lost sooner than this was closed before the target started the request.
const MIN_RUN_TIME: Duration = Duration::from_millis(3);

/// Result of all sends of a request.
enum Outcome {
    /// The final answer.
    Final(Response<AnswerBody>),
    /// The head and the first piece of an answer that is still being sent.
    Open(Box<OpenAnswer>),
}

/// Sends each request to a target, with resends where the route allows them, and returns the final answer.
pub struct Dispatcher {
    table: Rc<RefCell<TargetTable>>,
    chooser: Chooser,
    formats: Arc<dyn Formats>,
}

impl Dispatcher {
    pub fn new(
        table: Rc<RefCell<TargetTable>>,
        formats: Arc<dyn Formats>,
        hall: &str,
    ) -> Self {
        Self {
            chooser: Chooser::new(table.clone(), hall),
            table,
            formats,
        }
    }

    /// Serves a request up to its final answer, or to the first event of a stream.
    pub async fn serve(
        self: &Rc<Self>,
        request: CallRequest,
    ) -> Response<AnswerBody> {
        if self.is_poison(&request) {
            let cause = ErrorCause::CrashesTargets;
            let status = cause.status().as_u16();
            log_served(&request, &Attempts::default(), status, Some(cause));
            return self.reject_poison(&request);
        }
        let charged = match charge(&self.table, &request).await {
            Ok(charged) => charged,
            Err(answer) => return self.reject_uncharged(&request, answer),
        };
        self.record_demand(&request);
        let mut pending = PendingRequest::new(&request, charged);
        let tried = self.try_targets(&request, &mut pending.attempts, None);
        let outcome = timeout_at(request.deadline, tried).await;
        let (mut attempts, charged) = pending.disarm();
        let response = match outcome {
            Ok(Outcome::Final(response)) => response,
            Err(_) => self.answer_timeout(&request, &mut attempts),
            Ok(Outcome::Open(answer)) => {
                log_served(&request, &attempts, answer.status.as_u16(), None);
                settle_charge(charged, true);
                return StreamRelay::start(self.clone(), *answer, request, attempts);
            }
        };
        let cause = response.extensions().get::<ErrorCause>().copied();
        settle_charge(charged, cause.is_none_or(ErrorCause::may_have_run));
        log_served(&request, &attempts, response.status().as_u16(), cause);
        response
    }

    /// Opens the rest of a broken stream at another target, after the event `after`.
    pub async fn resume(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        broken: &str,
        after: Option<u64>,
    ) -> Option<Box<OpenAnswer>> {
        let now = Instant::now();
        let destination = Destination::of(broken);
        attempts.record_end(&destination, AttemptEnd::Lost, now);
        if let Some(link) = self.table.borrow_mut().links.get_mut(broken) {
            link.health.on_failure(now);
        }
        if self
            .handle_failed_send(request, attempts, &destination, AttemptEnd::Lost)
            .await
            .is_some()
        {
            return None;
        }
        match self.try_targets(request, attempts, after).await {
            Outcome::Open(answer) if answer.status.is_success() => Some(answer),
            _ => None,
        }
    }

    /// Rejects a request that is known to crash targets, with an error that callers do not retry.
    fn reject_poison(
        &self,
        request: &CallRequest,
    ) -> Response<AnswerBody> {
        note!(
            Event::RequestRefused,
            id = request.id_text(),
            fingerprint = request.fingerprint(),
            route = request.route.name,
        );
        self.answer(request, LocalAnswer::new(ErrorCause::CrashesTargets))
    }

    /// Rejects a request that could not be charged to its customer's quota.
    fn reject_uncharged(
        &self,
        request: &CallRequest,
        answer: LocalAnswer,
    ) -> Response<AnswerBody> {
        let credential = request.credential.as_ref();
        let limit = credential.and_then(|credential| credential.customer.limit);
        note!(
            Event::RequestOverLimit,
            id = request.id_text(),
            cause = answer.cause.word(),
            route = request.route.name,
            customer = credential.map_or("-", |credential| &credential.customer.name),
            cost = limit.map_or(0.0, |limit| limit.cost(request.declared_tokens)),
            rate = limit.map_or(0.0, |limit| limit.rate),
            come_back_ms = answer.retry_after.map_or(-1.0, millis),
            waited_ms = millis(request.arrived.elapsed()),
        );
        let kind = request.route.kind.word();
        let outcome = answer.cause.word();
        let labels = OutcomeLabels { kind, outcome };
        metrics().requests.get_or_create(&labels).inc();
        self.answer(request, answer)
    }

    /// Returns the verdict on a request that targets have crashed under, or `None` if there were no such crashes.
    fn verdict(
        &self,
        request: &CallRequest,
    ) -> Option<PoisonStatus> {
        let table = self.table.borrow();
        match table.crashes.is_empty() {
            true => None,
            false => table.crashes.status(&request.fingerprint()),
        }
    }

    /// Returns true if the request is known to crash targets.
    fn is_poison(
        &self,
        request: &CallRequest,
    ) -> bool {
        self.verdict(request) == Some(PoisonStatus::Rejected)
    }

    /// Returns true if targets have crashed under the request: only its caller may send it again.
    fn has_crashed_targets(
        &self,
        request: &CallRequest,
    ) -> bool {
        self.verdict(request).is_some()
    }

    /// Returns true if targets have crashed under the request, or one may just have: it is sent only to targets that
    /// answer a health check first.
    fn is_suspected(
        &self,
        request: &CallRequest,
    ) -> bool {
        let table = self.table.borrow();
        !table.crashes.is_empty() && table.crashes.is_suspected(&request.fingerprint())
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

    async fn try_targets(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
    ) -> Outcome {
        loop {
            if !self.wait_until_fresh(request).await {
                return self.answer_unserved(
                    request,
                    attempts,
                    ErrorCause::StaleTables,
                    STALE_RETRY_AFTER,
                );
            }
            if resume_after.is_none()
                && let Some(cause) = self.key_error(request)
            {
                return self.answer_unserved(request, attempts, cause, STALE_RETRY_AFTER);
            }
            let (choice, mut slot) = self.choose(request, attempts).await;
            let mut destination = match choice {
                Choice::Send(destination) => destination,
                Choice::Wait {
                    until,
                    expected,
                    awaited,
                } => {
                    let step = TraceStep::Waiting { expected, awaited };
                    attempts.trace.add(step, Instant::now());
                    self.wait_for_adapter(request, until).await;
                    continue;
                }
                Choice::AwaitReports { until } => {
                    self.wait_for_engine_reports(until).await;
                    continue;
                }
                Choice::Reject {
                    retry_after,
                    reason,
                } if attempts.history.runs == 0 => {
                    self.record_rejection(request, attempts, reason, Some(retry_after));
                    let answer = LocalAnswer::after(unplaced_cause(request), retry_after);
                    return Outcome::Final(self.answer(request, answer));
                }
                Choice::Reject { .. } | Choice::NoTarget => {
                    return self.no_target(request, attempts);
                }
            };
            if !acquire_permit(&self.table, &destination.target).await {
                let target = destination.target.clone();
                let step = TraceStep::NoPermit { target };
                attempts.trace.add(step, Instant::now());
                continue;
            }
            destination.resume_after = resume_after;
            let names = self.formats.headers();
            let streams = request.route.kind == RouteKind::Stream;
            // Charged right before the send: the request may have waited seconds for its adapter.
            let repeats = attempts.history.arrivals > 0;
            let repeat_charge = match repeats {
                true => self.charge_repeat(request),
                false => None,
            };
            if repeats && repeat_charge.is_none() {
                let retry_after = self.retry_delay(request);
                return self.answer_unserved(
                    request,
                    attempts,
                    ErrorCause::RejectedByTargets,
                    retry_after,
                );
            }
            let verified = self.is_suspected(request);
            if verified
                && !answers_health_check(&self.table, names, request, &destination.target).await
            {
                attempts.record_end(&destination, AttemptEnd::NotSent, Instant::now());
                attempts.tried.push(destination.target.to_string());
                continue;
            }
            // The request may have become known as poison while it waited seconds for its adapter.
            if self.is_poison(request) {
                return Outcome::Final(self.reject_poison(request));
            }
            let incarnation = self.incarnation_of(&destination.target);
            let sent_at = Instant::now();
            // A send counts as run until its end is known.
            attempts.history.runs += 1;
            let sent = send(&self.table, names, request, &destination, streams).await;
            attempts.history.runs -= 1;
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
                    clear_suspect(&self.table, request);
                    return Outcome::Final(relay(answer));
                }
                SendOutcome::Open(answer) => return Outcome::Open(answer),
                SendOutcome::Failed(answer) => {
                    let status = answer.status.as_u16();
                    attempts.failure = Some(answer);
                    clear_suspect(&self.table, request);
                    AttemptEnd::Failed { status }
                }
                SendOutcome::Misdirected => {
                    self.on_misdirected(request, &destination);
                    AttemptEnd::NotRun { status: 421 }
                }
                SendOutcome::Withheld => continue,
                SendOutcome::Ended(AttemptEnd::Lost) => {
                    let started = verified || sent_at.elapsed() >= MIN_RUN_TIME;
                    probe_after_loss(&self.table, names, request, incarnation, started);
                    AttemptEnd::Lost
                }
                SendOutcome::Ended(end) => end,
            };
            attempts.record_end(&destination, end, Instant::now());
            if let Some(response) = self
                .handle_failed_send(request, attempts, &destination, end)
                .await
            {
                return Outcome::Final(response);
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
        let outcome = acquire_slot(&self.table, request, &attempts.tried).await;
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
    fn incarnation_of(
        &self,
        target: &Arc<str>,
    ) -> TargetIncarnation {
        (target.clone(), self.table.borrow().incarnation(target))
    }

    /// Handles a broken stream; its request becomes a suspect if the stream had just begun.
    pub fn on_broken(
        &self,
        request: &CallRequest,
        incarnation: TargetIncarnation,
        first_event: Instant,
    ) {
        let now = Instant::now();
        match now.saturating_duration_since(first_event) < STREAM_START_WINDOW {
            true => probe_after_loss(
                &self.table,
                self.formats.headers(),
                request,
                incarnation,
                true,
            ),
            false => self.table.borrow_mut().crashes.on_loss(&incarnation.0, now),
        }
    }

    /// Handles the end of a complete stream.
    pub fn on_complete(
        &self,
        request: &CallRequest,
    ) {
        clear_suspect(&self.table, request);
    }

    /// Waits until all tables that a send depends on are fresh; returns false on timeout.
    async fn wait_until_fresh(
        &self,
        request: &CallRequest,
    ) -> bool {
        let id = request.id_text();
        let has_adapter = request
            .generation
            .as_ref()
            .and_then(|g| g.adapter())
            .is_some();
        // The tables that the request was routed by may have become stale while it waited for its adapter.
        if request.credential.is_some()
            && !wait_until_fresh(&self.table, FreshnessCheck::Keys, id).await
        {
            return false;
        }
        if has_adapter && !wait_until_fresh(&self.table, FreshnessCheck::Versions, id).await {
            return false;
        }
        wait_until_fresh(&self.table, FreshnessCheck::Targets, id).await
    }

    /// Returns why a request must not be sent with its key any more: the key may have been revoked while the request
    /// waited seconds for its adapter.
    fn key_error(
        &self,
        request: &CallRequest,
    ) -> Option<ErrorCause> {
        let credential = request.credential.as_ref()?;
        let key_status = self.table.borrow().key_status(credential, Instant::now());
        match key_status {
            KeyStatus::Valid => None,
            KeyStatus::Revoked => Some(ErrorCause::UnknownKey),
            KeyStatus::Reassigned | KeyStatus::Unconfirmed => Some(ErrorCause::StaleTables),
        }
    }

    /// Decides what follows a failed send; returns the final answer, or `None` if the request is to be sent again.
    async fn handle_failed_send(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        destination: &Destination,
        end: AttemptEnd,
    ) -> Option<Response<AnswerBody>> {
        let now = Instant::now();
        let service = &request.service.name;
        let mut step = next_step(&request.route, &attempts.history, end, true);
        if end == AttemptEnd::Lost && self.has_crashed_targets(request) {
            step = next_step(&request.route, &attempts.history, end, false);
        }
        let repeats = step == NextStep::Resend { repeats: true };
        if repeats && !self.wait_for_budget(request).await {
            self.table.borrow_mut().budget(service).on_rejected(now);
            step = next_step(&request.route, &attempts.history, end, false);
        }
        match step {
            NextStep::Resend { repeats } => {
                attempts.trace.add(TraceStep::Resent { repeats }, now);
                let labels = WaitLabels { cause: end.word() };
                metrics().resends.get_or_create(&labels).inc();
                if self.is_loading(request, destination, end) {
                    tokio::time::sleep(LOAD_BACKOFF).await;
                } else {
                    attempts.tried.push(destination.target.to_string());
                }
                None
            }
            NextStep::Reject => {
                let cause = ErrorCause::RejectedByTargets;
                Some(self.reject(request, attempts, cause, self.retry_delay(request)))
            }
            NextStep::ForwardFailure => attempts.failure.take().map(relay),
            NextStep::OutcomeUnknown => Some(match attempts.failure.take() {
                Some(failure) => relay(failure),
                None => self.answer(request, LocalAnswer::new(ErrorCause::AnswerLost)),
            }),
        }
    }

    /// Returns true if the budget allows a repeat, after waiting for budget borrowed from other hosts if needed.
    async fn wait_for_budget(
        &self,
        request: &CallRequest,
    ) -> bool {
        let service = &request.service.name;
        let started = Instant::now();
        let until = request.deadline.min(started + BORROW_TIMEOUT);
        loop {
            let now = Instant::now();
            {
                let mut table = self.table.borrow_mut();
                if table.budget(service).can_repeat(now) {
                    return true;
                }
                if now == started {
                    table.budget(service).on_waiting(now);
                }
                table.request_loans(service, now);
                if now >= until || !table.budget(service).is_borrowing(now) {
                    return false;
                }
            }
            tokio::time::sleep(BORROW_POLL_INTERVAL).await;
        }
    }

    fn charge_repeat(
        &self,
        request: &CallRequest,
    ) -> Option<RepeatCharge> {
        let now = Instant::now();
        let mut table = self.table.borrow_mut();
        let budget = table.budget(&request.service.name);
        let repeat_charge = budget.charge(now);
        if repeat_charge.is_none() {
            budget.on_rejected(now);
        }
        repeat_charge
    }

    /// Returns true if the engine rejected the request because it was still loading the adapter.
    fn is_loading(
        &self,
        request: &CallRequest,
        destination: &Destination,
        end: AttemptEnd,
    ) -> bool {
        let adapter = request.generation.as_ref().and_then(|g| g.adapter());
        let Some(adapter) = adapter else {
            return false;
        };
        if !matches!(end, AttemptEnd::NotRun { .. }) {
            return false;
        }
        let table = self.table.borrow();
        let copy = table.adapters.get(adapter, &destination.target);
        copy.is_some_and(|copy| matches!(copy.state, AdapterCopyState::Loading { .. }))
    }

    fn on_misdirected(
        &self,
        request: &CallRequest,
        destination: &Destination,
    ) {
        let Some(adapter) = request.generation.as_ref().and_then(|g| g.adapter()) else {
            return;
        };
        let mut table = self.table.borrow_mut();
        let copy = table.adapters.get(adapter, &destination.target);
        let loading =
            copy.is_some_and(|copy| matches!(copy.state, AdapterCopyState::Loading { .. }));
        if !loading {
            table.on_adapter_missing(adapter, &destination.target);
        }
    }

    /// Waits until a holder has reported the status of its engine, or until a time.
    async fn wait_for_engine_reports(
        &self,
        until: Instant,
    ) {
        let update = self.table.borrow().engine_status_updates();
        tokio::select! {
            _ = update.notified() => {}
            _ = sleep_until(until) => {}
        }
    }

    /// Waits for an update on the request's adapter, or until a time.
    async fn wait_for_adapter(
        &self,
        request: &CallRequest,
        until: Instant,
    ) {
        let Some(adapter) = request.generation.as_ref().and_then(|g| g.adapter()) else {
            sleep_until(until).await;
            return;
        };
        let waiter =
            AdapterWaiter::start(&self.table, &request.service.name, adapter, request.urgency);
        tokio::select! {
            _ = waiter.updated() => {}
            _ = sleep_until(until) => {}
        }
    }

    fn no_target(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
    ) -> Outcome {
        let retry_after = self.retry_delay(request);
        self.answer_unserved(request, attempts, unplaced_cause(request), retry_after)
    }

    /// Returns the final answer to a request that is not sent, or not again.
    fn answer_unserved(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        cause: ErrorCause,
        retry_after: Duration,
    ) -> Outcome {
        if let Some(failure) = attempts.failure.take() {
            return Outcome::Final(relay(failure));
        }
        if attempts.history.runs > 0 {
            let answer = LocalAnswer::new(ErrorCause::AnswerLost);
            return Outcome::Final(self.answer(request, answer));
        }
        Outcome::Final(self.reject(request, attempts, cause, retry_after))
    }

    fn answer_timeout(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
    ) -> Response<AnswerBody> {
        if let Some(failure) = attempts.failure.take() {
            return relay(failure);
        }
        let cause = match attempts.history.runs {
            0 => ErrorCause::DeadlineExceededUnsent,
            _ => ErrorCause::DeadlineExceeded,
        };
        if let Some(reason) = reason_of(cause) {
            self.record_rejection(request, attempts, reason, None);
        }
        self.answer(request, LocalAnswer::new(cause))
    }

    /// Rejects a request that has not run.
    fn reject(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        cause: ErrorCause,
        retry_after: Duration,
    ) -> Response<AnswerBody> {
        if let Some(reason) = reason_of(cause) {
            self.record_rejection(request, attempts, reason, Some(retry_after));
        }
        self.answer(request, LocalAnswer::after(cause, retry_after))
    }

    fn record_rejection(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        reason: RejectReason,
        retry_after: Option<Duration>,
    ) {
        let mut table = self.table.borrow_mut();
        record_rejection(&mut table, request, attempts, reason, retry_after);
    }

    fn retry_delay(
        &self,
        request: &CallRequest,
    ) -> Duration {
        retry_delay(&mut self.table.borrow_mut(), request, Instant::now())
    }

    fn answer(
        &self,
        request: &CallRequest,
        answer: LocalAnswer,
    ) -> Response<AnswerBody> {
        let names = self.formats.headers();
        answer.into_response(&names.request_id, request.id.as_ref())
    }
}

/// Logs that the caller has gone, if dropped before the final answer.
struct PendingRequest {
    id: String,
    arrived: Instant,
    served: bool,
    attempts: Attempts,
    charged: Option<QuotaCharge>,
}

impl PendingRequest {
    fn new(
        request: &CallRequest,
        charged: Option<QuotaCharge>,
    ) -> Self {
        Self {
            id: request.id_text().to_string(),
            arrived: request.arrived,
            served: false,
            attempts: Attempts::default(),
            charged,
        }
    }

    fn disarm(mut self) -> (Attempts, Option<QuotaCharge>) {
        self.served = true;
        (std::mem::take(&mut self.attempts), self.charged.take())
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if !self.served {
            let history = &self.attempts.history;
            let may_have_run = history.arrivals > 0 || history.runs > 0;
            settle_charge(self.charged.take(), may_have_run);
            self.attempts.trace.log(&self.id, Instant::now());
            note!(
                Event::RequestCallerGone,
                id = self.id,
                after_ms = millis(self.arrived.elapsed())
            );
        }
    }
}

fn unplaced_cause(request: &CallRequest) -> ErrorCause {
    match request.generation {
        Some(_) => ErrorCause::NoAdapter,
        None => ErrorCause::NoTarget,
    }
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

/// Makes the charge for a request final if the request may have run, and refunds it otherwise.
fn settle_charge(
    charged: Option<QuotaCharge>,
    may_have_run: bool,
) {
    if let Some(mut charged) = charged.filter(|_| may_have_run) {
        charged.commit();
    }
}

/// Logs a served request: one line, preceded by its trace if it failed or was late.
fn log_served(
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

fn relay(answer: CompleteAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::complete(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
