use {
    super::{
        AnswerHead, AnswerPart, AttemptLedger, AttemptRecord, AttemptState, Claim, ClaimStore,
        PartSender, Refusal, RefusalCode, RunEnd, TargetRun,
    },
    crate::{
        clock::{Instant, timeout_at},
        connection::{
            peer::wire::{ForwardRequest, OutcomeReply},
            target::TargetClient,
        },
        process::{
            control::{ControlHandle, SharedView},
            node::ActiveWork,
            ownership::SessionLease,
            target::{Admission, Ticket},
        },
        timeline::EventLog,
        version::{AdapterVersion, TargetSpec},
    },
    std::{sync::Arc, time::Duration},
};

/// Dependencies of [`OwnerService`].
pub struct OwnerContext {
    pub control: ControlHandle,
    pub view: SharedView,
    pub lease: SessionLease,
    pub client: TargetClient,
    pub ledger: AttemptLedger,
    pub claims: ClaimStore,
    pub log: EventLog,
    pub active: ActiveWork,
}

/// Runs forwarded requests at the targets that this process owns.
#[derive(Clone)]
pub struct OwnerService {
    context: Arc<OwnerContext>,
}

/// Permission by which a request is sent to its target.
#[derive(Debug, Clone, Copy)]
enum Permission {
    /// This process owns the target and admits the request.
    Owner,
    /// No host can currently own the target; the fence of its last owner is still valid.
    Unowned { fence: u64 },
}

/// What to do with a request, according to the record of its key.
enum KeyCheck {
    Run,
    Known(AttemptState),
    Refused(Refusal),
}

impl OwnerService {
    pub fn new(context: Arc<OwnerContext>) -> Self {
        Self { context }
    }

    /// Runs a request and sends its answer to `parts`; the last part is the end or a refusal.
    pub async fn run(
        &self,
        request: ForwardRequest,
        parts: PartSender,
    ) {
        let _active = self.context.active.enter();
        self.run_permitted(request, Permission::Owner, parts).await;
    }

    /// Runs a request while no host can own its target.
    pub async fn run_unowned(
        &self,
        request: ForwardRequest,
        fence: u64,
        parts: PartSender,
    ) {
        let permission = Permission::Unowned { fence };
        self.run_permitted(request, permission, parts).await;
    }

    async fn run_permitted(
        &self,
        request: ForwardRequest,
        permission: Permission,
        parts: PartSender,
    ) {
        // The key of a resumed request is already recorded.
        let at_most_once = !request.repeatable && !request.key.is_empty() && !request.resumed;
        let end = match at_most_once {
            false => self.run_at_target(&request, permission, &parts).await,
            true => self.run_once(&request, permission, &parts).await,
        };
        if let RunEnd::Refused(refusal) = end {
            let _ = parts.send(AnswerPart::Refused(refusal)).await;
        }
    }

    /// Cancels a request at its target.
    pub async fn cancel(
        &self,
        target: &str,
        request_id: &str,
    ) {
        if let Some(spec) = self.spec(target)
            && spec.engine().is_some()
        {
            let client = &self.context.client;
            client.cancel(spec.address, request_id).await;
        }
    }

    /// Returns the recorded outcome of a key, from this host or from the table.
    pub async fn outcome(
        &self,
        service: &str,
        key: &str,
    ) -> OutcomeReply {
        let context = &self.context;
        if let Some(record) = context.ledger.find(service, key) {
            return outcome_reply(&record.request_id, &record.state);
        }
        match context.claims.find(service, key).await {
            Ok(Some(claim)) => outcome_reply(&claim.request_id, &claim.attempt_state()),
            _ => OutcomeReply::default(),
        }
    }

    /// Runs a non-repeatable request, at most once per key.
    async fn run_once(
        &self,
        request: &ForwardRequest,
        permission: Permission,
        parts: &PartSender,
    ) -> RunEnd {
        let context = &self.context;
        let (service, key) = (&request.service, &request.key);
        match self.check_key(request).await {
            KeyCheck::Refused(refusal) => return RunEnd::Refused(refusal),
            KeyCheck::Known(state) => return self.replay(request, state, parts).await,
            KeyCheck::Run => {}
        }
        self.write_claim(request, &AttemptState::Running);
        let end = self.run_at_target(request, permission, parts).await;
        let state = match &end {
            RunEnd::Answered(cached) => AttemptState::Answered(cached.clone()),
            RunEnd::Refused(refusal) if refusal.may_have_run => AttemptState::Unknown,
            RunEnd::Refused(_) => {
                context.ledger.release(service, key);
                context.claims.write_behind(service, key, None);
                return end;
            }
        };
        self.write_claim(request, &state);
        context.ledger.end(service, key, state);
        end
    }

