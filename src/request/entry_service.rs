use {
    super::{
        AnswerPart, CallerRequest, EntryEnd, Forwarder, PartSender, Refusal, RefusalCode,
        RetryBudget,
        attempt_history::AttemptHistory,
        engine_candidates,
        entry_progress::{CallerGone, EntryProgress},
        forwarder::AnswerParts,
        plain_candidates,
    },
    crate::{
        clock::Instant,
        connection::peer::wire,
        process::{
            control::{SharedView, View},
            node::Metrics,
        },
        timeline::{Event, EventLog},
    },
    std::{sync::Arc, time::Duration},
};

/// Longest wait of a request for a target to get an owner or become reachable.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Refusals after which the ownership table is polled immediately.
const OWNERSHIP_CODES: [RefusalCode; 3] = [
    RefusalCode::NotOwner,
    RefusalCode::NoOwner,
    RefusalCode::OwnerUnreachable,
];

/// Failed loads of the adapter after which the request is given up.
const MAX_FAILED_LOADS: u32 = 2;

/// Serves callers' requests on the host that received them: chooses targets, forwards to their owners and retries.
#[derive(Clone)]
pub struct EntryService {
    view: SharedView,
    forwarder: Forwarder,
    budget: Arc<RetryBudget>,
    log: EventLog,
    metrics: Metrics,
    /// Triggers a poll of the ownership table.
    wake_poller: flume::Sender<()>,
    /// Engines per adapter.
    replicas: usize,
}

/// Result of one attempt.
enum AttemptResult {
    Answered,
    Refused(Refusal),
    CallerGone,
}

/// What to do after a refused attempt.
enum RetryDecision {
    Retry,
    RetryAfterBackoff,
    GiveUp,
}

impl EntryService {
    pub fn new(
        view: SharedView,
        forwarder: Forwarder,
        log: EventLog,
        metrics: Metrics,
        wake_poller: flume::Sender<()>,
        replicas: usize,
    ) -> Self {
        Self {
            view,
            forwarder,
            budget: Arc::default(),
            log,
            metrics,
            wake_poller,
            replicas,
        }
    }

    /// Serves a request and sends the parts of its answer to `out`.
    pub async fn serve(
        &self,
        request: &CallerRequest,
        out: &PartSender,
    ) -> EntryEnd {
        let view = self.view.load_full();
        if let Some(service) = view.config.services.get(&request.service) {
            self.budget.deposit(&request.service, service.retry_share);
        }
        let started = Instant::now();
        let end = match self.run_attempts(request, out).await {
            // This attempt did not run, but an earlier one may have.
            EntryEnd::NotRun(refusal) if request.is_later_attempt() => EntryEnd::Unknown(refusal),
            end => end,
        };
        self.log_end(request, &end, started.elapsed());
        end
    }

    async fn run_attempts(
        &self,
        request: &CallerRequest,
        out: &PartSender,
    ) -> EntryEnd {
        let mut progress = EntryProgress::default();
        let mut history = AttemptHistory::default();
        loop {
            let now = Instant::now();
            if now >= request.deadline {
                return history.end(Refusal::not_run(
                    RefusalCode::DeadlinePassed,
                    Duration::ZERO,
                ));
            }
            let view = self.view.load_full();
            let Some(target) = self.choose_target(&view, request, &history) else {
                return history.end(Refusal::not_run(
                    RefusalCode::NoTarget,
                    Duration::from_secs(1),
                ));
            };
            let refusal = match self
                .run_attempt(&view, &target, request, &mut progress, &history, out)
                .await
            {
                AttemptResult::Answered => return EntryEnd::Answered,
                AttemptResult::CallerGone => {
                    self.cancel(&view, &target, request).await;
                    return EntryEnd::CallerGone;
                }
                AttemptResult::Refused(refusal) => refusal,
            };
            match self.after_refusal(request, &target, refusal, &mut history, &progress) {
                RetryDecision::Retry => {}
                RetryDecision::RetryAfterBackoff => {
                    let backoff = history.next_backoff();
                    tokio::select! {
                        () = tokio::time::sleep(backoff) => {}
                        () = out.closed() => {
                            self.cancel(&view, &target, request).await;
                            return EntryEnd::CallerGone;
                        }
                    }
                }
                RetryDecision::GiveUp => {
                    let fallback = Refusal::not_run(RefusalCode::NoTarget, Duration::ZERO);
                    return history.end(fallback);
                }
            }
            self.log_resend(request, &target, &history);
        }
    }

