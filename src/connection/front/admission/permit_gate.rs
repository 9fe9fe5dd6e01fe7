//! Leave to send to a target that takes only so many requests a second from all hosts together.

use {
    crate::{
        clock::{Instant, timeout_at},
        connection::targets::TargetTable,
        metrics::{StateLabels, metrics},
        request::notices::Openness,
    },
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

/// The host that counts answers within this time; past it nothing is sent.
const ASK_LIMIT: Duration = Duration::from_millis(50);

/// A target whose counting host does not answer is left alone for so long: by then another one counts, or this one is back.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);

/// True if a request may go to a target now; else the target is left alone until it may be asked for again.
pub async fn take_permit(
    board: &Rc<RefCell<TargetTable>>,
    target: &Arc<str>,
) -> bool {
    let begun = Instant::now();
    let id = rand::random();
    let mut ask = {
        let board = board.borrow();
        match board.availability(target, begun) {
            Openness::Open => return true,
            Openness::Closed => return false,
            Openness::Limited => {}
        }
        let ask = board.pending_permits.register(id);
        board.request_permit(id, target, begun);
        ask
    };
    let answer = timeout_at(begun + ASK_LIMIT, ask.answer()).await;
    let (state, pause) = match answer.ok().flatten() {
        Some(answer) if answer.granted => ("granted", None),
        Some(answer) => {
            let pause = Duration::from_millis(u64::from(answer.ask_again_ms));
            ("denied", Some(pause))
        }
        None => ("unanswered", Some(UNANSWERED_PAUSE)),
    };
    let labels = StateLabels { state };
    metrics().permit_asks.get_or_create(&labels).inc();
    let Some(pause) = pause else {
        return true;
    };
    let until = Instant::now() + pause;
    board.borrow_mut().mark_unavailable(target, until);
    false
}
