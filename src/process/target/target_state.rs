use {
    super::{
        AdapterSlot, Admission, SlotState, TargetAction, TargetHealth, Ticket, TicketId, WaitQueue,
        choose_drop, wait_queue::weight,
    },
    crate::{
        connection::target::{AdapterState, EngineOrder, EngineReport},
        errors::TargetError,
        request::{Refusal, RefusalCode},
        version::{AdapterVersion, TargetSpec},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Told to those whose load failed.
const RETRY_AFTER_FAILED_LOAD: Duration = Duration::from_secs(1);

/// Told to those who find the target full.
const RETRY_WHEN_FULL: Duration = Duration::from_millis(500);

/// A request that was given up may still reach the engine within this time.
const SEND_GRACE: Duration = Duration::from_millis(500);

/// An order whose outcome no report has told by then counts as failed for those who wait.
const UNSURE_LIMIT: Duration = Duration::from_millis(1_500);

/// An adapter whose load failed is not asked for again before this time.
const LOAD_PAUSE: Duration = Duration::from_millis(500);

/// The state of one owned target: adapters, running and waiting requests.
///
/// Pure: events and the time go in, actions come out.
pub struct TargetState {
    spec: TargetSpec,
    fence: u64,
    /// Term of the lease that the target was gained in.
    term: u64,
    /// True once the engine is seen to refuse older fences.
    raised: bool,
    /// Until then, adapters that this owner did not use itself count as in use.
    unknown_until: Instant,
    boot: Option<u64>,
    slots: BTreeMap<AdapterVersion, AdapterSlot>,
    running: BTreeMap<TicketId, Option<AdapterVersion>>,
    waiting: WaitQueue,
    /// Requests that former owners still run, by the last report.
    foreign_running: u32,
    asked: BTreeSet<AdapterVersion>,
    granted: BTreeSet<AdapterVersion>,
    paused_loads: BTreeMap<AdapterVersion, Instant>,
    health: TargetHealth,
    max_waiting: usize,
    may_drop: bool,
    last_report: Option<Instant>,
}

impl TargetState {
    pub fn new(
        spec: TargetSpec,
        fence: u64,
        term: u64,
        pin_quiet: Duration,
        queue_factor: f64,
        now: Instant,
    ) -> Self {
        let max_waiting = (spec.max_running() as f64 * queue_factor) as usize;
        Self {
            spec,
            fence,
            term,
            raised: false,
            unknown_until: now + pin_quiet,
            boot: None,
            slots: BTreeMap::new(),
            running: BTreeMap::new(),
            waiting: WaitQueue::default(),
            foreign_running: 0,
            asked: BTreeSet::new(),
            granted: BTreeSet::new(),
            paused_loads: BTreeMap::new(),
            health: TargetHealth::default(),
            max_waiting,
            may_drop: true,
            last_report: None,
        }
    }

    pub fn fence(&self) -> u64 {
        self.fence
    }

    pub fn spec(&self) -> &TargetSpec {
        &self.spec
    }

    pub fn slots(&self) -> &BTreeMap<AdapterVersion, AdapterSlot> {
        &self.slots
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// True once the engine has reported and obeys no older fence, or neither is needed.
    pub fn is_known(&self) -> bool {
        self.spec.engine().is_none() || self.last_report.is_some() && self.is_raised()
    }

    fn is_raised(&self) -> bool {
        self.raised || !self.spec.checks_fences
    }

    /// A later revision of the target's declaration.
    pub fn set_spec(
        &mut self,
        spec: TargetSpec,
    ) -> Vec<TargetAction> {
        let leaves = spec.leaving && !self.spec.leaving;
        self.spec = spec;
        match leaves {
            true => self.refuse_all(|_| leaving_refusal()),
            false => Vec::new(),
        }
    }

    /// Every request that waits is sent elsewhere: this process owns the target no more.
    pub fn give_up(&mut self) -> Vec<TargetAction> {
        self.refuse_all(|_| Refusal::elsewhere(RefusalCode::NotOwner))
    }

    /// A request arrives.
    pub fn on_arrival(
        &mut self,
        ticket: Ticket,
        now: Instant,
    ) -> Vec<TargetAction> {
        if let Some(refusal) = self.refuses(&ticket, now) {
            return vec![answer(ticket.id, Admission::Refused(refusal))];
        }
        self.waiting.push(ticket);
        let mut actions = self.shed(now);
        actions.extend(self.progress(now));
        actions
    }

    /// A request that waited or ran is over here.
    ///
    /// When its end was not seen at the engine (`settled` is false), the engine may still run it.
    pub fn on_end(
        &mut self,
        id: TicketId,
        settled: bool,
        now: Instant,
    ) -> Vec<TargetAction> {
        if self.waiting.remove(id).is_none()
            && let Some(Some(model)) = self.running.remove(&id)
            && let Some(slot) = self.slots.get_mut(&model)
        {
            slot.running = slot.running.saturating_sub(1);
            slot.last_used = now;
            if !settled {
                let until = now + SEND_GRACE;
                slot.unknown_until = slot.unknown_until.max(Some(until));
            }
        }
        self.progress(now)
    }

    /// The engine said that an adapter believed to be there is not.
    pub fn on_adapter_missing(
        &mut self,
        model: &AdapterVersion,
        now: Instant,
    ) -> Vec<TargetAction> {
        let ready = self
            .slots
            .get(model)
            .is_some_and(|slot| slot.state == SlotState::Ready);
        if ready {
            self.slots.remove(model);
        }
        self.progress(now)
    }

    /// Whether this owner may drop adapters at all.
    pub fn set_may_drop(
        &mut self,
        may_drop: bool,
    ) {
        self.may_drop = may_drop;
    }

    /// The target was reached, or not.
    pub fn on_contact(
        &mut self,
        reached: bool,
        now: Instant,
    ) {
        match reached {
            true => self.health.on_success(),
            false => self.health.on_failure(now),
        }
    }

    /// Whether failures have opened the target's circuit.
    pub fn is_failing(&self) -> bool {
        self.health.is_failing()
    }

    /// The engine's report, made at `made`; true when the engine has restarted.
    pub fn on_report(
        &mut self,
        report: &EngineReport,
        made: Instant,
        now: Instant,
    ) -> (bool, Vec<TargetAction>) {
        self.health.on_success();
        if self.last_report.is_some_and(|last| made < last) {
            return (false, Vec::new());
        }
        let restarted = self.boot.is_some_and(|boot| boot != report.boot);
        if restarted {
            self.slots.clear();
        }
        self.boot = Some(report.boot);
        self.last_report = Some(made);
        self.raised |= report.fence >= self.fence;
        for adapter in &report.adapters {
            self.see_adapter(adapter, made, now);
        }
        self.forget_missing(report, made);
        let own = self.running.len() as u32;
        self.foreign_running = (report.running + report.waiting).saturating_sub(own);
        if made >= self.unknown_until {
            self.foreign_running = 0;
        }
        let mut actions = self.progress(now);
        if !self.is_raised() {
            actions.push(self.order(EngineOrder::Raise));
        }
        (restarted, actions)
    }

    /// The site-wide permission to load has come.
    pub fn on_grant(
        &mut self,
        model: &AdapterVersion,
        now: Instant,
    ) -> Vec<TargetAction> {
        self.asked.remove(model);
        let wanted = self.waiting.wants(model) && !self.slots.contains_key(model);
        if !wanted {
            return vec![release(model)];
        }
        self.granted.insert(model.clone());
        self.progress(now)
    }

    /// The permission did not come in time; the ask is made anew with today's score.
    pub fn on_not_granted(
        &mut self,
        model: &AdapterVersion,
        now: Instant,
    ) -> Vec<TargetAction> {
        self.asked.remove(model);
        self.progress(now)
    }

    /// An order has ended.
    pub fn on_order_end(
        &mut self,
        order: &EngineOrder,
        outcome: &Result<(), TargetError>,
        now: Instant,
    ) -> Vec<TargetAction> {
        match order {
            EngineOrder::LoadAdapter { model } => self.on_load_end(model, outcome, now),
            EngineOrder::UnloadAdapter { model } => self.on_drop_end(model, outcome, now),
            EngineOrder::Raise => {
                self.raised |= outcome.is_ok();
                self.progress(now)
            }
            _ => Vec::new(),
        }
    }

    /// Passes time: those whose deadline has come are told that they were not run.
    pub fn on_tick(
        &mut self,
        now: Instant,
    ) -> Vec<TargetAction> {
        let late = self.waiting.take_if(|ticket| ticket.deadline <= now);
        let mut actions: Vec<TargetAction> = late
            .into_iter()
            .map(|ticket| {
                let refusal = Refusal::not_run(RefusalCode::DeadlineInQueue, RETRY_WHEN_FULL);
                answer(ticket.id, Admission::Refused(refusal))
            })
            .collect();
        self.paused_loads.retain(|_, until| *until > now);
        for model in self.unsettled(now) {
            actions.extend(self.refuse_load(&model, now));
        }
        actions.extend(self.progress(now));
        actions
    }

    fn refuses(
        &self,
        ticket: &Ticket,
        now: Instant,
    ) -> Option<Refusal> {
        if self.spec.leaving {
            return Some(leaving_refusal());
        }
        if self.health.is_open(now) {
            return Some(Refusal::elsewhere(RefusalCode::TargetUnreachable));
        }
        if ticket.deadline <= now {
            return Some(Refusal::not_run(
                RefusalCode::DeadlinePassed,
                Duration::ZERO,
            ));
        }
        let model = ticket.model.as_ref()?;
        let absent = !self.slots.contains_key(model);
        if absent && !ticket.may_load && self.is_known() {
            return Some(Refusal::elsewhere(RefusalCode::AdapterNotLoaded));
        }
        if absent && self.paused_loads.contains_key(model) {
            return Some(Refusal::not_run(RefusalCode::LoadFailed, LOAD_PAUSE));
        }
        None
    }

    /// Sheds the least worthy request when more wait than may.
    fn shed(
        &mut self,
        now: Instant,
    ) -> Vec<TargetAction> {
        let mut actions = Vec::new();
        while self.waiting.len() > self.max_waiting.max(1) {
            let Some(least) = self.waiting.least(now).map(|ticket| ticket.id) else {
                break;
            };
            self.waiting.remove(least);
            let mut refusal = Refusal::elsewhere(RefusalCode::Overloaded);
            refusal.retry_after = RETRY_WHEN_FULL;
            actions.push(answer(least, Admission::Refused(refusal)));
        }
        actions
    }

    /// Starts what can start, drops and loads what should be dropped and loaded.
    fn progress(
        &mut self,
        now: Instant,
    ) -> Vec<TargetAction> {
        if !self.is_known() {
            return Vec::new();
        }
        let mut actions = self.start_ready(now);
        if self.spec.engine().is_some() {
            actions.extend(self.use_grants(now));
            actions.extend(self.ask_loads(now));
        }
        actions
    }

    fn start_ready(
        &mut self,
        now: Instant,
    ) -> Vec<TargetAction> {
        let mut actions = Vec::new();
        while self.has_room() {
            let best = self.waiting.best(|ticket| self.is_ready(ticket), now);
            let Some(ticket) = best.and_then(|id| self.waiting.remove(id)) else {
                break;
            };
            actions.push(self.start(ticket, now));
        }
        actions
    }

    fn has_room(&self) -> bool {
        self.running.len() + (self.foreign_running as usize) < self.spec.max_running()
    }

    fn is_ready(
        &self,
        ticket: &Ticket,
    ) -> bool {
        match &ticket.model {
            None => true,
            Some(model) => self
                .slots
                .get(model)
                .is_some_and(|slot| slot.state == SlotState::Ready),
        }
    }

    fn start(
        &mut self,
        ticket: Ticket,
        now: Instant,
    ) -> TargetAction {
        let mut load_wait = Duration::ZERO;
        if let Some(slot) = ticket
            .model
            .as_ref()
            .and_then(|model| self.slots.get_mut(model))
        {
            slot.running += 1;
            slot.note_use(now);
            load_wait = slot.since.saturating_duration_since(ticket.arrived);
        }
        self.running.insert(ticket.id, ticket.model);
        let admission = Admission::Run {
            fence: self.fence,
            term: self.term,
            load_wait,
        };
        answer(ticket.id, admission)
    }

    /// Turns permissions into orders: a drop first where the engine is full.
    fn use_grants(
        &mut self,
        now: Instant,
    ) -> Vec<TargetAction> {
        let mut actions = Vec::new();
        for model in self.granted.clone() {
            if !self.waiting.wants(&model) {
                self.granted.remove(&model);
                actions.push(release(&model));
                continue;
            }
            if self.slots.len() < self.adapter_room() {
                self.granted.remove(&model);
                let slot = AdapterSlot::new(SlotState::Loading, now);
                self.slots.insert(model.clone(), slot);
                actions.push(self.order(EngineOrder::LoadAdapter { model }));
                continue;
            }
            let dropping = self
                .slots
                .values()
                .any(|slot| slot.state == SlotState::Dropping);
            if dropping {
                continue;
            }
            match self.drop_one(now) {
                Some(drop) => actions.push(drop),
                // Others wait for the permission; it is asked for again when a slot is idle.
                None => {
                    self.granted.remove(&model);
                    actions.push(release(&model));
                }
            }
        }
        actions
    }

    fn drop_one(
        &mut self,
        now: Instant,
    ) -> Option<TargetAction> {
        if !self.may_drop {
            return None;
        }
        let waiting = &self.waiting;
        let model = choose_drop(&self.slots, |model| waiting.wants(model), now)?;
        let slot = self.slots.get_mut(&model)?;
        slot.state = SlotState::Dropping;
        slot.since = now;
        Some(self.order(EngineOrder::UnloadAdapter { model }))
    }

    fn ask_loads(
        &mut self,
        now: Instant,
    ) -> Vec<TargetAction> {
        if !self.could_make_room() {
            return Vec::new();
        }
        let demand = self.waiting.demand(now);
        let mut actions = Vec::new();
        for (model, demand) in demand {
            let busy = self.slots.contains_key(&model)
                || self.granted.contains(&model)
                || self.paused_loads.contains_key(&model)
                || !self.asked.insert(model.clone());
            if !busy {
                actions.push(TargetAction::AskLoad {
                    model,
                    score: demand.score,
                    patience: demand.latest_deadline.saturating_duration_since(now),
                });
            }
        }
        actions
    }

    /// A permission is asked for only when it could be used, as the others wait for it.
    fn could_make_room(&self) -> bool {
        let idle = self
            .slots
            .iter()
            .any(|(model, slot)| slot.is_idle() && !self.waiting.wants(model));
        idle && self.may_drop || self.slots.len() < self.adapter_room()
    }

    fn adapter_room(&self) -> usize {
        self.spec.engine().map_or(0, |engine| engine.adapter_slots)
    }

    fn on_load_end(
        &mut self,
        model: &AdapterVersion,
        outcome: &Result<(), TargetError>,
        now: Instant,
    ) -> Vec<TargetAction> {
        let mut actions = vec![release(model)];
        let loading = self
            .slots
            .get(model)
            .is_some_and(|slot| slot.state == SlotState::Loading);
        match outcome {
            Ok(()) if loading => self.set_state(model, SlotState::Ready, now),
            Ok(()) => {}
            Err(error) if loading && !is_certain(error) => {
                self.set_state(model, SlotState::Unsure, now);
                // A lost reply is settled by the next report; a load that hangs is not waited for.
                if matches!(error, TargetError::TimedOut(_)) {
                    actions.extend(self.refuse_load(model, now));
                }
            }
            Err(_) => {
                if loading {
                    self.slots.remove(model);
                }
                actions.extend(self.refuse_load(model, now));
            }
        }
        actions.extend(self.progress(now));
        actions
    }

    /// Adapters that are waited for and whose last order no report has settled in time.
    fn unsettled(
        &self,
        now: Instant,
    ) -> Vec<AdapterVersion> {
        self.slots
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Unsure)
            .filter(|(_, slot)| now.saturating_duration_since(slot.since) >= UNSURE_LIMIT)
            .filter(|(model, _)| self.waiting.wants(model))
            .map(|(model, _)| model.clone())
            .collect()
    }

    /// Those who wait for a load that failed hear so at once.
    fn refuse_load(
        &mut self,
        model: &AdapterVersion,
        now: Instant,
    ) -> Vec<TargetAction> {
        self.paused_loads.insert(model.clone(), now + LOAD_PAUSE);
        self.refuse_if(|ticket| {
            let waits = ticket.model.as_ref() == Some(model);
            waits.then(|| {
                let mut refusal = Refusal::elsewhere(RefusalCode::LoadFailed);
                refusal.retry_after = RETRY_AFTER_FAILED_LOAD;
                refusal
            })
        })
    }

    fn on_drop_end(
        &mut self,
        model: &AdapterVersion,
        outcome: &Result<(), TargetError>,
        now: Instant,
    ) -> Vec<TargetAction> {
        let dropping = self
            .slots
            .get(model)
            .is_some_and(|slot| slot.state == SlotState::Dropping);
        if dropping {
            match outcome {
                Ok(()) => drop(self.slots.remove(model)),
                Err(_) => self.set_state(model, SlotState::Unsure, now),
            }
        }
        self.progress(now)
    }

    fn set_state(
        &mut self,
        model: &AdapterVersion,
        state: SlotState,
        now: Instant,
    ) {
        if let Some(slot) = self.slots.get_mut(model) {
            slot.state = state;
            slot.since = now;
        }
    }

    fn see_adapter(
        &mut self,
        adapter: &crate::connection::target::AdapterReport,
        made: Instant,
        now: Instant,
    ) {
        let unknown_until = self.unknown_until;
        let slot = self.slots.entry(adapter.model.clone()).or_insert_with(|| {
            let mut slot = AdapterSlot::new(SlotState::Unsure, now);
            slot.unknown_until = Some(unknown_until);
            // Older than any order, so that the report may settle its state.
            slot.since = made;
            slot
        });
        slot.reported = adapter.running;
        if adapter.running > 0 {
            slot.last_used = now;
        }
        let quiet = slot.unknown_until.is_some_and(|until| made >= until);
        if quiet && adapter.running == 0 {
            slot.unknown_until = None;
        }
        // A report made before the last order says nothing about its outcome.
        if slot.state == SlotState::Unsure && made >= slot.since {
            slot.state = match adapter.state {
                AdapterState::Ready => SlotState::Ready,
                AdapterState::Loading => SlotState::Unsure,
            };
        }
    }

    /// An adapter that a report made after its last change leaves out is not there.
    fn forget_missing(
        &mut self,
        report: &EngineReport,
        made: Instant,
    ) {
        let listed: BTreeSet<&AdapterVersion> = report
            .adapters
            .iter()
            .map(|adapter| &adapter.model)
            .collect();
        self.slots.retain(|model, slot| {
            let settled = matches!(slot.state, SlotState::Ready | SlotState::Unsure);
            listed.contains(model) || !settled || made < slot.since
        });
    }

    fn order(
        &self,
        order: EngineOrder,
    ) -> TargetAction {
        TargetAction::Order {
            fence: self.fence,
            term: self.term,
            order,
        }
    }

    fn refuse_all(
        &mut self,
        refusal: impl Fn(&Ticket) -> Refusal,
    ) -> Vec<TargetAction> {
        self.refuse_if(|ticket| Some(refusal(ticket)))
    }

    fn refuse_if(
        &mut self,
        refusal: impl Fn(&Ticket) -> Option<Refusal>,
    ) -> Vec<TargetAction> {
        let refused = self.waiting.take_if(|ticket| refusal(ticket).is_some());
        refused
            .into_iter()
            .filter_map(|ticket| {
                let refusal = refusal(&ticket)?;
                Some(answer(ticket.id, Admission::Refused(refusal)))
            })
            .collect()
    }

    /// Weight of everything that waits, for operators.
    pub fn waiting_weight(
        &self,
        now: Instant,
    ) -> f64 {
        self.waiting.iter().map(|ticket| weight(ticket, now)).sum()
    }
}

/// True when a failed order surely left nothing behind.
fn is_certain(error: &TargetError) -> bool {
    matches!(
        error,
        TargetError::NotReached(_) | TargetError::OrderFailed(_) | TargetError::FencedOff
    )
}

fn leaving_refusal() -> Refusal {
    Refusal::elsewhere(RefusalCode::TargetLeaving)
}

fn answer(
    ticket: TicketId,
    admission: Admission,
) -> TargetAction {
    TargetAction::Answer { ticket, admission }
}

fn release(model: &AdapterVersion) -> TargetAction {
    TargetAction::ReleaseLoad {
        model: model.clone(),
    }
}
