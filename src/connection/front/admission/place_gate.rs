//! A place at a target of a plain service, before a request is sent there.

use {
    crate::{
        clock::{Instant, timeout_at},
        connection::{
            datagram::{PlaceEnded, PlaceGiven, PlaceWanted},
            targets::TargetTable,
        },
        request::{direct::CallRequest, notices::Openness, places::PlaceEnd},
    },
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// The host that gives places out answers within this time; past it a request goes where this host would send it by
/// itself.
const ASK_LIMIT: Duration = Duration::from_millis(50);

/// What became of a request for a place.
pub enum PlaceFound {
    Place(HeldPlace),
    /// All targets are full; the caller does better to come back after this time.
    Full {
        come_back: Duration,
    },
    /// Nobody answers who gives places out, or none knows of a target.
    Unknown,
}

/// A place at a target, told to have ended when dropped.
pub struct HeldPlace {
    board: Rc<RefCell<TargetTable>>,
    service: String,
    id: u64,
    pub target: Arc<str>,
    pub end: PlaceEnd,
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let ended = PlaceEnded::new(&self.service, &self.target, self.id, self.end);
        self.board.borrow().release_slot(ended);
    }
}

/// Asks for a place for a request that is not to go to these targets.
pub async fn find_place(
    board: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
    tried: &[String],
) -> PlaceFound {
    let now = Instant::now();
    let id = rand::random();
    let service = &request.service.name;
    let wanted = PlaceWanted {
        service: service.clone(),
        id,
        passed_over: passed_over(&board.borrow(), service, tried, now),
        aim_ms: request.route.aim.as_millis() as u32,
        left_ms: request.left(now).as_millis() as u32,
    };
    let mut ask = {
        let board = board.borrow();
        let ask = board.pending_slots.register(id);
        if !board.request_slot(wanted) {
            return PlaceFound::Unknown;
        }
        ask
    };
    let given = timeout_at(now + ASK_LIMIT, ask.answer()).await;
    found(board, service, given.ok().flatten())
}

fn found(
    board: &Rc<RefCell<TargetTable>>,
    service: &str,
    given: Option<PlaceGiven>,
) -> PlaceFound {
    let Some(given) = given.filter(|given| !given.unknown) else {
        return PlaceFound::Unknown;
    };
    if given.target.is_empty() {
        let come_back = Duration::from_millis(u64::from(given.come_back_ms));
        return PlaceFound::Full { come_back };
    }
    let place = HeldPlace {
        board: board.clone(),
        service: service.to_string(),
        id: given.id,
        target: given.target.as_str().into(),
        end: PlaceEnd::Other,
    };
    // What gives places out may know of a target that this host does not know yet.
    let known = board.borrow().links.contains_key(&place.target);
    match known {
        true => PlaceFound::Place(place),
        false => PlaceFound::Unknown,
    }
}

/// Targets that a request is not to go to: those that it was sent to, those that take none now, and those that this host
/// avoids, unless it avoids all of them.
fn passed_over(
    board: &TargetTable,
    service: &str,
    tried: &[String],
    now: Instant,
) -> Vec<String> {
    let targets = board.targets_of(service).iter();
    let avoided =
        targets.filter(|target| !board.links[&target.id].remaining_backoff(now).is_zero());
    let mut passed: Vec<String> = avoided.map(|target| target.id.to_string()).collect();
    if passed.len() == board.targets_of(service).len() {
        passed.clear();
    }
    let targets = board.targets_of(service).iter();
    let closed = targets.filter(|target| board.availability(&target.id, now) == Openness::Closed);
    passed.extend(closed.map(|target| target.id.to_string()));
    passed.extend(tried.iter().cloned());
    passed
}
