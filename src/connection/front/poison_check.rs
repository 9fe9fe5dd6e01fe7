//! What is known of requests that targets have crashed under, before and between sends.

use {
    crate::{
        connection::targets::TargetTable,
        request::{direct::CallRequest, poison::PoisonStatus},
    },
    std::{cell::RefCell, rc::Rc},
};

/// Returns the verdict on a request that targets have crashed under, or `None` if there were no such crashes.
fn verdict(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> Option<PoisonStatus> {
    let table = table.borrow();
    match table.crashes.is_empty() {
        true => None,
        false => table.crashes.status(&request.fingerprint()),
    }
}

/// Returns true if the request is known to crash targets.
pub fn is_poison(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> bool {
    verdict(table, request) == Some(PoisonStatus::Rejected)
}

/// Returns true if targets have crashed under the request: only its caller may send it again.
pub fn has_crashed_targets(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> bool {
    verdict(table, request).is_some()
}

/// Returns true if targets have crashed under the request, or one may just have: it is sent only to targets that
/// answer a health check first.
pub fn is_suspected(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> bool {
    let table = table.borrow();
    !table.crashes.is_empty() && table.crashes.is_suspected(&request.fingerprint())
}