    /// Decides from the record of the key whether the request may run.
    async fn check_key(
        &self,
        request: &ForwardRequest,
    ) -> KeyCheck {
        let context = &self.context;
        let (service, key) = (&request.service, &request.key);
        let is_later = request.attempt > 1;
        let recorded = match is_later {
            true => context.ledger.find(service, key),
            false => context.ledger.begin(service, key, &request.request_id),
        };
        if let Some(record) = recorded {
            return self.wait_for_attempt(request, record).await;
        }
        if is_later {
            return self.find_later_attempt(request).await;
        }
        if request.attempt == 1 && !request.check_claims {
            return KeyCheck::Run;
        }
        let claim = Claim::new(&request.request_id, &AttemptState::Running);
        match context.claims.insert(service, key, claim).await {
            Ok(None) => KeyCheck::Run,
            Ok(Some(found)) => {
                let state = found.attempt_state();
                context.ledger.end(service, key, state.clone());
                KeyCheck::Known(state)
            }
            // No earlier attempt can have run.
            Err(_) if request.attempt == 1 => KeyCheck::Run,
            Err(_) => {
                context.ledger.release(service, key);
                let retry_after = Duration::from_secs(1);
                KeyCheck::Refused(Refusal::not_run(RefusalCode::ClaimUnreadable, retry_after))
            }
        }
    }

    /// Looks up a later attempt that has no record on this host; it never runs.
    async fn find_later_attempt(
        &self,
        request: &ForwardRequest,
    ) -> KeyCheck {
        let claims = &self.context.claims;
        match claims.find(&request.service, &request.key).await {
            Ok(Some(claim)) => KeyCheck::Known(claim.attempt_state()),
            _ => KeyCheck::Refused(Refusal::unknown(RefusalCode::AttemptUnrecorded)),
        }
    }

    /// Waits until the recorded attempt has ended.
    async fn wait_for_attempt(
        &self,
        request: &ForwardRequest,
        record: AttemptRecord,
    ) -> KeyCheck {
        if record.state != AttemptState::Running {
            return KeyCheck::Known(record.state);
        }
        let ledger = &self.context.ledger;
        let ended = ledger.wait_until_ended(&request.service, &request.key, deadline(request));
        match ended.await {
            Some(record) => KeyCheck::Known(record.state),
            // The other attempt did not run, and the key was released.
            None => KeyCheck::Refused(Refusal::elsewhere(RefusalCode::NotOwner)),
        }
    }

    /// Answers a later attempt with the outcome of the first one.
    async fn replay(
        &self,
        request: &ForwardRequest,
        state: AttemptState,
        parts: &PartSender,
    ) -> RunEnd {
        let cached = match state {
            AttemptState::Answered(Some(cached)) => cached,
            AttemptState::Answered(None) => {
                return RunEnd::Refused(Refusal::unknown(RefusalCode::AlreadyAnswered));
            }
            AttemptState::Running | AttemptState::Unknown => {
                return RunEnd::Refused(Refusal::unknown(RefusalCode::AttemptUndecided));
            }
        };
        let head = AnswerHead {
            status: cached.status,
            headers: cached.headers.clone(),
            target: request.target.clone(),
            load_wait: Duration::ZERO,
            replayed: true,
        };
        let data = cached.body.clone();
        let events = AnswerPart::Events {
            index: 0,
            count: 1,
            data,
        };
        for part in [AnswerPart::Head(head), events, AnswerPart::End] {
            let _ = parts.send(part).await;
        }
        RunEnd::Answered(Some(cached))
    }

    async fn run_at_target(
        &self,
        request: &ForwardRequest,
        permission: Permission,
        parts: &PartSender,
    ) -> RunEnd {
        let Some(spec) = self.spec(&request.target) else {
            return RunEnd::Refused(Refusal::elsewhere(RefusalCode::NoTarget));
        };
        let deadline = deadline(request);
        let work = async {
            match permission {
                Permission::Owner => self.admit_and_send(&spec, request, deadline, parts).await,
                Permission::Unowned { fence } => {
                    let run = self.target_run(&spec, request, fence, Duration::ZERO, parts);
                    with_deadline(deadline, run.send(None)).await
                }
            }
        };
        tokio::select! {
            end = work => end,
            () = parts.closed() => RunEnd::Refused(Refusal::unknown(RefusalCode::AnswerLost)),
        }
    }

