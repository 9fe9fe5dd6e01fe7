//! Charges repeats of requests to the budget of their service, which is shared by all hosts.

use {
    crate::{
        clock::Instant,
        connection::targets::TargetTable,
        request::{direct::CallRequest, repeats::RepeatCharge},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// Timeout of a repeat that waits for repeat budget borrowed from other hosts, which comes within a round trip; a rejected
/// caller would retry after 0.4 s.
const BORROW_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which a waiting repeat checks whether budget was borrowed.
const BORROW_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns true if the budget allows a repeat, after waiting for budget borrowed from other hosts if needed.
pub async fn wait_for_budget(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> bool {
    let service = &request.service.name;
    let started = Instant::now();
    let until = request.deadline.min(started + BORROW_TIMEOUT);
    loop {
        let now = Instant::now();
        {
            let mut table = table.borrow_mut();
            if table.budget(service).can_repeat(now) {
                return true;
            }
            if now == started {
                table.budget(service).on_waiting(now);
            }
            table.request_loans(service, now);
            if now >= until || !table.budget(service).is_borrowing(now) {
                return false;
            }
        }
        tokio::time::sleep(BORROW_POLL_INTERVAL).await;
    }
}

/// Charges a repeat to the budget of its service; returns `None` if the budget is used up.
pub fn charge_repeat(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> Option<RepeatCharge> {
    let now = Instant::now();
    let mut table = table.borrow_mut();
    let budget = table.budget(&request.service.name);
    let repeat_charge = budget.charge(now);
    if repeat_charge.is_none() {
        budget.on_rejected(now);
    }
    repeat_charge
}
