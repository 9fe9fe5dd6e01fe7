use {
    super::{
        AnswerBody, OwnAnswer, OwnCause,
        exchange::{Destination, Sent, WholeAnswer, send},
        request_trace::{RequestTrace, TraceStep, millis},
        stream_relay::relay,
    },
    crate::{
        connection::targets::TargetBoard,
        formats::{Formats, HeaderNames},
        note,
        request::direct::{
            AttemptEnd, CallRequest, ChoiceTerms, CopyState, EngineCandidate, EngineChoice,
            NextStep, Patience, PlainCandidate, RequestHistory, RequestTime, choose_engine,
            choose_plain, next_step, wait_or_refuse,
        },
        timeline::Event,
        version::routing::RouteKind,
    },
    http::Response,
    rand::RngExt,
    std::{
        cell::RefCell,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep_until, timeout_at},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Callers that were refused come back after this time, if nothing better is known.
const COME_BACK: Duration = Duration::from_millis(400);

/// Old versions of an adapter are still used for so long after a newer one was named.
const OLD_VERSION_GRACE: Duration = Duration::from_millis(900);

/// Wait for the answer of a holder that was just asked.
const ASK_WAIT: Duration = Duration::from_millis(60);

/// Price of a copy of an adapter that is asked for once in a few seconds over all hosts.
const COPY_PRICE: Duration = Duration::from_millis(300);

/// A request waits for an engine at least this long before it looks again.
const LEAST_WAIT: Duration = Duration::from_millis(2);

/// Pause before an engine is tried again whose load was not over.
const LOAD_PAUSE: Duration = Duration::from_millis(25);

/// Sends each request to a target, again where that is allowed, and gives the final answer.
pub struct Dispatcher {
    board: Rc<RefCell<TargetBoard>>,
    formats: Arc<dyn Formats>,
    /// The hall of this host.
    hall: String,
}

/// What is decided for the next send.
enum Choice {
    Send(Destination),
    Wait {
        until: Instant,
        expected: Option<Duration>,
    },
    /// Tell the caller to come back after this time.
    Refuse(Duration),
    Nowhere,
}

/// What was tried for one request.
#[derive(Default)]
struct Tries {
    history: RequestHistory,
    /// Targets that turned it away or were not reached.
    tried: Vec<String>,
    /// The last failure that a target gave as an answer.
    failure: Option<WholeAnswer>,
    trace: RequestTrace,
}

impl Dispatcher {
    pub fn new(
        board: Rc<RefCell<TargetBoard>>,
        formats: Arc<dyn Formats>,
        hall: &str,
    ) -> Self {
        Self {
            board,
            formats,
            hall: hall.to_string(),
        }
    }

    /// Serves one request to its final answer.
    pub async fn serve(
        &self,
        request: CallRequest,
    ) -> Response<AnswerBody> {
        self.note_demand(&request);
        let mut tries = Tries::default();
        let unserved = Unserved::new(&request);
        let served = self.try_targets(&request, &mut tries);
        let response = match timeout_at(request.ends.into(), served).await {
            Ok(response) => response,
            Err(_) => self.time_over(&request, &mut tries),
        };
        unserved.is_served();
        tell(&request, &tries, &response, Instant::now());
        response
    }

    fn note_demand(
        &self,
        request: &CallRequest,
    ) {
        let mut board = self.board.borrow_mut();
        board
            .budget(&request.service.name)
            .on_request(request.arrived);
        if let Some(adapter) = request.generation.as_ref().and_then(|g| g.adapter()) {
            board.demand.on_request(adapter, request.arrived);
        }
    }

    async fn try_targets(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
    ) -> Response<AnswerBody> {
        loop {
            let destination = match self.choose(request, tries) {
                Choice::Send(destination) => destination,
                Choice::Wait { until, expected } => {
                    tries
                        .trace
                        .add(TraceStep::Waits { expected }, Instant::now());
                    self.wait(request, until).await;
                    continue;
                }
                Choice::Refuse(come_back) if tries.history.runs == 0 => {
                    return self.refuse(request, OwnCause::NoAdapter, come_back);
                }
                Choice::Refuse(_) | Choice::Nowhere => return self.nowhere(request, tries),
            };
            let names = self.formats.headers();
            let streams = request.route.kind == RouteKind::Stream;
            // Until its end is known a send may have run.
            tries.history.runs += 1;
            let sent = send(&self.board, names, request, &destination, streams).await;
            tries.history.runs -= 1;
            let end = match sent {
                Sent::Whole(answer) => return pass_on(answer),
                Sent::Open(answer) => return relay(*answer, request),
                Sent::Failed(answer) => {
                    let status = answer.status.as_u16();
                    tries.failure = Some(answer);
                    AttemptEnd::Failed { status }
                }
                Sent::Misdirected => {
                    self.on_misdirected(request, &destination);
                    AttemptEnd::NotRun {
                        status: 421,
                        retry_after: None,
                    }
                }
                Sent::Ended(end) => end,
            };
            tries.history.note(end);
            tries.trace.add(step_of(&destination, end), Instant::now());
            if let Some(response) = self.after(request, tries, &destination, end).await {
                return response;
            }
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
        let budget_left = {
            let mut board = self.board.borrow_mut();
            let hosts = board.view.hosts;
            board.budget(service).allows(hosts, now)
        };
        match next_step(&request.route, &tries.history, end, budget_left) {
            NextStep::Resend { repeats } => {
                if repeats {
                    self.board.borrow_mut().budget(service).on_repeat(now);
                }
                tries.trace.add(TraceStep::Resent { repeats }, now);
                if self.is_coming(request, destination, end) {
                    tokio::time::sleep(LOAD_PAUSE).await;
                } else {
                    tries.tried.push(destination.target.clone());
                }
                None
            }
            NextStep::Refuse => Some(self.refuse(request, OwnCause::TurnedAway, COME_BACK)),
            NextStep::PassOn => tries.failure.take().map(pass_on),
            NextStep::Fail => Some(match tries.failure.take() {
                Some(failure) => pass_on(failure),
                None => self.answer(request, OwnAnswer::new(OwnCause::AnswerLost)),
            }),
        }
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
            board.on_missing(adapter, &destination.target);
        }
    }

    fn choose(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
    ) -> Choice {
        let now = Instant::now();
        match &request.generation {
            Some(generation) => match generation.adapter() {
                Some(adapter) => self.choose_for_adapter(request, tries, adapter, now),
                None => self.choose_base(request, tries, now),
            },
            None => self.choose_plain(request, tries, now),
        }
    }

    fn choose_plain(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
        now: Instant,
    ) -> Choice {
        let board = self.board.borrow();
        let targets = board.targets_of(&request.service.name);
        let candidates: Vec<PlainCandidate> = targets
            .iter()
            .map(|target| {
                let link = &board.links[target];
                PlainCandidate {
                    in_flight: link.in_flight,
                    slots: link.view.record.slots,
                    near: link.view.record.hall == self.hall,
                    avoided_for: link.health.avoided_for(now),
                    tried: tries.tried.contains(target),
                }
            })
            .collect();
        let draw = rand::rng().random::<f64>();
        match choose_plain(&candidates, draw) {
            Some(at) => {
                let target = &targets[at];
                let step = chosen_step(&board, target, targets.len(), targets.len(), now);
                tries.trace.add(step, now);
                Choice::Send(Destination {
                    target: target.clone(),
                    version: None,
                })
            }
            None => Choice::Nowhere,
        }
    }

    /// A request for the base model alone runs at any engine that holds it.
    fn choose_base(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
        now: Instant,
    ) -> Choice {
        let mut board = self.board.borrow_mut();
        let targets = board.targets_of(&request.service.name).to_vec();
        let candidates: Vec<EngineCandidate> = targets
            .iter()
            .map(|target| self.candidate(&mut board, request, target, CopyState::Ready, tries, now))
            .collect();
        let terms = ChoiceTerms {
            copy_price: Duration::ZERO,
            aim_left: request.aim().saturating_duration_since(now),
            now,
        };
        match choose_engine(&candidates, &terms) {
            EngineChoice::Send { to, .. } => {
                let target = &targets[to];
                let step = chosen_step(&board, target, targets.len(), targets.len(), now);
                tries.trace.add(step, now);
                Choice::Send(Destination {
                    target: target.clone(),
                    version: None,
                })
            }
            _ => Choice::Nowhere,
        }
    }

    fn choose_for_adapter(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
        adapter: &str,
        now: Instant,
    ) -> Choice {
        let mut board = self.board.borrow_mut();
        let newest = board.view.newest.get(adapter).copied();
        let least = newest.map_or(1, |newest| newest.version);
        let grace = newest
            .is_some_and(|newest| now.saturating_duration_since(newest.since) < OLD_VERSION_GRACE);
        let targets = settle_order(&board, &request.service.name, adapter);
        let mut candidates = Vec::with_capacity(targets.len());
        for target in &targets {
            let copy = match board.adapters.get(adapter, target) {
                Some(copy) if copy.version < least && is_there(copy.state) && !grace => {
                    CopyState::Unknown
                }
                Some(copy) => copy.state,
                None => CopyState::Unknown,
            };
            candidates.push(self.candidate(&mut board, request, target, copy, tries, now));
        }
        let terms = ChoiceTerms {
            copy_price: copy_price(&board, adapter, now),
            aim_left: request.aim().saturating_duration_since(now),
            now,
        };
        match choose_engine(&candidates, &terms) {
            EngineChoice::Send { to, ask } => {
                if let Some(ask) = ask
                    && board.ask(adapter, &targets[ask], least, true, now)
                {
                    tries.trace.add(asks_step(&targets[ask], true), now);
                }
                let target = targets[to].clone();
                let ready = candidates
                    .iter()
                    .filter(|candidate| candidate.copy == CopyState::Ready)
                    .count();
                let step = chosen_step(&board, &target, targets.len(), ready, now);
                tries.trace.add(step, now);
                let version = board
                    .adapters
                    .get(adapter, &target)
                    .map(|copy| copy.version);
                Choice::Send(Destination { target, version })
            }
            EngineChoice::Ask(at) => {
                if board.ask(adapter, &targets[at], least, false, now) {
                    tries.trace.add(asks_step(&targets[at], false), now);
                }
                Choice::Wait {
                    until: now + ASK_WAIT,
                    expected: None,
                }
            }
            EngineChoice::Wait { until, expected } => {
                // Whoever is late is asked again; asks that come too often are held back there.
                for target in &targets {
                    let copy = board.adapters.get(adapter, target);
                    if copy.is_some_and(|copy| is_late(copy.state, now)) {
                        board.ask(adapter, target, least, false, now);
                    }
                }
                match expected.map(|expected| wait_or_refuse(&time_of(request, now), expected)) {
                    Some(Patience::Refuse { come_back }) => Choice::Refuse(come_back),
                    _ => Choice::Wait {
                        until: until.max(now + LEAST_WAIT),
                        expected,
                    },
                }
            }
            EngineChoice::Nowhere => Choice::Nowhere,
        }
    }

    fn candidate(
        &self,
        board: &mut TargetBoard,
        request: &CallRequest,
        target: &str,
        copy: CopyState,
        tries: &Tries,
        now: Instant,
    ) -> EngineCandidate {
        let speed = *board.speed(&request.service.name);
        let link = &board.links[target];
        let generation = request.generation.as_ref();
        let prompt = generation.map_or(0, |generation| u64::from(generation.tokens_in));
        let answer = generation.map_or(0, |generation| u64::from(generation.tokens_out));
        let engine = request.service.engine.as_ref();
        let memory = engine.map_or(u64::MAX, |engine| engine.memory_tokens.max(1));
        let tokens = link.running_tokens() + prompt + answer;
        EngineCandidate {
            copy,
            wait: speed.time_for(link.backlog_tokens() + prompt),
            memory: tokens as f64 / memory as f64,
            batch: f64::from(link.running() + 1) / f64::from(link.view.record.slots.max(1)),
            near: link.view.record.hall == self.hall,
            avoided: !link.health.avoided_for(now).is_zero(),
            has_holder: link.view.holder.is_some(),
            tried: tries.tried.iter().any(|tried| tried == target),
        }
    }

    /// Waits for news of the adapter, or until a time.
    async fn wait(
        &self,
        request: &CallRequest,
        until: Instant,
    ) {
        let Some(adapter) = request.generation.as_ref().and_then(|g| g.adapter()) else {
            sleep_until(until.into()).await;
            return;
        };
        let waiter = Waiter::start(&self.board, adapter, request.route.priority);
        tokio::select! {
            _ = waiter.news.notified() => {}
            _ = sleep_until(until.into()) => {}
        }
    }

    fn nowhere(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
    ) -> Response<AnswerBody> {
        if let Some(failure) = tries.failure.take() {
            return pass_on(failure);
        }
        if tries.history.runs > 0 {
            return self.answer(request, OwnAnswer::new(OwnCause::AnswerLost));
        }
        let cause = match request.generation {
            Some(_) => OwnCause::NoAdapter,
            None => OwnCause::NoTarget,
        };
        self.refuse(request, cause, COME_BACK)
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
    ) -> Response<AnswerBody> {
        self.answer(request, OwnAnswer::after(cause, retry_after))
    }

    fn answer(
        &self,
        request: &CallRequest,
        answer: OwnAnswer,
    ) -> Response<AnswerBody> {
        let names: &HeaderNames = self.formats.headers();
        answer.into_response(&names.request_id, request.id.as_ref())
    }
}

/// Tells that the caller has gone, if a request is dropped before its final answer.
struct Unserved {
    id: String,
    arrived: Instant,
    served: bool,
}

impl Unserved {
    fn new(request: &CallRequest) -> Self {
        Self {
            id: request.id_text().to_string(),
            arrived: request.arrived,
            served: false,
        }
    }

    fn is_served(mut self) {
        self.served = true;
    }
}

impl Drop for Unserved {
    fn drop(&mut self) {
        if !self.served {
            note!(
                Event::RequestCallerGone,
                id = self.id,
                after_ms = millis(self.arrived.elapsed())
            );
        }
    }
}

/// Counts a request as waiting for an adapter until dropped.
struct Waiter {
    board: Rc<RefCell<TargetBoard>>,
    adapter: String,
    news: Rc<tokio::sync::Notify>,
}

impl Waiter {
    fn start(
        board: &Rc<RefCell<TargetBoard>>,
        adapter: &str,
        priority: u8,
    ) -> Self {
        Self {
            news: board.borrow_mut().start_waiting(adapter, priority),
            board: board.clone(),
            adapter: adapter.to_string(),
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.board.borrow_mut().stop_waiting(&self.adapter);
    }
}

/// The engines of a service in the order in which an adapter settles, the same on every host.
fn settle_order(
    board: &TargetBoard,
    service: &str,
    adapter: &str,
) -> Vec<String> {
    let seed = xxh3_64_with_seed(adapter.as_bytes(), 0);
    let mut ranked: Vec<(u64, &String)> = board
        .targets_of(service)
        .iter()
        .map(|target| {
            let address = board.links[target].view.record.address.to_string();
            (xxh3_64_with_seed(address.as_bytes(), seed), target)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked
        .into_iter()
        .map(|(_, target)| target.clone())
        .collect()
}

fn step_of(
    destination: &Destination,
    end: AttemptEnd,
) -> TraceStep {
    let target = destination.target.clone();
    match end {
        AttemptEnd::NotSent => TraceStep::NotReached { target },
        AttemptEnd::NotRun { status, .. } => TraceStep::TurnedAway { target, status },
        AttemptEnd::Failed { status } => TraceStep::FailedThere { target, status },
        AttemptEnd::Lost => TraceStep::Lost { target },
    }
}

fn asks_step(
    target: &str,
    spare: bool,
) -> TraceStep {
    TraceStep::Asks {
        target: target.to_string(),
        spare,
    }
}

fn chosen_step(
    board: &TargetBoard,
    target: &str,
    candidates: usize,
    ready: usize,
    now: Instant,
) -> TraceStep {
    let link = &board.links[target];
    TraceStep::Chosen {
        target: target.to_string(),
        candidates,
        ready,
        running: link.running(),
        unread_tokens: link.backlog_tokens(),
        load_age: link
            .others_told
            .map(|told| now.saturating_duration_since(told)),
    }
}

/// Tells how a request went: in one line if it went smoothly, else with every step.
fn tell(
    request: &CallRequest,
    tries: &Tries,
    response: &Response<AnswerBody>,
    now: Instant,
) {
    let id = request.id_text();
    let status = response.status().as_u16();
    let passed = now.saturating_duration_since(request.arrived);
    let smooth = status < 400 && passed <= request.route.aim;
    if !smooth {
        tries.trace.tell(id, now);
    }
    let own = response.extensions().get::<OwnCause>();
    let adapter = request.generation.as_ref().and_then(|g| g.adapter());
    note!(
        Event::RequestServed,
        id = id,
        route = request.route.name,
        status = status,
        cause = own.map_or("-", |cause| cause.word()),
        target = tries.trace.last_target(),
        adapter = adapter.unwrap_or("-"),
        first_ms = millis(passed),
        aim_ms = millis(request.route.aim),
        arrivals = tries.history.arrivals,
        late = passed > request.route.aim,
    );
}

fn time_of(
    request: &CallRequest,
    now: Instant,
) -> RequestTime {
    RequestTime {
        passed: now.saturating_duration_since(request.arrived),
        aim: request.route.aim,
        left: request.left(now),
    }
}

/// The more requests share a copy, the less each pays for it.
fn copy_price(
    board: &TargetBoard,
    adapter: &str,
    now: Instant,
) -> Duration {
    // One request here tells nothing of the other hosts; several do.
    let here = (board.demand.recent(adapter, now) - 1.0).max(0.0);
    COPY_PRICE.div_f64(1.0 + here * board.view.hosts as f64)
}

/// True if the holder should have told of the adapter by now.
fn is_late(
    state: CopyState,
    now: Instant,
) -> bool {
    match state {
        CopyState::Asked => true,
        CopyState::Coming { due } => due + ASK_WAIT <= now,
        _ => false,
    }
}

fn is_there(state: CopyState) -> bool {
    matches!(state, CopyState::Ready | CopyState::Coming { .. })
}

fn pass_on(answer: WholeAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