    async fn admit_and_send(
        &self,
        spec: &TargetSpec,
        request: &ForwardRequest,
        deadline: Instant,
        parts: &PartSender,
    ) -> RunEnd {
        let context = &self.context;
        // Only streams can be resumed; other answers are generated again.
        if request.resumed && request.stream {
            let run = self.target_run(spec, request, 0, Duration::ZERO, parts);
            let resumed = timeout_at(deadline, run.resume()).await;
            match resumed {
                Ok(Some(end)) => return end,
                Ok(None) if request.repeatable => {}
                _ => return answer_lost(),
            }
        }
        let ticket = Ticket {
            id: context.control.next_ticket(),
            model: model(request),
            priority: request.priority as u8,
            worth: request.worth,
            arrived: Instant::now(),
            deadline,
            may_load: request.may_load,
        };
        let (mut permit, verdict) = context.control.admit(&request.target, ticket);
        let (fence, term, load_wait) = match verdict.await {
            Ok(Admission::Run {
                fence,
                term,
                load_wait,
            }) => (fence, term, load_wait),
            Ok(Admission::Refused(refusal)) => return RunEnd::Refused(refusal),
            Err(_) => return RunEnd::Refused(Refusal::elsewhere(RefusalCode::HostStopping)),
        };
        // Checked last, as this process may have been paused since the request was admitted.
        if !spec.checks_fences && !self.can_send_unfenced(term) {
            return RunEnd::Refused(Refusal::elsewhere(RefusalCode::NotOwner));
        }
        let run = self.target_run(spec, request, fence, load_wait, parts);
        with_deadline(deadline, run.send(Some(&mut permit))).await
    }

    fn target_run<'a>(
        &'a self,
        spec: &'a TargetSpec,
        request: &'a ForwardRequest,
        fence: u64,
        load_wait: Duration,
        parts: &'a PartSender,
    ) -> TargetRun<'a> {
        TargetRun {
            client: &self.context.client,
            control: &self.context.control,
            log: &self.context.log,
            spec,
            request,
            model: model(request),
            fence,
            load_wait,
            parts,
        }
    }

    /// Returns true if no newer owner can exist for a target that does not check fences: the lease is still held, or the
    /// table is unreachable for all hosts.
    fn can_send_unfenced(
        &self,
        term: u64,
    ) -> bool {
        let context = &self.context;
        context.lease.is_valid_in(term, Instant::now()) || context.view.load().table_out_for_all
    }

    fn spec(
        &self,
        target: &str,
    ) -> Option<TargetSpec> {
        let view = self.context.view.load();
        view.config.targets.get(target).cloned()
    }

    fn write_claim(
        &self,
        request: &ForwardRequest,
        state: &AttemptState,
    ) {
        let claim = Claim::new(&request.request_id, state);
        let claims = &self.context.claims;
        claims.write_behind(&request.service, &request.key, Some(claim));
    }
}

/// Ends a run at the deadline, with an unknown outcome.
async fn with_deadline(
    deadline: Instant,
    run: impl Future<Output = RunEnd>,
) -> RunEnd {
    let late = RunEnd::Refused(Refusal::unknown(RefusalCode::DeadlinePassed));
    timeout_at(deadline, run).await.unwrap_or(late)
}

fn answer_lost() -> RunEnd {
    RunEnd::Refused(Refusal::unknown(RefusalCode::AnswerLost))
}

fn deadline(request: &ForwardRequest) -> Instant {
    Instant::now() + Duration::from_millis(request.deadline_ms)
}

fn model(request: &ForwardRequest) -> Option<AdapterVersion> {
    AdapterVersion::new(&request.adapter, &request.version).ok()
}

fn outcome_reply(
    request_id: &str,
    state: &AttemptState,
) -> OutcomeReply {
    let outcome = match state {
        AttemptState::Running => "running",
        AttemptState::Answered(_) => "answered",
        AttemptState::Unknown => "unknown",
    };
    OutcomeReply {
        outcome: outcome.to_string(),
        request_id: request_id.to_string(),
    }
}
