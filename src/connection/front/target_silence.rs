use {
    super::reach_check::suspect_unreached,
    crate::{
        clock::Instant, connection::targets::TargetTable, formats::HeaderNames,
        request::direct::CallRequest,
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// A service whose targets send nothing for so long while a request waits for its answer may be unreached. Engines take longer
/// until their first event.
const PLAIN_QUIET_TIME: Duration = Duration::from_millis(300);
const ENGINE_QUIET_TIME: Duration = Duration::from_millis(800);

/// Watches while a request waits for its answer whether its service sends anything at all; ends once the request can be sent again
/// as no target of the service is reached.
pub async fn watch_silence(
    table: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    request: &CallRequest,
    sent: Instant,
) {
    let service = &request.service;
    let quiet_time = match request.generation {
        Some(_) => ENGINE_QUIET_TIME,
        None => PLAIN_QUIET_TIME,
    };
    loop {
        let updates = table.borrow().reach_updates();
        tokio::select! {
            () = updates.notified() => {}
            () = tokio::time::sleep(quiet_time) => {
                let is_quiet = table
                    .borrow()
                    .is_quiet(&service.name, quiet_time, sent, Instant::now());
                if is_quiet {
                    suspect_unreached(table, names, service);
                }
            }
        }
        if request.route.repeatable() && table.borrow().is_silent(&service.name) {
            return;
        }
    }
}
