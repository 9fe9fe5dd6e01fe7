use {
    super::{
        AnswerBody, OwnAnswer, OwnCause,
        admission::{
            Belief, Charged, HELD_COME_BACK, HeldPlace, PlaceFound, charge, find_place,
            take_permit, wait_until_confirmed,
        },
        chooser::{Choice, Chooser},
        crash_probe::{accuse, acquit, answers_now},
        exchange::{Destination, OpenAnswer, Sent, WholeAnswer, send},
        request_trace::{TraceStep, millis},
        stream_relay::StreamRelay,
        tries::Tries,
        waiter::Waiter,
    },
    crate::{
        clock::{Instant, sleep_until, timeout_at},
        connection::targets::{KeyStatus, TargetIncarnation, TargetTable},
        formats::Formats,
        metrics::{KindLabels, OutcomeLabels, WaitLabels, metrics},
        note,
        request::{
            direct::{AttemptEnd, CallRequest, CopyState, NextStep, next_step},
            places::PlaceEnd,
            poison::Standing,
            repeats::Paid,
        },
        timeline::Event,
        version::routing::RouteKind,
    },
    http::Response,
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// Callers that were refused come back after this time, if nothing better is known.
const COME_BACK: Duration = Duration::from_millis(400);

/// Pause before an engine is tried again whose load was not over.
const LOAD_PAUSE: Duration = Duration::from_millis(25);

/// A repeat waits so long for loans of other hosts' allowance, which come within a round trip; a caller would
/// come back after 0.4 s.
const LOAN_WAIT: Duration = Duration::from_millis(150);

/// Time between two looks whether a loan has come.
const LOAN_LOOK: Duration = Duration::from_millis(10);

/// A stream whose first event came so shortly before it broke off may have ended its target by its begin: a target falls within a
/// tenth of a second, and hundreds of tokens later others are as likely.
const JUST_BEGUN: Duration = Duration::from_secs(1);

/// A target that was gone before a request came breaks it off within a round trip, some 2 ms; one that ends under a request has
/// begun it first.
const LEAST_RUN: Duration = Duration::from_millis(3);

/// How the sends of a request ended.
enum Outcome {
    /// This is the final answer.
    Final(Response<AnswerBody>),
    /// The answer has begun.
    Open(Box<OpenAnswer>),
}

/// Sends each request to a target, again where that is allowed, and gives the final answer.
pub struct Dispatcher {
    board: Rc<RefCell<TargetTable>>,
    chooser: Chooser,
    formats: Arc<dyn Formats>,
}

impl Dispatcher {
    pub fn new(
        board: Rc<RefCell<TargetTable>>,
        formats: Arc<dyn Formats>,
        hall: &str,
    ) -> Self {
        Self {
            chooser: Chooser::new(board.clone(), hall),
            board,
            formats,
        }
    }

    /// Serves one request to its final answer, or to the first event of a stream.
    pub async fn serve(
        self: &Rc<Self>,
        request: CallRequest,
    ) -> Response<AnswerBody> {
        if self.is_refused(&request) {
            let cause = OwnCause::EndsTargets;
            let status = cause.status().as_u16();
            tell(&request, &Tries::default(), status, Some(cause));
            return self.refuse_poison(&request);
        }
        let charged = match charge(&self.board, &request).await {
            Ok(charged) => charged,
            Err(answer) => return self.refuse_uncharged(&request, answer),
        };
        self.note_demand(&request);
        let mut unserved = Unserved::new(&request, charged);
        let tried = self.try_targets(&request, &mut unserved.tries, None);
        let outcome = timeout_at(request.ends, tried).await;
        let (mut tries, charged) = unserved.disarm();
        let response = match outcome {
            Ok(Outcome::Final(response)) => response,
            Err(_) => self.time_over(&request, &mut tries),
            Ok(Outcome::Open(answer)) => {
                tell(&request, &tries, answer.status.as_u16(), None);
                settle(charged, true);
                return StreamRelay::start(self.clone(), *answer, request, tries);
            }
        };
        let cause = response.extensions().get::<OwnCause>().copied();
        settle(charged, cause.is_none_or(OwnCause::may_have_run));
        tell(&request, &tries, response.status().as_u16(), cause);
        response
    }

    /// Opens the rest of a stream that broke, behind the event `after`, at another target.
    pub async fn resume(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
        broken: &str,
        after: Option<u64>,
    ) -> Option<Box<OpenAnswer>> {
        let now = Instant::now();
        let destination = Destination::of(broken);
        tries.note_end(&destination, AttemptEnd::Lost, now);
        if let Some(link) = self.board.borrow_mut().links.get_mut(broken) {
            link.health.on_failure(now);
        }
        if self
            .after(request, tries, &destination, AttemptEnd::Lost)
            .await
            .is_some()
        {
            return None;
        }
        match self.try_targets(request, tries, after).await {
            Outcome::Open(answer) if answer.status.is_success() => Some(answer),
            _ => None,
        }
    }

    /// The answer to a request that is known to end targets. It is told so at once: it would only end another one, with all
    /// that runs there.
    fn refuse_poison(
        &self,
        request: &CallRequest,
    ) -> Response<AnswerBody> {
        note!(
            Event::RequestRefused,
            id = request.id_text(),
            fingerprint = request.fingerprint(),
            route = request.route.name,
        );
        self.answer(request, OwnAnswer::new(OwnCause::EndsTargets))
    }

    /// The answer to a request whose customer may not use what it costs, or whose use nobody counts.
    fn refuse_uncharged(
        &self,
        request: &CallRequest,
        answer: OwnAnswer,
    ) -> Response<AnswerBody> {
        let credential = request.credential.as_ref();
        let limit = credential.and_then(|credential| credential.customer.limit);
        note!(
            Event::RequestOverLimit,
            id = request.id_text(),
            cause = answer.cause.word(),
            route = request.route.name,
            customer = credential.map_or("-", |credential| &credential.customer.name),
            cost = limit.map_or(0.0, |limit| limit.cost(request.told_tokens)),
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

    /// What is thought of a request under which targets have ended; `None` for every other one.
    fn standing(
        &self,
        request: &CallRequest,
    ) -> Option<Standing> {
        let board = self.board.borrow();
        match board.crashes.is_empty() {
            true => None,
            false => board.crashes.status(&request.fingerprint()),
        }
    }

    /// True if the request is known to end targets.
    fn is_refused(
        &self,
        request: &CallRequest,
    ) -> bool {
        self.standing(request) == Some(Standing::Refused)
    }

    /// True if targets have ended under the request: it is not sent again by itself, its caller may do so.
    fn has_ended_targets(
        &self,
        request: &CallRequest,
    ) -> bool {
        self.standing(request).is_some()
    }

    /// True if targets have ended under the request, or one may have a moment ago: it goes to targets only that answer
    /// right now.
    fn is_suspected(
        &self,
        request: &CallRequest,
    ) -> bool {
        let board = self.board.borrow();
        !board.crashes.is_empty() && board.crashes.is_suspected(&request.fingerprint())
    }

    fn note_demand(
        &self,
        request: &CallRequest,
    ) {
        let mut board = self.board.borrow_mut();
        board
            .budget(&request.service.name)
            .on_request(request.arrived);
        let Some(generation) = &request.generation else {
            return;
        };
        board
            .prefill_throughput(&request.service.name)
            .on_prompt(generation.tokens_in);
        if let Some(adapter) = generation.adapter() {
            board.demand.on_request(adapter, request.arrived);
        }
    }

    async fn try_targets(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
        resume_after: Option<u64>,
    ) -> Outcome {
        loop {
            if !self.wait_until_confirmed(request).await {
                return self.unserved(request, tries, OwnCause::Unconfirmed, HELD_COME_BACK);
            }
            if resume_after.is_none()
                && let Some(cause) = self.lost_key(request)
            {
                return self.unserved(request, tries, cause, HELD_COME_BACK);
            }
            let (choice, mut place) = self.choose(request, tries).await;
            let mut destination = match choice {
                Choice::Send(destination) => destination,
                Choice::Wait { until, expected } => {
                    tries
                        .trace
                        .add(TraceStep::Waits { expected }, Instant::now());
                    self.wait(request, until).await;
                    continue;
                }
                Choice::Look { until } => {
                    self.wait_for_standings(until).await;
                    continue;
                }
                Choice::Refuse(come_back) if tries.history.runs == 0 => {
                    return self.refuse(request, unplaced_cause(request), come_back);
                }
                Choice::Refuse(_) | Choice::Nowhere => return self.nowhere(request, tries),
            };
            if !take_permit(&self.board, &destination.target).await {
                let target = destination.target.clone();
                let step = TraceStep::NoPermit { target };
                tries.trace.add(step, Instant::now());
                continue;
            }
            destination.resume_after = resume_after;
            let names = self.formats.headers();
            let streams = request.route.kind == RouteKind::Stream;
            // Paid right before it is sent: it may have waited for its adapter for seconds.
            let repeats = tries.history.arrivals > 0;
            let paid = match repeats {
                true => self.pay_for_repeat(request),
                false => None,
            };
            if repeats && paid.is_none() {
                return self.unserved(request, tries, OwnCause::TurnedAway, COME_BACK);
            }
            let verified = self.is_suspected(request);
            if verified && !answers_now(&self.board, names, request, &destination.target).await {
                tries.note_end(&destination, AttemptEnd::NotSent, Instant::now());
                tries.tried.push(destination.target.to_string());
                continue;
            }
            // It may have become known while this one waited for its adapter, for seconds.
            if self.is_refused(request) {
                return Outcome::Final(self.refuse_poison(request));
            }
            let run = self.run_at(&destination.target);
            let sent_at = Instant::now();
            // Until its end is known a send may have run.
            tries.history.runs += 1;
            let sent = send(&self.board, names, request, &destination, streams).await;
            tries.history.runs -= 1;
            if let Some(place) = &mut place {
                place.end = place_end(&sent, sent_at.elapsed());
            }
            drop(place);
            if let Some(paid) = paid.filter(|_| sent.never_arrived()) {
                let mut board = self.board.borrow_mut();
                board.budget(&request.service.name).give_back(&paid);
            }
            let end = match sent {
                Sent::Whole(answer) => {
                    acquit(&self.board, request);
                    return Outcome::Final(pass_on(answer));
                }
                Sent::Open(answer) => return Outcome::Open(answer),
                Sent::Failed(answer) => {
                    let status = answer.status.as_u16();
                    tries.failure = Some(answer);
                    acquit(&self.board, request);
                    AttemptEnd::Failed { status }
                }
                Sent::Misdirected => {
                    self.on_misdirected(request, &destination);
                    AttemptEnd::NotRun { status: 421 }
                }
                Sent::Unconfirmed => continue,
                Sent::Ended(AttemptEnd::Lost) => {
                    let begun = verified || sent_at.elapsed() >= LEAST_RUN;
                    accuse(&self.board, names, request, run, begun);
                    AttemptEnd::Lost
                }
                Sent::Ended(end) => end,
            };
            tries.note_end(&destination, end, Instant::now());
            if let Some(response) = self.after(request, tries, &destination, end).await {
                return Outcome::Final(response);
            }
        }
    }

    /// Where a request goes next, and its place there if it needs one.
    async fn choose(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
    ) -> (Choice, Option<HeldPlace>) {
        if request.generation.is_some() {
            return (self.chooser.choose(request, tries, Instant::now()), None);
        }
        let found = find_place(&self.board, request, &tries.tried).await;
        let now = Instant::now();
        match found {
            PlaceFound::Place(place) => {
                let choice = self.chooser.choose_place(tries, &place.target, now);
                (choice, Some(place))
            }
            PlaceFound::Full { come_back } => (Choice::Refuse(come_back), None),
            PlaceFound::Unknown => (self.chooser.choose(request, tries, now), None),
        }
    }

    /// The start of a target that a send now is for.
    fn run_at(
        &self,
        target: &Arc<str>,
    ) -> TargetIncarnation {
        (target.clone(), self.board.borrow().incarnation(target))
    }

    /// A stream was broken off; its request is accused if its answer had just begun.
    pub fn on_broken(
        &self,
        request: &CallRequest,
        run: TargetIncarnation,
        first_event: Instant,
    ) {
        let now = Instant::now();
        match now.saturating_duration_since(first_event) < JUST_BEGUN {
            true => accuse(&self.board, self.formats.headers(), request, run, true),
            false => self.board.borrow_mut().crashes.on_loss(&run.0, now),
        }
    }

    /// A stream came to its end.
    pub fn on_whole(
        &self,
        request: &CallRequest,
    ) {
        acquit(&self.board, request);
    }

    /// Waits until all that a send rests on is young enough; false if that took too long.
    async fn wait_until_confirmed(
        &self,
        request: &CallRequest,
    ) -> bool {
        let id = request.id_text();
        let has_adapter = request
            .generation
            .as_ref()
            .and_then(|g| g.adapter())
            .is_some();
        // What a request was routed by may have aged while it waited for its adapter.
        if request.credential.is_some()
            && !wait_until_confirmed(&self.board, Belief::Keys, id).await
        {
            return false;
        }
        if has_adapter && !wait_until_confirmed(&self.board, Belief::Versions, id).await {
            return false;
        }
        wait_until_confirmed(&self.board, Belief::Targets, id).await
    }

    /// Why a request must not be sent by the key that it was admitted by: it may have been taken away while the request
    /// waited for its adapter, for seconds.
    fn lost_key(
        &self,
        request: &CallRequest,
    ) -> Option<OwnCause> {
        let credential = request.credential.as_ref()?;
        let standing = self.board.borrow().key_status(credential, Instant::now());
        match standing {
            KeyStatus::Valid => None,
            KeyStatus::Revoked => Some(OwnCause::UnknownKey),
            KeyStatus::Reassigned | KeyStatus::Unconfirmed => Some(OwnCause::Unconfirmed),
        }
    }

    /// Decides what follows a send without an answer; gives the final answer if there is one.
    async fn after(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
        destination: &Destination,
        end: AttemptEnd,
    ) -> Option<Response<AnswerBody>> {
        let now = Instant::now();
        let service = &request.service.name;
        let mut step = next_step(&request.route, &tries.history, end, true);
        if end == AttemptEnd::Lost && self.has_ended_targets(request) {
            step = next_step(&request.route, &tries.history, end, false);
        }
        let repeats = step == NextStep::Resend { repeats: true };
        if repeats && !self.wait_for_allowance(request).await {
            self.board.borrow_mut().budget(service).on_refused(now);
            step = next_step(&request.route, &tries.history, end, false);
        }
        match step {
            NextStep::Resend { repeats } => {
                tries.trace.add(TraceStep::Resent { repeats }, now);
                let labels = WaitLabels { cause: end.word() };
                metrics().resends.get_or_create(&labels).inc();
                if self.is_coming(request, destination, end) {
                    tokio::time::sleep(LOAD_PAUSE).await;
                } else {
                    tries.tried.push(destination.target.to_string());
                }
                None
            }
            NextStep::Refuse => {
                let answer = OwnAnswer::after(OwnCause::TurnedAway, COME_BACK);
                Some(self.answer(request, answer))
            }
            NextStep::PassOn => tries.failure.take().map(pass_on),
            NextStep::Fail => Some(match tries.failure.take() {
                Some(failure) => pass_on(failure),
                None => self.answer(request, OwnAnswer::new(OwnCause::AnswerLost)),
            }),
        }
    }

    /// True if a repeat can be paid for, perhaps by a loan that other hosts are asked for first.
    async fn wait_for_allowance(
        &self,
        request: &CallRequest,
    ) -> bool {
        let service = &request.service.name;
        let begun = Instant::now();
        let until = request.ends.min(begun + LOAN_WAIT);
        loop {
            let now = Instant::now();
            {
                let mut board = self.board.borrow_mut();
                if board.budget(service).allows(now) {
                    return true;
                }
                if now == begun {
                    board.budget(service).on_wanted(now);
                }
                board.request_loans(service, now);
                if now >= until || !board.budget(service).awaits_loans(now) {
                    return false;
                }
            }
            tokio::time::sleep(LOAN_LOOK).await;
        }
    }

    fn pay_for_repeat(
        &self,
        request: &CallRequest,
    ) -> Option<Paid> {
        let now = Instant::now();
        let mut board = self.board.borrow_mut();
        let budget = board.budget(&request.service.name);
        let paid = budget.pay(now);
        if paid.is_none() {
            budget.on_refused(now);
        }
        paid
    }

    /// True if the engine turned the request away because its adapter was still being loaded.
    fn is_coming(
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
        let board = self.board.borrow();
        let copy = board.adapters.get(adapter, &destination.target);
        copy.is_some_and(|copy| matches!(copy.state, CopyState::Coming { .. }))
    }

    fn on_misdirected(
        &self,
        request: &CallRequest,
        destination: &Destination,
    ) {
        let Some(adapter) = request.generation.as_ref().and_then(|g| g.adapter()) else {
            return;
        };
        let mut board = self.board.borrow_mut();
        let copy = board.adapters.get(adapter, &destination.target);
        let coming = copy.is_some_and(|copy| matches!(copy.state, CopyState::Coming { .. }));
        if !coming {
            board.on_adapter_missing(adapter, &destination.target);
        }
    }

    /// Waits until a holder has told how its engine stands, or until a time.
    async fn wait_for_standings(
        &self,
        until: Instant,
    ) {
        let news = self.board.borrow().engine_status_updates();
        tokio::select! {
            _ = news.notified() => {}
            _ = sleep_until(until) => {}
        }
    }

    /// Waits for news of the adapter, or until a time.
    async fn wait(
        &self,
        request: &CallRequest,
        until: Instant,
    ) {
        let Some(adapter) = request.generation.as_ref().and_then(|g| g.adapter()) else {
            sleep_until(until).await;
            return;
        };
        let waiter = Waiter::start(&self.board, adapter, request.urgency);
        tokio::select! {
            _ = waiter.news() => {}
            _ = sleep_until(until) => {}
        }
    }

    fn nowhere(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
    ) -> Outcome {
        self.unserved(request, tries, unplaced_cause(request), COME_BACK)
    }

    /// The answer to a request that is sent nowhere, or not once more.
    fn unserved(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
        cause: OwnCause,
        come_back: Duration,
    ) -> Outcome {
        if let Some(failure) = tries.failure.take() {
            return Outcome::Final(pass_on(failure));
        }
        if tries.history.runs > 0 {
            let answer = OwnAnswer::new(OwnCause::AnswerLost);
            return Outcome::Final(self.answer(request, answer));
        }
        self.refuse(request, cause, come_back)
    }

    fn time_over(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
    ) -> Response<AnswerBody> {
        if let Some(failure) = tries.failure.take() {
            return pass_on(failure);
        }
        let cause = match tries.history.runs {
            0 => OwnCause::TimeOverUnsent,
            _ => OwnCause::TimeOver,
        };
        self.answer(request, OwnAnswer::new(cause))
    }

    fn refuse(
        &self,
        request: &CallRequest,
        cause: OwnCause,
        retry_after: Duration,
    ) -> Outcome {
        Outcome::Final(self.answer(request, OwnAnswer::after(cause, retry_after)))
    }

    fn answer(
        &self,
        request: &CallRequest,
        answer: OwnAnswer,
    ) -> Response<AnswerBody> {
        let names = self.formats.headers();
        answer.into_response(&names.request_id, request.id.as_ref())
    }
}

/// Tells that the caller has gone, if a request is dropped before its final answer.
struct Unserved {
    id: String,
    arrived: Instant,
    served: bool,
    tries: Tries,
    charged: Option<Charged>,
}

impl Unserved {
    fn new(
        request: &CallRequest,
        charged: Option<Charged>,
    ) -> Self {
        Self {
            id: request.id_text().to_string(),
            arrived: request.arrived,
            served: false,
            tries: Tries::default(),
            charged,
        }
    }

    fn disarm(mut self) -> (Tries, Option<Charged>) {
        self.served = true;
        (std::mem::take(&mut self.tries), self.charged.take())
    }
}

impl Drop for Unserved {
    fn drop(&mut self) {
        if !self.served {
            let history = &self.tries.history;
            let may_have_run = history.arrivals > 0 || history.runs > 0;
            settle(self.charged.take(), may_have_run);
            self.tries.trace.tell(&self.id, Instant::now());
            note!(
                Event::RequestCallerGone,
                id = self.id,
                after_ms = millis(self.arrived.elapsed())
            );
        }
    }
}

/// Why a request finds no target.
fn unplaced_cause(request: &CallRequest) -> OwnCause {
    match request.generation {
        Some(_) => OwnCause::NoAdapter,
        None => OwnCause::NoTarget,
    }
}

/// What a send tells of how busy its target is.
fn place_end(
    sent: &Sent,
    took: Duration,
) -> PlaceEnd {
    match sent {
        Sent::Whole(_) => PlaceEnd::Answered { took },
        Sent::Ended(AttemptEnd::NotRun { .. }) => PlaceEnd::TurnedAway,
        _ => PlaceEnd::Other,
    }
}

/// What was charged for a request stays so if it may have run, and goes back otherwise.
fn settle(
    charged: Option<Charged>,
    may_have_run: bool,
) {
    if let Some(mut charged) = charged.filter(|_| may_have_run) {
        charged.keep();
    }
}

/// Tells how a request went: in one line if it went smoothly, else with every step.
fn tell(
    request: &CallRequest,
    tries: &Tries,
    status: u16,
    cause: Option<OwnCause>,
) {
    let now = Instant::now();
    let id = request.id_text();
    let passed = now.saturating_duration_since(request.arrived);
    let late = passed > request.route.aim;
    if status >= 400 || late {
        tries.trace.tell(id, now);
    }
    count(request, tries, status, cause, passed);
    let adapter = request.generation.as_ref().and_then(|g| g.adapter());
    let sent = tries.trace.last_version();
    note!(
        Event::RequestServed,
        id = id,
        route = request.route.name,
        status = status,
        cause = cause.map_or("-", |cause| cause.word()),
        target = tries.trace.last_target(),
        adapter = adapter.unwrap_or("-"),
        version = sent.map_or(0, |sent| sent.version),
        newest = sent.map_or(0, |sent| sent.newest),
        waited_ms = millis(tries.trace.before_last_send(request.arrived)),
        expected_ms = sent.map_or(-1.0, |sent| millis(sent.wait)),
        first_ms = millis(passed),
        aim_ms = millis(request.route.aim),
        arrivals = tries.history.arrivals,
        late = late,
    );
}

fn count(
    request: &CallRequest,
    tries: &Tries,
    status: u16,
    cause: Option<OwnCause>,
    passed: Duration,
) {
    let kind = request.route.kind.word();
    let outcome = match (status, cause) {
        (0..400, _) if passed > request.route.aim => "late",
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
        histogram.observe(passed.as_secs_f64());
    }
    if let Some(waited) = tries.trace.waited(request.arrived) {
        let labels = WaitLabels { cause: "adapter" };
        let histogram = metrics.waits.get_or_create(&labels);
        histogram.observe(waited.as_secs_f64());
    }
}

fn pass_on(answer: WholeAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