    /// Chooses the target of the next attempt; one that may already run the request is preferred.
    fn choose_target(
        &self,
        view: &View,
        request: &CallerRequest,
        history: &AttemptHistory,
    ) -> Option<String> {
        let resume_target = history
            .resume_target
            .clone()
            .filter(|target| view.config.targets.contains_key(target));
        // A non-repeatable request that may have run can only be resumed at the same target.
        let resume_only = history.may_have_run && !request.repeatable;
        if resume_target.is_some() || resume_only {
            return resume_target;
        }
        let candidates = self.candidates(view, request);
        let untried = candidates
            .iter()
            .find(|target| !history.excluded.contains(*target));
        untried.cloned()
    }

    fn candidates(
        &self,
        view: &View,
        request: &CallerRequest,
    ) -> Vec<String> {
        match &request.model {
            Some(model) => engine_candidates(&view.config, model),
            None => {
                let key = match request.key.is_empty() {
                    true => &request.id,
                    false => &request.key,
                };
                plain_candidates(&view.config, &request.service, key)
            }
        }
    }

    async fn run_attempt(
        &self,
        view: &View,
        target: &str,
        request: &CallerRequest,
        progress: &mut EntryProgress,
        history: &AttemptHistory,
        out: &PartSender,
    ) -> AttemptResult {
        let mut forward = request.to_forward(target, Instant::now());
        forward.resumed = history.resume_target.as_deref() == Some(target);
        forward.resume_from = progress.next_index;
        forward.check_claims = !history.excluded.is_empty() || request.attempt == 0;
        match progress.continued_body(request) {
            Some(body) => forward.body = body,
            // The request can be resumed at the same target, but not run again.
            None => forward.repeatable = false,
        }
        let ping = !request.repeatable || history.ping_owner;
        let parts = self.start(view, target, forward, ping, out).await;
        match parts {
            Some(parts) => self.relay(parts, request.stream, progress, out).await,
            None => AttemptResult::CallerGone,
        }
    }

    /// Starts an attempt at the target's owner, or from this host while no host can own the target. Returns `None` if the
    /// caller has disconnected.
    async fn start(
        &self,
        view: &View,
        target: &str,
        mut forward: wire::ForwardRequest,
        ping: bool,
        out: &PartSender,
    ) -> Option<AnswerParts> {
        let Some(owner) = view.owners.get(target) else {
            return Some(AnswerParts::Failed(Refusal::elsewhere(
                RefusalCode::NoOwner,
            )));
        };
        if view.is_gone(&owner.host) {
            if can_run_unowned(view, target) {
                forward.may_load = false;
                return Some(self.forwarder.run_unowned(forward, owner.fence));
            }
            return Some(AnswerParts::Failed(Refusal::elsewhere(
                RefusalCode::NoOwner,
            )));
        }
        tokio::select! {
            parts = self.forwarder.forward(view, &owner.host, forward, ping) => Some(parts),
            () = out.closed() => None,
        }
    }

    /// Forwards the parts of one attempt to the caller until it ends.
    async fn relay(
        &self,
        mut parts: AnswerParts,
        stream: bool,
        progress: &mut EntryProgress,
        out: &PartSender,
    ) -> AttemptResult {
        loop {
            let part = tokio::select! {
                part = parts.next() => part,
                () = out.closed() => return AttemptResult::CallerGone,
            };
            match part {
                AnswerPart::Refused(refusal) => return AttemptResult::Refused(refusal),
                AnswerPart::End => {
                    if !stream && let Err(CallerGone) = progress.flush(out).await {
                        return AttemptResult::CallerGone;
                    }
                    return AttemptResult::Answered;
                }
                part => {
                    if let AnswerPart::Head(head) = &part {
                        self.metrics.load_wait(head.load_wait);
                    }
                    if let Err(CallerGone) = progress.on_part(part, stream, out).await {
                        return AttemptResult::CallerGone;
                    }
                }
            }
        }
    }

    /// Decides what to do after a refused attempt.
    fn after_refusal(
        &self,
        request: &CallerRequest,
        target: &str,
        refusal: Refusal,
        history: &mut AttemptHistory,
        progress: &EntryProgress,
    ) -> RetryDecision {
        let code = refusal.code;
        history.last_refusal = Some(refusal.clone());
        if OWNERSHIP_CODES.contains(&code) {
            let _ = self.wake_poller.try_send(());
        }
        if refusal.may_have_run {
            return self.after_possible_run(request, target, refusal, history, progress);
        }
        if !refusal.try_elsewhere {
            return RetryDecision::GiveUp;
        }
        match code {
            RefusalCode::Overloaded => {
                history.rejections += 1;
                history.exclude(target);
                let may_spill = request.repeatable && (history.rejections as usize) < self.replicas;
                retry_if(may_spill)
            }
            RefusalCode::LoadFailed => {
                history.failed_loads += 1;
                history.exclude(target);
                retry_if(history.failed_loads < MAX_FAILED_LOADS)
            }
            RefusalCode::TargetUnreachable | RefusalCode::TargetLeaving | RefusalCode::NoTarget => {
                history.exclude(target);
                RetryDecision::Retry
            }
            RefusalCode::AdapterNotLoaded if self.has_no_live_owner(target) => {
                history.exclude(target);
                RetryDecision::Retry
            }
            _ if history.waited() >= MAX_WAIT => RetryDecision::GiveUp,
            _ => RetryDecision::RetryAfterBackoff,
        }
    }

