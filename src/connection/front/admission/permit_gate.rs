//! Permits to send to a target whose request rate is limited over all hosts.

use {
    crate::{
        clock::{Instant, timeout_at},
        connection::targets::TargetBoard,
        metrics::{StateLabels, metrics},
        request::notices::Openness,
    },
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
};

const ASK_LIMIT: Duration = Duration::from_millis(50);

/// Backoff for a target after a permit request that nobody answered.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);

/// Requests a permit where the target needs one, and returns true if a request may be sent there now.
///
/// If not, the target is closed on this host until the next permit may be requested.
pub async fn take_permit(
    board: &Rc<RefCell<TargetBoard>>,
    target: &Arc<str>,
) -> bool {
    let begun = Instant::now();
    let id = rand::random();
    let mut ask = {
        let board = board.borrow();
        match board.openness(target, begun) {
            Openness::Open => return true,
            Openness::Closed => return false,
            Openness::Limited => {}
        }
        let ask = board.permits.start(id);
        board.ask_permit(id, target, begun);
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
    board.borrow_mut().close(target, until);
    false
}
