//! Concurrency slots at the targets of plain services.

use {
    super::super::Attempts,
    crate::{
        clock::{Instant, timeout_at},
        connection::{
            datagram::{PlaceEnded, PlaceGiven, PlaceWanted},
            targets::TargetTable,
        },
        request::{direct::CallRequest, notices::Availability, places::SlotOutcome},
    },
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// Timeout of a slot request; past it this host chooses a target by itself.
const SLOT_TIMEOUT: Duration = Duration::from_millis(50);

/// Result of a slot request.
pub enum SlotAcquisition {
    Acquired(HeldSlot),
    /// No target has a free slot; the caller should retry after this time.
    Full {
        retry_after: Duration,
    },
    /// No slot allocator answered, or it knows no target that this host knows.
    Unavailable,
}

/// A concurrency slot at a target; released when dropped.
pub struct HeldSlot {
    table: Rc<RefCell<TargetTable>>,
    service: String,
    id: u64,
    pub target: Arc<str>,
    pub end: SlotOutcome,
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        let ended = PlaceEnded::new(&self.service, &self.target, self.id, self.end);
        self.table.borrow().release_slot(ended);
    }
}

/// Requests a slot at any target of the service that runs the software, but those already tried.
pub async fn acquire_slot(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
    attempts: &Attempts,
) -> SlotAcquisition {
    let now = Instant::now();
    let id = rand::random();
    let service = &request.service.name;
    let slot_request = PlaceWanted {
        service: service.clone(),
        id,
        passed_over: excluded_targets(&table.borrow(), service, attempts, now),
        aim_ms: request.route.aim.as_millis() as u32,
        left_ms: request.time_left(now).as_millis() as u32,
    };
    let mut pending = {
        let table = table.borrow();
        let pending = table.pending_slots.register(id);
        if !table.request_slot(slot_request) {
            return SlotAcquisition::Unavailable;
        }
        pending
    };
    let answer = timeout_at(now + SLOT_TIMEOUT, pending.answer()).await;
    outcome_of(table, service, answer.ok().flatten())
}

fn outcome_of(
    table: &Rc<RefCell<TargetTable>>,
    service: &str,
    answer: Option<PlaceGiven>,
) -> SlotAcquisition {
    let Some(answer) = answer.filter(|answer| !answer.unknown) else {
        return SlotAcquisition::Unavailable;
    };
    if answer.target.is_empty() {
        let retry_after = Duration::from_millis(u64::from(answer.come_back_ms));
        return SlotAcquisition::Full { retry_after };
    }
    let slot = HeldSlot {
        table: table.clone(),
        service: service.to_string(),
        id: answer.id,
        target: answer.target.as_str().into(),
        end: SlotOutcome::Other,
    };
    // The allocator may know a target before this host does.
    let known = table.borrow().links.contains_key(&slot.target);
    match known {
        true => SlotAcquisition::Acquired(slot),
        false => SlotAcquisition::Unavailable,
    }
}

/// Returns the targets to exclude: those already tried, those that run other software, those that are closed, and those that this host avoids after
/// failures, unless it avoids all of them.
fn excluded_targets(
    table: &TargetTable,
    service: &str,
    attempts: &Attempts,
    now: Instant,
) -> Vec<String> {
    let targets = table.targets_of(service).iter();
    let avoided =
        targets.filter(|target| !table.remaining_backoff(service, &target.id, now).is_zero());
    let mut excluded: Vec<String> = avoided.map(|target| target.id.to_string()).collect();
    if excluded.len() == table.targets_of(service).len() {
        excluded.clear();
    }
    let targets = table.targets_of(service).iter();
    let closed =
        targets.filter(|target| table.availability(&target.id, now) == Availability::Closed);
    excluded.extend(closed.map(|target| target.id.to_string()));
    let targets = table.targets_of(service).iter();
    let misfits = targets.filter(|target| !table.runs_software(&target.id, attempts.software));
    excluded.extend(misfits.map(|target| target.id.to_string()));
    excluded.extend(attempts.tried.iter().cloned());
    excluded.extend(attempts.excluded.iter().cloned());
    excluded
}
