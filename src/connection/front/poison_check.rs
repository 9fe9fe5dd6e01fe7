//! What is known of requests that targets have crashed under, before and between sends.

use {
    crate::{
        connection::targets::TargetTable,
        request::{direct::CallRequest, poison::PoisonKey},
    },
    std::{cell::RefCell, rc::Rc},
};

/// Returns the key for which a request is rejected, as targets are known to crash under it; `None` if it may be sent.
pub fn rejected_key(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> Option<PoisonKey> {
    let table = table.borrow();
    match table.crashes.is_empty() {
        true => None,
        false => table.crashes.rejected_key(&request.poison_keys()),
    }
}

/// Returns true if targets have crashed under the request: only its caller may send it again.
pub fn has_crashed_targets(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> bool {
    let table = table.borrow();
    if table.crashes.is_empty() {
        return false;
    }
    let key = PoisonKey::Request(request.fingerprint());
    table.crashes.status(&key).is_some()
}

/// Returns true if targets have crashed under the request, or one may just have: it is sent only to targets that
/// answer a health check first.
pub fn is_suspected(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) -> bool {
    let table = table.borrow();
    !table.crashes.is_empty() && table.crashes.is_suspected(request.fingerprint())
}
