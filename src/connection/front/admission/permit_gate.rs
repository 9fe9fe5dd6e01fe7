//! Permits to send to a target whose request rate is limited over all hosts.

use {
    super::held_permit::HeldPermit,
    crate::{
        clock::{Instant, timeout_at},
        connection::targets::TargetTable,
        metrics::{StateLabels, metrics},
        request::notices::Availability,
    },
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// Time for the host that counts to answer; past it nothing is sent.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(50);

/// Backoff for a target after a permit request that nobody answered: by then another host counts, or that one is back.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(200);

/// Whether a request may be sent to a target now.
pub enum Permit {
    /// It may.
    Free,
    /// It may, and whoever granted the permit hears how far the request has got.
    Held(HeldPermit),
    Denied,
}

/// Requests a permit where the target needs one.
///
/// If it is denied, the target is closed on this host until the next permit may be requested.
pub async fn acquire_permit(
    table: &Rc<RefCell<TargetTable>>,
    target: &Arc<str>,
) -> Permit {
    let started = Instant::now();
    let id = rand::random();
    let mut pending = {
        let table = table.borrow();
        match table.availability(target, started) {
            Availability::Open => return Permit::Free,
            Availability::Closed => return Permit::Denied,
            Availability::Limited => {}
        }
        let pending = table.pending_permits.register(id);
        table.request_permit(id, target, started);
        pending
    };
    let answer = timeout_at(started + PERMIT_TIMEOUT, pending.answer()).await;
    let (state, backoff) = match answer.ok().flatten() {
        Some(answer) if answer.granted => ("granted", None),
        Some(answer) => {
            let backoff = Duration::from_millis(u64::from(answer.ask_again_ms));
            ("denied", Some(backoff))
        }
        None => ("unanswered", Some(UNANSWERED_BACKOFF)),
    };
    let labels = StateLabels { state };
    metrics().permit_asks.get_or_create(&labels).inc();
    let now = Instant::now();
    let Some(backoff) = backoff else {
        let is_held = table.borrow().holds_permits(target, now);
        return match is_held {
            true => Permit::Held(HeldPermit::new(table, target, id)),
            false => Permit::Free,
        };
    };
    table.borrow_mut().mark_unavailable(target, now + backoff);
    Permit::Denied
}
