use {
    super::{
        AnswerPart, CallerRequest, Forwarder, PartSender, Refusal, RefusalCode, RetryBudget,
        engine_candidates,
        entry_progress::{CallerGone, EntryProgress},
        forwarder::Parts,
        plain_candidates,
    },
    crate::{
        connection::peer::wire,
        process::{
            control::{SharedView, View},
            node::Metrics,
        },
        timeline::{Event, EventLog},
    },
    rand::RngExt,
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// How long a request waits for a target to get an owner or come back, at the most.
const PATIENCE: Duration = Duration::from_secs(3);

/// Pauses between tries; they double from the first to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_millis(60);

/// Refusals after which the table is looked at for the owner.
const OWNER_CODES: [RefusalCode; 3] = [
    RefusalCode::NotOwner,
    RefusalCode::NoOwner,
    RefusalCode::OwnerUnreachable,
];

/// Engines whose load of the adapter may fail before the caller is told.
const FAILED_LOADS: u32 = 2;

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum EntryEnd {
    /// The whole answer went out.
    Answered,
    /// It was not run.
    NotRun(Refusal),
    /// It may have run.
    Unknown(Refusal),
    /// The caller hung up.
    CallerGone,
}

/// Brings a caller's request to an answer: picks targets, follows owners, tries again.
#[derive(Clone)]
pub struct EntryService {
    view: SharedView,
    forwarder: Forwarder,
    budget: Arc<RetryBudget>,
    log: EventLog,
    metrics: Metrics,
    /// Has the table looked at, when an owner turns out to be another.
    wake_poller: flume::Sender<()>,
    /// Engines that may hold a copy of one adapter.
    replicas: usize,
}

/// What one try came to.
enum Try {
    Answered,
    Refused(Refusal),
    CallerGone,
}

/// What a request has met so far.
#[derive(Default)]
struct Course {
    /// Targets that are not tried again.
    avoid: BTreeSet<String>,
    /// Targets that were full.
    full: u32,
    failed_loads: u32,
    /// The target that may run the request.
    begun_at: Option<String>,
    /// What the caller had when the last try came back there.
    begun_index: u64,
    /// A link to an owner broke: the next one is tried before it is used.
    lost_owner: bool,
    may_have_run: bool,
    pause: Duration,
    waiting_since: Option<Instant>,
    last: Option<Refusal>,
}

/// What to do after a refusal.
enum Next {
    Try,
    PauseAndTry,
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

    /// Runs a request to its end; the parts of its answer go to `out`.
    pub async fn serve(
        &self,
        request: &CallerRequest,
        out: &PartSender,
    ) -> EntryEnd {
        let view = self.view.load_full();
        if let Some(service) = view.config.services.get(&request.service) {
            self.budget.earn(&request.service, service.retry_share);
        }
        let began = Instant::now();
        let end = match self.attempts(request, out).await {
            // This attempt was not run, but an earlier one may have been.
            EntryEnd::NotRun(refusal) if request.is_later_attempt() => EntryEnd::Unknown(refusal),
            end => end,
        };
        self.note_end(request, &end, began.elapsed());
        end
    }

    async fn attempts(
        &self,
        request: &CallerRequest,
        out: &PartSender,
    ) -> EntryEnd {
        let mut progress = EntryProgress::default();
        let mut course = Course::default();
        loop {
            let now = Instant::now();
            if now >= request.deadline {
                return course.end(Refusal::not_run(
                    RefusalCode::DeadlinePassed,
                    Duration::ZERO,
                ));
            }
            let view = self.view.load_full();
            let Some(target) = self.pick(&view, request, &course) else {
                return course.end(Refusal::not_run(
                    RefusalCode::NoTarget,
                    Duration::from_secs(1),
                ));
            };
            let refusal = match self
                .one_try(&view, &target, request, &mut progress, &course, out)
                .await
            {
                Try::Answered => return EntryEnd::Answered,
                Try::CallerGone => {
                    self.cancel(&view, &target, request).await;
                    return EntryEnd::CallerGone;
                }
                Try::Refused(refusal) => refusal,
            };
            match self.after(request, &target, refusal, &mut course, &progress) {
                Next::Try => {}
                Next::PauseAndTry => {
                    let pause = course.next_pause();
                    tokio::select! {
                        () = tokio::time::sleep(pause) => {}
                        () = out.closed() => {
                            self.cancel(&view, &target, request).await;
                            return EntryEnd::CallerGone;
                        }
                    }
                }
                Next::GiveUp => {
                    let fallback = Refusal::not_run(RefusalCode::NoTarget, Duration::ZERO);
                    return course.end(fallback);
                }
            }
            self.note_resent(request, &target, &course);
        }
    }

    /// The target to try next; one that may run the request already comes first.
    fn pick(
        &self,
        view: &View,
        request: &CallerRequest,
        course: &Course,
    ) -> Option<String> {
        let begun_at = course
            .begun_at
            .clone()
            .filter(|target| view.config.targets.contains_key(target));
        // What may have run and may not be repeated can only be resumed where it runs.
        let fixed = course.may_have_run && !request.repeatable;
        if begun_at.is_some() || fixed {
            return begun_at;
        }
        let candidates = self.candidates(view, request);
        let untried = candidates
            .iter()
            .find(|target| !course.avoid.contains(*target));
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

    async fn one_try(
        &self,
        view: &View,
        target: &str,
        request: &CallerRequest,
        progress: &mut EntryProgress,
        course: &Course,
        out: &PartSender,
    ) -> Try {
        let mut forward = request.to_forward(target, Instant::now());
        forward.resumed = course.begun_at.as_deref() == Some(target);
        forward.resume_from = progress.next_index;
        forward.check_claims = !course.avoid.is_empty() || request.attempt == 0;
        match progress.continued_body(request) {
            Some(body) => forward.body = body,
            // It can only be resumed where it runs, not run anew.
            None => forward.repeatable = false,
        }
        let ping = !request.repeatable || course.lost_owner;
        let parts = self.start(view, target, forward, ping, out).await;
        match parts {
            Some(parts) => self.relay(parts, request.stream, progress, out).await,
            None => Try::CallerGone,
        }
    }

    /// Starts a try at the target's owner, or from here when nobody can own the target.
    async fn start(
        &self,
        view: &View,
        target: &str,
        mut forward: wire::ForwardRequest,
        ping: bool,
        out: &PartSender,
    ) -> Option<Parts> {
        let Some(owner) = view.owners.get(target) else {
            return Some(Parts::Lost(Refusal::elsewhere(RefusalCode::NoOwner)));
        };
        if view.is_gone(&owner.host) {
            if may_run_unowned(view, target) {
                forward.may_load = false;
                return Some(self.forwarder.run_unowned(forward, owner.fence));
            }
            return Some(Parts::Lost(Refusal::elsewhere(RefusalCode::NoOwner)));
        }
        tokio::select! {
            parts = self.forwarder.forward(view, &owner.host, forward, ping) => Some(parts),
            () = out.closed() => None,
        }
    }

    /// Passes the parts of one try on until its end.
    async fn relay(
        &self,
        mut parts: Parts,
        stream: bool,
        progress: &mut EntryProgress,
        out: &PartSender,
    ) -> Try {
        loop {
            let part = tokio::select! {
                part = parts.next() => part,
                () = out.closed() => return Try::CallerGone,
            };
            match part {
                AnswerPart::Refused(refusal) => return Try::Refused(refusal),
                AnswerPart::End => {
                    if !stream && let Err(CallerGone) = progress.release(out).await {
                        return Try::CallerGone;
                    }
                    return Try::Answered;
                }
                part => {
                    if let AnswerPart::Head(head) = &part {
                        self.metrics.load_wait(head.load_wait);
                    }
                    if let Err(CallerGone) = progress.take(part, stream, out).await {
                        return Try::CallerGone;
                    }
                }
            }
        }
    }

    /// Decides what a refusal means for the request.
    fn after(
        &self,
        request: &CallerRequest,
        target: &str,
        refusal: Refusal,
        course: &mut Course,
        progress: &EntryProgress,
    ) -> Next {
        let code = refusal.code;
        course.last = Some(refusal.clone());
        if OWNER_CODES.contains(&code) {
            let _ = self.wake_poller.try_send(());
        }
        if refusal.may_have_run {
            return self.after_doubt(request, target, refusal, course, progress);
        }
        if !refusal.try_elsewhere {
            return Next::GiveUp;
        }
        match code {
            RefusalCode::Overloaded => {
                course.full += 1;
                course.leave(target);
                let spills = request.repeatable && (course.full as usize) < self.replicas;
                next_if(spills)
            }
            RefusalCode::LoadFailed => {
                course.failed_loads += 1;
                course.leave(target);
                next_if(course.failed_loads < FAILED_LOADS)
            }
            RefusalCode::TargetUnreachable | RefusalCode::TargetLeaving | RefusalCode::NoTarget => {
                course.leave(target);
                Next::Try
            }
            RefusalCode::AdapterNotLoaded if self.unowned(target) => {
                course.leave(target);
                Next::Try
            }
            _ if course.waited() >= PATIENCE => Next::GiveUp,
            _ => Next::PauseAndTry,
        }
    }

    /// The target may have begun the request: only what may be repeated or resumed goes on.
    fn after_doubt(
        &self,
        request: &CallerRequest,
        target: &str,
        refusal: Refusal,
        course: &mut Course,
        progress: &EntryProgress,
    ) -> Next {
        course.may_have_run = true;
        course.lost_owner |= refusal.code == RefusalCode::OwnerUnreachable;
        let foreign = refusal.code == RefusalCode::AnswerForeign;
        let late = refusal.code == RefusalCode::DeadlinePassed;
        let resumable = request.stream && request.model.is_some() && !foreign;
        let again = !late && (request.repeatable || resumable);
        if !again || !self.budget.spend(&request.service) {
            return Next::GiveUp;
        }
        match foreign {
            // Whatever it answers next may be as wrong.
            true => course.leave(target),
            false => course.begin_at(target, progress),
        }
        Next::PauseAndTry
    }

    fn unowned(
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

    /// What became of a key, as the owner of its target knows.
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

    fn note_resent(
        &self,
        request: &CallerRequest,
        target: &str,
        course: &Course,
    ) {
        let why = course.last.as_ref().map_or("", |last| last.code.word());
        self.metrics.resend(why);
        self.log.note(
            Event::RequestResent,
            &[("request", &request.id), ("from", &target), ("why", &why)],
        );
    }

    fn note_end(
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

impl Course {
    /// Does not try a target again.
    fn leave(
        &mut self,
        target: &str,
    ) {
        self.avoid.insert(target.to_string());
        if self.begun_at.as_deref() == Some(target) {
            self.begun_at = None;
        }
    }

    /// The request may run at a target: the next try comes back to it there.
    fn begin_at(
        &mut self,
        target: &str,
        progress: &EntryProgress,
    ) {
        let came_back = self.begun_at.as_deref() == Some(target);
        let stands_still = progress.next_index == self.begun_index;
        self.begun_index = progress.next_index;
        match came_back && stands_still {
            // Coming back did not help.
            true => self.leave(target),
            false => self.begun_at = Some(target.to_string()),
        }
    }

    fn waited(&mut self) -> Duration {
        self.waiting_since
            .get_or_insert_with(Instant::now)
            .elapsed()
    }

    fn next_pause(&mut self) -> Duration {
        self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        self.pause.mul_f64(rand::rng().random_range(0.5..1.0))
    }

    /// The end of a request that got no answer.
    fn end(
        self,
        fallback: Refusal,
    ) -> EntryEnd {
        let refusal = self.last.unwrap_or(fallback);
        match self.may_have_run {
            true => EntryEnd::Unknown(refusal),
            false => EntryEnd::NotRun(refusal),
        }
    }
}

/// Without an owner, and without a table to make one, what is loaded may still be used.
///
/// A target that does not check fences might still obey its former owner.
fn may_run_unowned(
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

fn next_if(again: bool) -> Next {
    match again {
        true => Next::Try,
        false => Next::GiveUp,
    }
}
