//! Finds out whether this host reaches any target of a service.

use {
    super::health_check::HealthCheck,
    crate::{
        clock::Instant,
        connection::targets::{ReachProbe, TargetTable},
        formats::HeaderNames,
        version::routing::TargetService,
    },
    futures_util::{StreamExt, stream::FuturesUnordered},
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
    tokio::task::spawn_local,
};

/// Targets that are checked at once when a service may be unreached: several, since one may be down or silent by itself.
const CHECKED_TARGETS: usize = 4;

/// Targets that are checked at once while a service is unreached, and the pause between two such checks.
const PROBED_TARGETS: usize = 2;
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Checks in the background whether a service is unreached, unless that is known or being checked.
pub fn suspect_unreached(
    table: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    service: &Arc<TargetService>,
) {
    let begins = table
        .borrow_mut()
        .begin_reach_check(&service.name, Instant::now());
    if begins {
        let check = ReachCheck {
            table: table.clone(),
            names: names.clone(),
            service: service.clone(),
        };
        spawn_local(check.run());
    }
}

/// Waits until a service is unreached, if it is not yet.
pub async fn until_unreached(
    table: &Rc<RefCell<TargetTable>>,
    service: &str,
) {
    loop {
        let updates = table.borrow().reach_updates();
        let update = updates.notified();
        if table.borrow().is_unreached(service) {
            return;
        }
        update.await;
    }
}

struct ReachCheck {
    table: Rc<RefCell<TargetTable>>,
    names: HeaderNames,
    service: Arc<TargetService>,
}

impl ReachCheck {
    async fn run(self) {
        let service = &self.service.name;
        let probes = self.table.borrow().reach_probes(service, CHECKED_TARGETS);
        if !self.any_answers(&probes).await {
            let now = Instant::now();
            self.table
                .borrow_mut()
                .on_reach_unanswered(service, probes.len(), now);
            self.suspect_other_services();
            self.wait_for_answer().await;
        }
        let now = Instant::now();
        self.table.borrow_mut().on_reach_answered(service, now);
    }

    /// Checks the other services too: the host may be cut off from all targets.
    fn suspect_other_services(&self) {
        let routing = self.table.borrow().routing().clone();
        for service in routing.services() {
            suspect_unreached(&self.table, &self.names, service);
        }
    }

    /// Waits until a target answers, or none is left to ask.
    async fn wait_for_answer(&self) {
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            if !self.table.borrow().is_unreached(&self.service.name) {
                return;
            }
            let probes = self
                .table
                .borrow()
                .reach_probes(&self.service.name, PROBED_TARGETS);
            if probes.is_empty() || self.any_answers(&probes).await {
                return;
            }
        }
    }

    /// Returns true as soon as one of these targets answers over a new connection.
    async fn any_answers(
        &self,
        probes: &[ReachProbe],
    ) -> bool {
        let check = async |probe: &ReachProbe| {
            let check = HealthCheck::new(&self.names, &self.service, &probe.target);
            check.at(probe.address).await
        };
        let mut checks: FuturesUnordered<_> = probes.iter().map(check).collect();
        while let Some(health) = checks.next().await {
            if health.is_alive() {
                return true;
            }
        }
        false
    }
}
