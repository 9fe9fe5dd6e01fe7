use {
    crate::{clock::Instant, formats::TargetStart},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Rejections count for so long: a second, and the time by which the reports of hosts differ.
const WINDOW: Duration = Duration::from_millis(1250);

/// A permit whose request is neither accepted nor rejected, as its host is gone, counts for so long.
const UNREPORTED_TTL: Duration = Duration::from_secs(3);

/// An accepted request whose end is not reported counts for so long.
const RUNNING_TTL: Duration = Duration::from_secs(30);

/// Share of the bound that is used: hosts that do not know yet that a target is brittle ask for no permit.
const USED_SHARE: f64 = 0.8;

/// Time after which a denied permit is asked for again: about that in which a target accepts a request.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Whether a target has more room again is tried once in this time, divided by the rejections per second that it bears.
const RAISE_TIME: Duration = Duration::from_secs(4);
const MIN_RAISE_INTERVAL: Duration = Duration::from_millis(500);

/// Budgets without a request for this long are evicted.
const BUDGET_TTL: Duration = Duration::from_secs(60);

/// What has become of a request with a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitEvent {
    Accepted,
    Rejected,
    /// It has ended, or was never sent.
    Ended,
}

/// What is known of a target's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Rejections within the last second or so.
    pub rejected: usize,
    /// Requests with a permit that have not ended.
    pub running: usize,
}

/// The budgets of all brittle targets that this host counts.
#[derive(Debug, Default)]
pub struct RejectionBudgets {
    by_target: HashMap<Arc<str>, RejectionBudget>,
}

impl RejectionBudgets {
    /// Grants a permit to send one request to a target that bears `bound` rejections per second, or returns the delay after which
    /// to retry.
    pub fn request(
        &mut self,
        target: &str,
        start: Option<TargetStart>,
        id: u64,
        bound: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        self.budget(target, start, now).request(id, bound, now)
    }

    /// Handles what has become of a request with a permit.
    pub fn on_event(
        &mut self,
        target: &str,
        start: Option<TargetStart>,
        id: u64,
        event: PermitEvent,
        now: Instant,
    ) -> BudgetUsage {
        let budget = self.budget(target, start, now);
        budget.on_event(id, event, now);
        BudgetUsage {
            rejected: budget.rejected.len(),
            running: budget.permits.len(),
        }
    }

    fn budget(
        &mut self,
        target: &str,
        start: Option<TargetStart>,
        now: Instant,
    ) -> &mut RejectionBudget {
        if !self.by_target.contains_key(target) {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < BUDGET_TTL;
            self.by_target.retain(|_, budget| is_recent(budget.used_at));
        }
        let budget = self.by_target.entry(target.into());
        let budget = budget.or_insert_with(|| RejectionBudget::new(start, now));
        if budget.start < start {
            *budget = RejectionBudget::new(start, now);
        }
        budget
    }
}

/// A request with a permit.
#[derive(Debug, Clone, Copy)]
struct PermitState {
    since: Instant,
    is_accepted: bool,
}

/// Bounds how often one start of a target rejects requests.
///
/// Requests that may still be rejected and recent rejections are together never more than the bound, whatever room the target
/// has. Its room is learnt from rejections, so that few requests are sent to be rejected.
#[derive(Debug)]
struct RejectionBudget {
    start: Option<TargetStart>,
    created_at: Instant,
    used_at: Instant,
    permits: HashMap<u64, PermitState>,
    rejected: VecDeque<Instant>,
    /// Requests that the target has room for; `None` until it has rejected one.
    room: Option<usize>,
    room_changed_at: Instant,
}

impl RejectionBudget {
    fn new(
        start: Option<TargetStart>,
        now: Instant,
    ) -> Self {
        Self {
            start,
            created_at: now,
            used_at: now,
            permits: HashMap::new(),
            rejected: VecDeque::new(),
            room: None,
            room_changed_at: now,
        }
    }

    fn request(
        &mut self,
        id: u64,
        bound: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        self.expire(now);
        self.used_at = now;
        self.raise_room(bound, now);
        let at_risk = self.permits.values().filter(|permit| !permit.is_accepted);
        let has_budget = at_risk.count() + self.rejected.len() < self.capacity(bound, now);
        let has_room = self.room.is_none_or(|room| self.permits.len() < room);
        if has_budget && has_room {
            let permit = PermitState {
                since: now,
                is_accepted: false,
            };
            self.permits.insert(id, permit);
            return Ok(());
        }
        Err(RETRY_DELAY)
    }

    fn on_event(
        &mut self,
        id: u64,
        event: PermitEvent,
        now: Instant,
    ) {
        self.expire(now);
        match event {
            PermitEvent::Accepted => {
                if let Some(permit) = self.permits.get_mut(&id) {
                    permit.is_accepted = true;
                }
            }
            PermitEvent::Ended => {
                self.permits.remove(&id);
            }
            PermitEvent::Rejected => {
                self.permits.remove(&id);
                self.rejected.push_back(now);
                self.room = Some(self.permits.len().max(1));
                self.room_changed_at = now;
            }
        }
    }

    /// Assumes room for one more request if that was last learnt or raised long enough ago, and is used up.
    fn raise_room(
        &mut self,
        bound: f64,
        now: Instant,
    ) {
        let interval = RAISE_TIME.div_f64(bound.max(1.0)).max(MIN_RAISE_INTERVAL);
        let is_due = now.saturating_duration_since(self.room_changed_at) >= interval;
        if let Some(room) = self
            .room
            .filter(|room| is_due && self.permits.len() >= *room)
        {
            self.room = Some(room + 1);
            self.room_changed_at = now;
        }
    }

    /// Returns how many requests may be rejected. What another host has granted before this one counted is unknown, so that a new
    /// budget begins with the least.
    fn capacity(
        &self,
        bound: f64,
        now: Instant,
    ) -> usize {
        let is_new = now.saturating_duration_since(self.created_at) < WINDOW;
        match is_new {
            true => 1,
            false => ((bound * USED_SHARE) as usize).max(1),
        }
    }

    fn expire(
        &mut self,
        now: Instant,
    ) {
        let passed = |at: Instant| now.saturating_duration_since(at);
        self.permits.retain(|_, permit| match permit.is_accepted {
            true => passed(permit.since) < RUNNING_TTL,
            false => passed(permit.since) < UNREPORTED_TTL,
        });
        while self
            .rejected
            .front()
            .is_some_and(|at| passed(*at) >= WINDOW)
        {
            self.rejected.pop_front();
        }
    }
}
