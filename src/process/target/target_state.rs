use {
    super::{
        AdapterSlot, Admission, SlotState, TargetAction, TargetHealth, Ticket, TicketId, WaitQueue,
    },
    crate::{
        clock::Instant,
        connection::target::EngineOrder,
        request::{Refusal, RefusalCode},
        version::{AdapterVersion, TargetSpec},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Told to those who find the target full.
const RETRY_WHEN_FULL: Duration = Duration::from_millis(500);

/// A request that was given up may still reach the engine within this time.
const SEND_GRACE: Duration = Duration::from_millis(500);

/// An adapter whose load failed is not asked for again before this time.
pub(super) const LOAD_PAUSE: Duration = Duration::from_millis(500);

/// The state of one owned target: adapters, running and waiting requests.
///
/// Pure: events and the time go in, actions come out.
pub struct TargetState {
    pub(super) spec: TargetSpec,
    pub(super) fence: u64,
    /// Term of the lease that the target was gained in.
    pub(super) term: u64,
    /// True once the engine is seen to refuse older fences.
    pub(super) raised: bool,
    /// Until then, adapters that this owner did not use itself count as in use.
    pub(super) unknown_until: Instant,
    pub(super) boot: Option<u64>,
    pub(super) slots: BTreeMap<AdapterVersion, AdapterSlot>,
    pub(super) running: BTreeMap<TicketId, Option<AdapterVersion>>,
    pub(super) waiting: WaitQueue,
    /// Requests that former owners still run, by the last report.
    pub(super) foreign_running: u32,
    pub(super) asked: BTreeSet<AdapterVersion>,
    pub(super) granted: BTreeSet<AdapterVersion>,
    pub(super) paused_loads: BTreeMap<AdapterVersion, Instant>,
    pub(super) health: TargetHealth,
    pub(super) max_waiting: usize,
    pub(super) may_drop: bool,
    pub(super) last_report: Option<Instant>,
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

    pub(super) fn is_raised(&self) -> bool {
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

    pub(super) fn refuses(
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
    pub(super) fn shed(
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
    pub(super) fn progress(
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

    pub(super) fn start_ready(
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

    pub(super) fn has_room(&self) -> bool {
        self.running.len() + (self.foreign_running as usize) < self.spec.max_running()
    }

    pub(super) fn is_ready(
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

    pub(super) fn start(
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

    pub(super) fn order(
        &self,
        order: EngineOrder,
    ) -> TargetAction {
        TargetAction::Order {
            fence: self.fence,
            term: self.term,
            order,
        }
    }

    pub(super) fn refuse_all(
        &mut self,
        refusal: impl Fn(&Ticket) -> Refusal,
    ) -> Vec<TargetAction> {
        self.refuse_if(|ticket| Some(refusal(ticket)))
    }

    pub(super) fn refuse_if(
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
}

fn leaving_refusal() -> Refusal {
    Refusal::elsewhere(RefusalCode::TargetLeaving)
}

pub(super) fn answer(
    ticket: TicketId,
    admission: Admission,
) -> TargetAction {
    TargetAction::Answer { ticket, admission }
}
