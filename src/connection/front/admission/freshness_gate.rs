//! Delays requests while a table that they depend on is too stale.

use {
    crate::{
        clock::{Instant, timeout_at},
        connection::{front::request_trace::millis, targets::TargetTable},
        note,
        timeline::Event,
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// Past this delay the caller should retry at another host, while most of its time is left. Late news is mostly late
/// by less.
const MAX_DELAY: Duration = Duration::from_millis(250);

/// Retry delay for callers that were rejected because a table was too stale.
pub const STALE_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A table that must be fresh enough at one stage of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FreshnessCheck {
    /// The configuration, for routing.
    Declared,
    /// The customers' keys, for sends on behalf of a customer.
    Keys,
    /// The list of targets, for every send.
    Targets,
    /// The versions of adapters, for sends that need one.
    Versions,
}

impl FreshnessCheck {
    fn name(self) -> &'static str {
        match self {
            Self::Declared => "declared",
            Self::Keys => "keys",
            Self::Targets => "targets",
            Self::Versions => "versions",
        }
    }

    pub fn is_fresh(
        self,
        table: &TargetTable,
        now: Instant,
    ) -> bool {
        match self {
            Self::Declared => table.can_route(now),
            Self::Keys => table.can_accept_keys(now),
            Self::Targets => table.can_send(now),
            Self::Versions => table.can_use_versions(now),
        }
    }
}

/// Waits until a table is fresh enough, and logs a delay; returns false on timeout.
///
/// Guards against a host whose control thread is starved or whose updates are delayed: it must not send requests to
/// targets that announced longer ago than the staleness bound that they drain.
pub async fn wait_until_fresh(
    table: &Rc<RefCell<TargetTable>>,
    check: FreshnessCheck,
    request: &str,
) -> bool {
    let started = Instant::now();
    if pending_update(table, check).is_none() {
        return true;
    }
    let fresh = async {
        while let Some(update) = pending_update(table, check) {
            update.notified().await;
        }
    };
    let fresh = timeout_at(started + MAX_DELAY, fresh).await;
    note!(
        Event::RequestHeld,
        id = request,
        table = check.name(),
        waited_ms = millis(started.elapsed()),
        confirmed = fresh.is_ok()
    );
    fresh.is_ok()
}

fn pending_update(
    table: &Rc<RefCell<TargetTable>>,
    check: FreshnessCheck,
) -> Option<Rc<Notify>> {
    let table = table.borrow();
    let fresh = check.is_fresh(&table, Instant::now());
    (!fresh).then(|| table.freshness_updates())
}
