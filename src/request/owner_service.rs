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

/// What the service of an owner needs from its process.
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

/// By whose leave a request is sent to its target.
#[derive(Debug, Clone, Copy)]
enum Leave {
    /// This process owns the target and admits the request.
    OfOwner,
    /// No host can own the target for now; its last owner's fence still holds there.
    Unowned { fence: u64 },
}

/// How a request goes on after a look at its key.
enum KeyVerdict {
    Run,
    Known(AttemptState),
    Refused(Refusal),
}

impl OwnerService {
    pub fn new(context: Arc<OwnerContext>) -> Self {
        Self { context }
    }

    /// Runs a request and puts its answer into `parts`; the last part tells how it ended.
    pub async fn run(
        &self,
        request: ForwardRequest,
        parts: PartSender,
    ) {
        let _active = self.context.active.enter();
        self.run_with(request, Leave::OfOwner, parts).await;
    }

    /// Runs a request from here while nobody can take its target over: at an engine only if its
    /// adapter is loaded.
    pub async fn run_unowned(
        &self,
        request: ForwardRequest,
        fence: u64,
        parts: PartSender,
    ) {
        let leave = Leave::Unowned { fence };
        self.run_with(request, leave, parts).await;
    }

    async fn run_with(
        &self,
        request: ForwardRequest,
        leave: Leave,
        parts: PartSender,
    ) {
        // What is resumed has its key on record already.
        let once = !request.repeatable && !request.key.is_empty() && !request.resumed;
        let end = match once {
            false => self.run_at_target(&request, leave, &parts).await,
            true => self.run_once(&request, leave, &parts).await,
        };
        if let RunEnd::Refused(refusal) = end {
            let _ = parts.send(AnswerPart::Refused(refusal)).await;
        }
    }

    /// Stops a request's work at its target.
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

    /// What is on record for a key, here or in the table.
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

    /// Runs a request that may not be repeated, at most once for its key.
    async fn run_once(
        &self,
        request: &ForwardRequest,
        leave: Leave,
        parts: &PartSender,
    ) -> RunEnd {
        let context = &self.context;
        let (service, key) = (&request.service, &request.key);
        match self.key_verdict(request).await {
            KeyVerdict::Refused(refusal) => return RunEnd::Refused(refusal),
            KeyVerdict::Known(state) => return self.known(request, state, parts).await,
            KeyVerdict::Run => {}
        }
        self.write_claim(request, &AttemptState::Running);
        let end = self.run_at_target(request, leave, parts).await;
        let state = match &end {
            RunEnd::Answered(kept) => AttemptState::Answered(kept.clone()),
            RunEnd::Refused(refusal) if refusal.may_have_run => AttemptState::Unknown,
            RunEnd::Refused(_) => {
                context.ledger.forget(service, key);
                context.claims.write_behind(service, key, None);
                return end;
            }
        };
        self.write_claim(request, &state);
        context.ledger.end(service, key, state);
        end
    }

    /// Decides by the key's record whether the request may run.
    async fn key_verdict(
        &self,
        request: &ForwardRequest,
    ) -> KeyVerdict {
        let context = &self.context;
        let (service, key) = (&request.service, &request.key);
        let later = request.attempt > 1;
        let on_record = match later {
            true => context.ledger.find(service, key),
            false => context.ledger.begin(service, key, &request.request_id),
        };
        if let Some(record) = on_record {
            return self.settled(request, record).await;
        }
        if later {
            return self.later_attempt(request).await;
        }
        if request.attempt == 1 && !request.check_claims {
            return KeyVerdict::Run;
        }
        let claim = Claim::new(&request.request_id, &AttemptState::Running);
        match context.claims.insert(service, key, claim).await {
            Ok(None) => KeyVerdict::Run,
            Ok(Some(found)) => {
                let state = found.attempt_state();
                context.ledger.end(service, key, state.clone());
                KeyVerdict::Known(state)
            }
            // A first attempt cannot have run before.
            Err(_) if request.attempt == 1 => KeyVerdict::Run,
            Err(_) => {
                context.ledger.forget(service, key);
                let pause = Duration::from_secs(1);
                KeyVerdict::Refused(Refusal::not_run(RefusalCode::ClaimUnreadable, pause))
            }
        }
    }

