use {
    super::{
        adapter_standing::AdapterStanding,
        against_engines::AgainstEngines,
        engine_outlook::EngineOutlook,
        engine_sample::{look_before_send, sample_for_adapter, sample_of_service},
        exchange::{Destination, VersionSent},
        request_trace::TraceStep,
        tries::Tries,
        waits::{ASK_WAIT, LOOK_AGAIN},
    },
    crate::{
        clock::Instant,
        connection::targets::{AdapterRequest, TargetTable},
        request::direct::{
            CallRequest, ChoiceTerms, CopyState, EngineCandidate, EngineChoice, Patience,
            PlainCandidate, RequestTime, choose_engine, choose_plain, wait_or_refuse,
        },
    },
    rand::RngExt,
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// Price of a copy of an adapter that is asked for once in a few seconds over all hosts.
const COPY_PRICE: Duration = Duration::from_millis(300);

/// A request waits for an engine at least this long before it looks again.
const LEAST_WAIT: Duration = Duration::from_millis(2);

/// Share of its aim after which it is refused.
const LOOK_SHARE: f64 = 0.17;

/// Callers that are refused while all targets are closed are told to come back within this time after the first opens.
const OPENING_SPREAD: Duration = Duration::from_millis(500);

/// What is decided for the next send.
pub enum Choice {
    Send(Destination),
    Wait {
        until: Instant,
        expected: Option<Duration>,
    },
    /// Tell the caller to come back after this time.
    Refuse(Duration),
    Nowhere,
    /// Wait for what holders tell of their engines, until this time at the most.
    Look {
        until: Instant,
    },
}

/// Chooses the target of each send.
pub struct Chooser {
    board: Rc<RefCell<TargetTable>>,
    /// The hall of this host.
    hall: String,
}

impl Chooser {
    pub fn new(
        board: Rc<RefCell<TargetTable>>,
        hall: &str,
    ) -> Self {
        Self {
            board,
            hall: hall.to_string(),
        }
    }

    /// Chooses where a request goes next.
    pub fn choose(
        &self,
        request: &CallRequest,
        tries: &mut Tries,
        now: Instant,
    ) -> Choice {
        let mut board = self.board.borrow_mut();
        match &request.generation {
            Some(generation) => match generation.adapter() {
                Some(adapter) => self.choose_for_adapter(&mut board, request, tries, adapter, now),
                None => self.choose_base(&mut board, request, tries, now),
            },
            None => self.choose_plain(&board, request, tries, now),
        }
    }

    /// Sends a request to the target at which it has a place.
    pub fn choose_place(
        &self,
        tries: &mut Tries,
        target: &Arc<str>,
        now: Instant,
    ) -> Choice {
        send_to(&self.board.borrow(), tries, target, None, (1, 1), now)
    }

    fn choose_plain(
        &self,
        board: &TargetTable,
        request: &CallRequest,
        tries: &mut Tries,
        now: Instant,
    ) -> Choice {
        let targets = board.targets_of(&request.service.name);
        let candidates: Vec<PlainCandidate> = targets
            .iter()
            .map(|target| {
                let link = &board.links[&target.id];
                PlainCandidate {
                    in_flight: link.in_flight,
                    slots: link.view.record.slots,
                    near: link.view.record.hall == self.hall,
                    avoided_for: link.remaining_backoff(now),
                    tried: tries.has_tried(&target.id),
                    openness: board.availability(&target.id, now),
                }
            })
            .collect();
        let draw = rand::rng().random::<f64>();
        let Some(at) = choose_plain(&candidates, draw) else {
            let ids: Vec<Arc<str>> = targets.iter().map(|target| target.id.clone()).collect();
            return wait_for_opening(board, request, &ids, now).unwrap_or(Choice::Nowhere);
        };
        send_to(
            board,
            tries,
            &targets[at].id,
            None,
            (targets.len(), targets.len()),
            now,
        )
    }

    /// A request for the base model alone runs at any engine that holds it.
    fn choose_base(
        &self,
        board: &mut TargetTable,
        request: &CallRequest,
        tries: &mut Tries,
        now: Instant,
    ) -> Choice {
        let drawn = |board: &TargetTable| sample_of_service(board, request, now);
        let targets = match look_before_send(board, request, tries, drawn, now) {
            Ok(targets) => targets,
            Err(until) => return Choice::Look { until },
        };
        let outlook = EngineOutlook::of(board, request, &targets, &self.hall, now);
        let candidates: Vec<EngineCandidate> = targets
            .iter()
            .map(|target| outlook.candidate(board, request, target, CopyState::Ready, tries))
            .collect();
        let terms = ChoiceTerms {
            copy_price: Duration::ZERO,
            aim_left: request.aim().saturating_duration_since(now),
            priority: request.urgency,
            policy: board.policy(),
            now,
        };
        match choose_engine(&candidates, &terms) {
            EngineChoice::Send { to, .. } => send_to(
                board,
                tries,
                &targets[to],
                None,
                (targets.len(), targets.len()),
                now,
            ),
            _ => nowhere_yet(board, request, &targets, now),
        }
    }

    fn choose_for_adapter(
        &self,
        board: &mut TargetTable,
        request: &CallRequest,
        tries: &mut Tries,
        adapter: &str,
        now: Instant,
    ) -> Choice {
        let standing = AdapterStanding::of(board, adapter, now);
        let drawn = |board: &TargetTable| sample_for_adapter(board, request, adapter, now);
        let targets = match look_before_send(board, request, tries, drawn, now) {
            Ok(targets) => targets,
            Err(until) => return Choice::Look { until },
        };
        let outlook = EngineOutlook::of(board, request, &targets, &self.hall, now);
        let mut candidates = Vec::with_capacity(targets.len());
        for target in &targets {
            let mut candidate =
                outlook.candidate(board, request, target, CopyState::Unknown, tries);
            candidate.copy = standing.copy_at(board, target, candidate.wait);
            candidates.push(candidate);
        }
        let terms = ChoiceTerms {
            copy_price: copy_price(board, adapter, now),
            aim_left: request.aim().saturating_duration_since(now),
            priority: request.urgency,
            policy: board.policy(),
            now,
        };
        let ask_at = |at: usize, spare: bool| AdapterRequest {
            adapter,
            target: &targets[at],
            version: standing.newest,
            spare,
            max_load_time: terms.aim_left.saturating_sub(candidates[at].wait),
        };
        match choose_engine(&candidates, &terms) {
            EngineChoice::Send { to, .. } if candidates[to].batch > 1.0 && tries.draws_again() => {
                // All of the sample are taken: other engines may have room.
                self.choose_for_adapter(board, request, tries, adapter, now)
            }
            EngineChoice::Send { to, ask } => {
                if let Some(at) = ask {
                    ask_for(board, tries, &ask_at(at, true), now);
                }
                let is_ready = |candidate: &&EngineCandidate| candidate.copy == CopyState::Ready;
                let ready = candidates.iter().filter(is_ready).count();
                let wait = candidates[to].wait;
                let version = standing.version_at(board, &targets[to], wait);
                let version = version.map(|version| VersionSent {
                    version,
                    newest: standing.newest,
                    wait,
                });
                send_to(
                    board,
                    tries,
                    &targets[to],
                    version,
                    (targets.len(), ready),
                    now,
                )
            }
            EngineChoice::Ask(at) => {
                ask_for(board, tries, &ask_at(at, false), now);
                Choice::Wait {
                    until: now + ASK_WAIT,
                    expected: None,
                }
            }
            EngineChoice::Wait { until, expected } => {
                // Whoever is late is asked again; asks that come too often are held back there.
                for (at, target) in targets.iter().enumerate() {
                    if standing.is_late_at(board, target) {
                        ask_for(board, tries, &ask_at(at, false), now);
                    }
                }
                let refusable = expected.filter(|_| terms.policy.refuses_early);
                match refusable.map(|expected| wait_or_refuse(&time_of(request, now), expected)) {
                    Some(Patience::Refuse { come_back }) => {
                        tries.trace.add(TraceStep::Waits { expected }, now);
                        Choice::Refuse(come_back)
                    }
                    _ => Choice::Wait {
                        until: until.max(now + LEAST_WAIT),
                        expected,
                    },
                }
            }
            EngineChoice::Nowhere => {
                let against = AgainstEngines::of(&candidates, now);
                tries.trace.add(TraceStep::Unplaced(against), now);
                nowhere_yet(board, request, &targets, now)
            }
        }
    }
}

/// Decides on a target; `counts` are the candidates and those of them that were ready.
fn send_to(
    board: &TargetTable,
    tries: &mut Tries,
    target: &Arc<str>,
    version: Option<VersionSent>,
    counts: (usize, usize),
    now: Instant,
) -> Choice {
    let link = &board.links[target];
    let step = TraceStep::Chosen {
        target: target.clone(),
        candidates: counts.0,
        ready: counts.1,
        running: link.running(),
        unread_tokens: link.backlog_tokens(),
        load_age: link
            .others_reported_at
            .map(|told| now.saturating_duration_since(told)),
        version,
        declared_age: board.freshness().declared.age(now),
    };
    tries.trace.add(step, now);
    Choice::Send(Destination {
        target: target.clone(),
        version,
        resume_after: None,
    })
}

fn ask_for(
    board: &mut TargetTable,
    tries: &mut Tries,
    ask: &AdapterRequest,
    now: Instant,
) {
    if board.request_adapter(ask, now) {
        let step = TraceStep::Asks {
            target: ask.target.into(),
            spare: ask.spare,
        };
        tries.trace.add(step, now);
    }
}

/// No engine can take a request: it looks again a few times while a refusal is still prompt.
fn nowhere_yet(
    board: &TargetTable,
    request: &CallRequest,
    targets: &[Arc<str>],
    now: Instant,
) -> Choice {
    if let Some(choice) = wait_for_opening(board, request, targets, now) {
        return choice;
    }
    let again = now + LOOK_AGAIN;
    match is_prompt(request, again) {
        true => Choice::Wait {
            until: again,
            expected: None,
        },
        false => Choice::Nowhere,
    }
}

/// All targets are closed by what they say of themselves: a request waits if one opens while a refusal is still prompt; else
/// it is refused at once, and its caller is told when one opens. `None` if a target is not closed.
fn wait_for_opening(
    board: &TargetTable,
    request: &CallRequest,
    targets: &[Arc<str>],
    now: Instant,
) -> Option<Choice> {
    let opens = board.earliest_availability(targets.iter(), now)?;
    if is_prompt(request, opens) {
        return Some(Choice::Wait {
            until: opens,
            expected: None,
        });
    }
    // Callers that are refused together don't come back together.
    let spread = rand::rng().random_range(Duration::ZERO..OPENING_SPREAD);
    let come_back = opens.saturating_duration_since(now) + spread;
    Some(Choice::Refuse(come_back))
}

/// True if a refusal at this time is still prompt.
fn is_prompt(
    request: &CallRequest,
    at: Instant,
) -> bool {
    at.saturating_duration_since(request.arrived) < request.route.aim.mul_f64(LOOK_SHARE)
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
    board: &TargetTable,
    adapter: &str,
    now: Instant,
) -> Duration {
    // One request here tells nothing of the other hosts; several do.
    let here = (board.demand.recent_requests(adapter, now) - 1.0).max(0.0);
    let told = f64::from(board.adapters.uses(adapter));
    if !board.policy().shares_copy_price {
        return COPY_PRICE;
    }
    COPY_PRICE.div_f64(1.0 + told.max(here * board.view.hosts as f64))
}
