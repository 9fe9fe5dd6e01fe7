use {
    super::{
        adapter_availability::AdapterAvailability,
        attempts::Attempts,
        choice::Choice,
        destination::{Destination, ExpectedVersion},
        engine_estimator::EngineEstimator,
        engine_exclusions::EngineExclusions,
        engine_sample::{query_before_send, sample_for_adapter, sample_of_service},
        request_trace::TraceStep,
        unplaced::Unplaced,
    },
    crate::{
        clock::Instant,
        connection::targets::{AdapterRequest, TargetTable},
        request::{
            direct::{
                AdapterCopyState, Awaited, CallRequest, ChoiceContext, EngineCandidate,
                EngineChoice, PlainCandidate, choose_engine, choose_plain,
            },
            pace::PaceEstimate,
        },
    },
    rand::RngExt,
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// Cost of loading a copy of an adapter that is requested once in a few seconds over all hosts.
const COPY_COST: Duration = Duration::from_millis(300);

/// Chooses the target of each send.
pub struct Chooser {
    table: Rc<RefCell<TargetTable>>,
    hall: String,
}

impl Chooser {
    pub fn new(
        table: Rc<RefCell<TargetTable>>,
        hall: &str,
    ) -> Self {
        Self {
            table,
            hall: hall.to_string(),
        }
    }

    /// Chooses the target of the next send of a request.
    pub fn choose(
        &self,
        request: &CallRequest,
        attempts: &mut Attempts,
        now: Instant,
    ) -> Choice {
        let mut table = self.table.borrow_mut();
        match &request.generation {
            Some(generation) => match generation.adapter() {
                Some(adapter) => {
                    self.choose_for_adapter(&mut table, request, attempts, adapter, now)
                }
                None => self.choose_base(&mut table, request, attempts, now),
            },
            None => self.choose_plain(&table, request, attempts, now),
        }
    }

    /// Chooses the target at which a request holds a concurrency slot.
    pub fn choose_slot(
        &self,
        attempts: &mut Attempts,
        target: &Arc<str>,
        now: Instant,
    ) -> Choice {
        send_to(&self.table.borrow(), attempts, target, None, (1, 1), now)
    }

    fn choose_plain(
        &self,
        table: &TargetTable,
        request: &CallRequest,
        attempts: &mut Attempts,
        now: Instant,
    ) -> Choice {
        let targets = table.targets_of(&request.service.name);
        let candidates: Vec<PlainCandidate> = targets
            .iter()
            .map(|target| {
                let link = &table.links[&target.id];
                PlainCandidate {
                    in_flight: link.in_flight,
                    slots: link.view.record.slots,
                    same_hall: link.view.record.hall == self.hall,
                    avoided_for: table.remaining_backoff(&request.service.name, &target.id, now),
                    tried: attempts.has_tried(&target.id),
                    excluded: attempts.has_excluded(&target.id)
                        || !table.runs_software(&target.id, attempts.software),
                    availability: table.availability(&target.id, now),
                }
            })
            .collect();
        let draw = rand::rng().random::<f64>();
        let Some(at) = choose_plain(&candidates, draw) else {
            let ids: Vec<Arc<str>> = targets.iter().map(|target| target.id.clone()).collect();
            let unplaced = Unplaced::of(request, &ids, &[], now);
            return unplaced.wait_for_opening(table).unwrap_or(Choice::NoTarget);
        };
        send_to(
            table,
            attempts,
            &targets[at].id,
            None,
            (targets.len(), targets.len()),
            now,
        )
    }

    /// Chooses an engine for a request without an adapter: any engine that holds the base model.
    fn choose_base(
        &self,
        table: &mut TargetTable,
        request: &CallRequest,
        attempts: &mut Attempts,
        now: Instant,
    ) -> Choice {
        let software = attempts.software;
        let draw = |table: &TargetTable| sample_of_service(table, request, software, now);
        let targets = match query_before_send(table, request, attempts, draw, now) {
            Ok(targets) => targets,
            Err(until) => return Choice::AwaitReports { until },
        };
        let estimator = EngineEstimator::of(table, request, &targets, &self.hall, now);
        let candidates: Vec<EngineCandidate> = targets
            .iter()
            .map(|target| {
                estimator.candidate(table, request, target, AdapterCopyState::Ready, attempts)
            })
            .collect();
        let context = ChoiceContext {
            copy_price: Duration::ZERO,
            time_to_goal: request.aim().saturating_duration_since(now),
            allowed_pause: allowed_pause(table, request),
            may_hold: table.policy().holds_requests,
            priority: request.urgency,
            policy: table.policy(),
            now,
        };
        match choose_engine(&candidates, &context) {
            EngineChoice::Send { to, .. } => {
                let counts = (targets.len(), targets.len());
                let choice = send_to(table, attempts, &targets[to], None, counts, now);
                with_estimate(choice, &candidates[to])
            }
            EngineChoice::Hold { until } => hold(until, now),
            _ => Unplaced::of(request, &targets, &candidates, now).wait_or_give_up(table, attempts),
        }
    }

    fn choose_for_adapter(
        &self,
        table: &mut TargetTable,
        request: &CallRequest,
        attempts: &mut Attempts,
        adapter: &str,
        now: Instant,
    ) -> Choice {
        let availability = AdapterAvailability::of(table, adapter, now);
        let software = attempts.software;
        let draw = |table: &TargetTable| sample_for_adapter(table, request, adapter, software, now);
        let targets = match query_before_send(table, request, attempts, draw, now) {
            Ok(targets) => targets,
            Err(until) => return Choice::AwaitReports { until },
        };
        let estimator = EngineEstimator::of(table, request, &targets, &self.hall, now);
        let mut candidates = Vec::with_capacity(targets.len());
        for target in &targets {
            let mut candidate =
                estimator.candidate(table, request, target, AdapterCopyState::Unknown, attempts);
            candidate.copy_state =
                availability.copy_at(table, target, candidate.time_to_first_event);
            candidates.push(candidate);
        }
        let context = ChoiceContext {
            copy_price: copy_cost(table, adapter, now),
            time_to_goal: request.aim().saturating_duration_since(now),
            allowed_pause: allowed_pause(table, request),
            may_hold: table.policy().holds_requests,
            priority: request.urgency,
            policy: table.policy(),
            now,
        };
        let load_request = |at: usize, spare: bool| AdapterRequest {
            adapter,
            target: &targets[at],
            version: availability.newest,
            spare,
            max_load_time: context
                .time_to_goal
                .saturating_sub(candidates[at].time_to_first_event),
        };
        let unplaced = Unplaced::of(request, &targets, &candidates, now);
        match choose_engine(&candidates, &context) {
            EngineChoice::Send { to, .. }
                if candidates[to].batch_share > 1.0 && attempts.discard_sample() =>
            {
                // Every engine of the sample is busy: others may have room.
                self.choose_for_adapter(table, request, attempts, adapter, now)
            }
            EngineChoice::Send { to, also_load } => {
                if let Some(at) = also_load {
                    request_adapter(table, attempts, &load_request(at, true), now);
                }
                let is_ready =
                    |candidate: &&EngineCandidate| candidate.copy_state == AdapterCopyState::Ready;
                let ready = candidates.iter().filter(is_ready).count();
                let wait = candidates[to].time_to_first_event;
                let version = availability.version_at(table, &targets[to], wait);
                let version = version.map(|version| ExpectedVersion {
                    version,
                    newest: availability.newest,
                    wait,
                });
                let counts = (targets.len(), ready);
                let choice = send_to(table, attempts, &targets[to], version, counts, now);
                with_estimate(choice, &candidates[to])
            }
            EngineChoice::RequestLoad(at) => {
                let choice = unplaced.await_reply(table, attempts);
                if matches!(choice, Choice::Wait { .. }) {
                    request_adapter(table, attempts, &load_request(at, false), now);
                }
                choice
            }
            EngineChoice::Wait { until, expected } => {
                // Overdue holders are asked again; the table limits the rate of these requests.
                for (at, target) in targets.iter().enumerate() {
                    if availability.is_overdue_at(table, target) {
                        request_adapter(table, attempts, &load_request(at, false), now);
                    }
                }
                unplaced.await_load(table, attempts, until, expected)
            }
            EngineChoice::Hold { until } => hold(until, now),
            EngineChoice::NoEngine => {
                let exclusions = EngineExclusions::of(&candidates, now);
                attempts.trace.add(TraceStep::Unplaced(exclusions), now);
                if table.bounds_waits() && attempts.discard_sample() {
                    // Engines outside the sample may have room.
                    return self.choose_for_adapter(table, request, attempts, adapter, now);
                }
                unplaced.wait_or_give_up(table, attempts)
            }
        }
    }
}

/// Records a choice in the trace and returns it; `counts` is the number of candidates and of the ready ones among them.
fn send_to(
    table: &TargetTable,
    attempts: &mut Attempts,
    target: &Arc<str>,
    version: Option<ExpectedVersion>,
    counts: (usize, usize),
    now: Instant,
) -> Choice {
    let link = &table.links[target];
    let step = TraceStep::Chosen {
        target: target.clone(),
        candidates: counts.0,
        ready: counts.1,
        running: link.running(),
        unread_tokens: link.backlog_tokens(),
        cached_tokens: table.cached_tokens(target, attempts.queried_prompt(), now),
        load_age: link
            .others_reported_at
            .map(|reported| now.saturating_duration_since(reported)),
        version,
        declared_age: table.freshness().declared.age(now),
    };
    attempts.trace.add(step, now);
    Choice::Send(Destination {
        target: target.clone(),
        version,
        resume_after: None,
        software: attempts.software,
        estimate: None,
    })
}

/// Adds the estimate by which an engine was chosen.
fn with_estimate(
    choice: Choice,
    engine: &EngineCandidate,
) -> Choice {
    match choice {
        Choice::Send(destination) => Choice::Send(Destination {
            estimate: Some(PaceEstimate {
                first_event: engine.time_to_first_event,
                pause: engine.reading.after,
            }),
            ..destination
        }),
        choice => choice,
    }
}

fn request_adapter(
    table: &mut TargetTable,
    attempts: &mut Attempts,
    load_request: &AdapterRequest,
    now: Instant,
) {
    if table.request_adapter(load_request, now) {
        let step = TraceStep::AdapterRequested {
            target: load_request.target.into(),
            spare: load_request.spare,
        };
        attempts.trace.add(step, now);
    }
}

/// Holds a request back until a time.
fn hold(
    until: Instant,
    now: Instant,
) -> Choice {
    Choice::Wait {
        until,
        expected: Some(until.saturating_duration_since(now)),
        awaited: Awaited::Capacity,
    }
}

/// Returns the longest pause that keeps the request's stream in time, if pauses can be foreseen and often make streams
/// late.
fn allowed_pause(
    table: &TargetTable,
    request: &CallRequest,
) -> Option<Duration> {
    let service = &request.service.name;
    let counts_pauses = table.has_unequal_engines(service) && table.has_frequent_pauses(service);
    counts_pauses.then_some(request.route.gap_aim)
}

/// Returns the cost of a new copy of an adapter for one request; requests that share the copy share its cost.
fn copy_cost(
    table: &TargetTable,
    adapter: &str,
    now: Instant,
) -> Duration {
    // Several requests on this host suggest as many on the others; a single one does not.
    let local = (table.demand.recent_requests(adapter, now) - 1.0).max(0.0);
    let reported = f64::from(table.adapters.uses(adapter));
    if !table.policy().shares_copy_price {
        return COPY_COST;
    }
    COPY_COST.div_f64(1.0 + reported.max(local * table.view.hosts as f64))
}