    /// A later attempt without a record here: it runs in no case.
    async fn later_attempt(
        &self,
        request: &ForwardRequest,
    ) -> KeyVerdict {
        let claims = &self.context.claims;
        match claims.find(&request.service, &request.key).await {
            Ok(Some(claim)) => KeyVerdict::Known(claim.attempt_state()),
            _ => KeyVerdict::Refused(Refusal::unknown(RefusalCode::AttemptUnrecorded)),
        }
    }

    /// Waits for the attempt that runs now.
    async fn settled(
        &self,
        request: &ForwardRequest,
        record: AttemptRecord,
    ) -> KeyVerdict {
        if record.state != AttemptState::Running {
            return KeyVerdict::Known(record.state);
        }
        let ledger = &self.context.ledger;
        let ended = ledger.ended(&request.service, &request.key, deadline(request));
        match ended.await {
            Some(record) => KeyVerdict::Known(record.state),
            // The other attempt was not run, so the key is free again.
            None => KeyVerdict::Refused(Refusal::elsewhere(RefusalCode::NotOwner)),
        }
    }

    /// Gives a later attempt what the first one got.
    async fn known(
        &self,
        request: &ForwardRequest,
        state: AttemptState,
        parts: &PartSender,
    ) -> RunEnd {
        let kept = match state {
            AttemptState::Answered(Some(kept)) => kept,
            AttemptState::Answered(None) => {
                return RunEnd::Refused(Refusal::unknown(RefusalCode::AlreadyAnswered));
            }
            AttemptState::Running | AttemptState::Unknown => {
                return RunEnd::Refused(Refusal::unknown(RefusalCode::AttemptUndecided));
            }
        };
        let head = AnswerHead {
            status: kept.status,
            headers: kept.headers.clone(),
            target: request.target.clone(),
            load_wait: Duration::ZERO,
            replayed: true,
        };
        let data = kept.body.clone();
        let events = AnswerPart::Events {
            index: 0,
            count: 1,
            data,
        };
        for part in [AnswerPart::Head(head), events, AnswerPart::End] {
            let _ = parts.send(part).await;
        }
        RunEnd::Answered(Some(kept))
    }

    async fn run_at_target(
        &self,
        request: &ForwardRequest,
        leave: Leave,
        parts: &PartSender,
    ) -> RunEnd {
        let Some(spec) = self.spec(&request.target) else {
            return RunEnd::Refused(Refusal::elsewhere(RefusalCode::NoTarget));
        };
        let deadline = deadline(request);
        let work = async {
            match leave {
                Leave::OfOwner => self.admit_and_send(&spec, request, deadline, parts).await,
                Leave::Unowned { fence } => {
                    let run = self.target_run(&spec, request, fence, Duration::ZERO, parts);
                    bounded(deadline, run.send(None)).await
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
        // Only a stream can be come back to; a whole answer is run anew.
        if request.resumed && request.stream {
            let run = self.target_run(spec, request, 0, Duration::ZERO, parts);
            let resumed = timeout_at(deadline, run.resume()).await;
            match resumed {
                Ok(Some(end)) => return end,
                Ok(None) if request.repeatable => {}
                _ => return lost(),
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
        // Looked at last, as this process may have been paused since it was admitted.
        if !spec.checks_fences && !self.may_send_unfenced(term) {
            return RunEnd::Refused(Refusal::elsewhere(RefusalCode::NotOwner));
        }
        let run = self.target_run(spec, request, fence, load_wait, parts);
        bounded(deadline, run.send(Some(&mut permit))).await
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

    /// Without fences, only a held lease keeps a newer owner away, or a table out for all.
    fn may_send_unfenced(
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

/// Ends a run at its deadline; by then the target may have begun it.
async fn bounded(
    deadline: Instant,
    run: impl Future<Output = RunEnd>,
) -> RunEnd {
    let late = RunEnd::Refused(Refusal::unknown(RefusalCode::DeadlinePassed));
    timeout_at(deadline, run).await.unwrap_or(late)
}

fn lost() -> RunEnd {
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