    /// Decides what to do if the refused attempt may have run: only repeatable or resumable requests are retried.
    fn after_possible_run(
        &self,
        request: &CallerRequest,
        target: &str,
        refusal: Refusal,
        history: &mut AttemptHistory,
        progress: &EntryProgress,
    ) -> RetryDecision {
        history.may_have_run = true;
        history.ping_owner |= refusal.code == RefusalCode::OwnerUnreachable;
        let is_foreign = refusal.code == RefusalCode::AnswerForeign;
        let is_late = refusal.code == RefusalCode::DeadlinePassed;
        let resumable = request.stream && request.model.is_some() && !is_foreign;
        let can_retry = !is_late && (request.repeatable || resumable);
        if !can_retry || !self.budget.withdraw(&request.service) {
            return RetryDecision::GiveUp;
        }
        match is_foreign {
            // Further answers of this target may be wrong as well.
            true => history.exclude(target),
            false => history.set_resume_target(target, progress),
        }
        RetryDecision::RetryAfterBackoff
    }

    fn has_no_live_owner(
        &self,
        target: &str,
    ) -> bool {
        let view = self.view.load();
        view.owners
            .get(target)
            .is_none_or(|owner| view.is_gone(&owner.host))
    }

    async fn cancel(
        &self,
        view: &View,
        target: &str,
        request: &CallerRequest,
    ) {
        if let Some(owner) = view.owners.get(target)
            && request.model.is_some()
        {
            self.forwarder
                .cancel(view, &owner.host, target, &request.id)
                .await;
        }
    }

    /// Queries the outcome of an idempotency key from the owner of its target.
    pub async fn outcome(
        &self,
        service: &str,
        key: &str,
    ) -> wire::OutcomeReply {
        let view = self.view.load_full();
        let targets = plain_candidates(&view.config, service, key);
        let owner = targets.first().and_then(|target| view.owners.get(target));
        let host = owner.map_or(view.me.as_str(), |owner| owner.host.as_str());
        let query = wire::OutcomeQuery {
            service: service.to_string(),
            key: key.to_string(),
            target: targets.first().cloned().unwrap_or_default(),
        };
        self.forwarder.outcome(&view, host, query).await
    }

    fn log_resend(
        &self,
        request: &CallerRequest,
        target: &str,
        history: &AttemptHistory,
    ) {
        let cause = history
            .last_refusal
            .as_ref()
            .map_or("", |last_refusal| last_refusal.code.word());
        self.metrics.resend(cause);
        let view = self.view.load();
        let owner = view.owners.get(target).map(|owner| owner.host.as_str());
        let owner_state = owner.map_or("none", |owner| view.host_state(owner));
        self.log.note(
            Event::RequestResent,
            &[
                ("request", &request.id),
                ("from", &target),
                ("why", &cause),
                ("owner", &owner.unwrap_or("none")),
                ("owner_state", &owner_state),
            ],
        );
    }

    fn log_end(
        &self,
        request: &CallerRequest,
        end: &EntryEnd,
        time: Duration,
    ) {
        let (event, outcome, code) = match end {
            EntryEnd::Answered => (Event::RequestAnswered, "answered", "answered"),
            EntryEnd::NotRun(refusal) => (Event::RequestNotRun, "not_run", refusal.code.word()),
            EntryEnd::Unknown(refusal) => (Event::RequestUnknown, "unknown", refusal.code.word()),
            EntryEnd::CallerGone => (Event::RequestUnknown, "unknown", "caller_gone"),
        };
        self.metrics.request(outcome, &request.kind, time);
        self.log.note(
            event,
            &[
                ("request", &request.id),
                ("service", &request.service),
                ("code", &code),
            ],
        );
    }
}

/// Returns true if requests may be sent to a target without an owner, as the ownership table is unreachable.
///
/// Engines that do not check fences are excluded: a former owner could still be sending to them.
fn can_run_unowned(
    view: &View,
    target: &str,
) -> bool {
    let fenced = view
        .config
        .targets
        .get(target)
        .is_some_and(|spec| spec.checks_fences || spec.engine().is_none());
    fenced && !view.table_reachable
}

fn retry_if(can_retry: bool) -> RetryDecision {
    match can_retry {
        true => RetryDecision::Retry,
        false => RetryDecision::GiveUp,
    }
}
