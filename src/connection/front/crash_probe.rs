//! Detects whether a target crashed while it ran a request, or only dropped the connection.

use {
    super::health_check::{Health, HealthCheck},
    crate::{
        clock::Instant,
        connection::targets::{SuspectRequest, TargetIncarnation, TargetTable},
        formats::HeaderNames,
        note,
        request::{
            direct::CallRequest,
            poison::{CrashEvidence, IncarnationId, PoisonReport},
        },
        timeline::Event,
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::task::spawn_local,
};

/// Interval between the two health checks: a target that rejected the first one because it was full has answered other
/// requests by the second. It delays the report of a crash by as much.
const RECHECK_DELAY: Duration = Duration::from_millis(200);

/// Returns true if a target answers a health check now.
///
/// Called before a suspect request is sent, so that a crash that follows can be attributed to it.
pub async fn answers_health_check(
    table: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    request: &CallRequest,
    target: &str,
) -> bool {
    let address = {
        let table = table.borrow();
        let link = table.links.get(target);
        link.map(|link| link.view.record.address)
    };
    match address {
        Some(address) => {
            HealthCheck::new(names, &request.service, target)
                .at(address)
                .await
                == Health::Answering
        }
        None => false,
    }
}

/// Records a request as a suspect after its connection was lost, and probes in the background whether its target
/// crashed; reports a crash to all hosts.
pub fn probe_after_loss(
    table: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    request: &CallRequest,
    incarnation: TargetIncarnation,
    begun: bool,
) {
    let lost_at = Instant::now();
    let suspect = SuspectRequest {
        begun,
        fingerprint: request.fingerprint(),
        id: request.id_text().to_string(),
        parts: request.shared_parts(),
    };
    let address = {
        let mut table = table.borrow_mut();
        table.crashes.on_loss(&incarnation.0, lost_at);
        let link = table.links.get(&incarnation.0);
        // A target that drains stops by plan, whatever it runs.
        let link = link.filter(|link| link.view.usable_until.is_none());
        let Some(address) = link.map(|link| link.view.record.address) else {
            return;
        };
        if !table.crashes.add_suspect(&incarnation, suspect) {
            return;
        }
        address
    };
    let probe = CrashProbe {
        table: table.clone(),
        check: HealthCheck::new(names, &request.service, &incarnation.0),
        service: request.service.name.clone(),
        incarnation,
        lost_at,
    };
    spawn_local(probe.run(address));
}

/// Clears a request that a target has answered completely: earlier crashes were not its fault.
pub fn clear_suspect(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) {
    let table = table.borrow();
    if table.crashes.is_empty() {
        return;
    }
    let fingerprint = request.fingerprint();
    if table.crashes.status(&fingerprint).is_some() {
        table.report_poison(PoisonReport::Cleared { fingerprint });
    }
}

/// Returns part ids as requests name them, for logs.
fn part_list(parts: &[u64]) -> String {
    match parts.is_empty() {
        true => "-".to_string(),
        false => {
            let ids: Vec<String> = parts.iter().map(|id| format!("{id:x}")).collect();
            ids.join(",")
        }
    }
}

/// Probes one incarnation of a target.
struct CrashProbe {
    table: Rc<RefCell<TargetTable>>,
    check: HealthCheck,
    service: String,
    incarnation: TargetIncarnation,
    lost_at: Instant,
}

impl CrashProbe {
    async fn run(
        self,
        address: SocketAddr,
    ) {
        // A brittle target that turns requests away falls over these, not over what it runs.
        let is_at_risk = self.table.borrow().is_at_risk(&self.service, self.lost_at);
        let crashed = !is_at_risk && self.has_crashed(address).await;
        let mut table = self.table.borrow_mut();
        let suspects = table.crashes.take_suspects(&self.incarnation);
        if !crashed {
            note!(
                Event::AccusationDropped,
                target = self.incarnation.0,
                requests = suspects.len(),
            );
            return;
        }
        let alone = table
            .crashes
            .is_isolated_loss(&self.incarnation.0, self.lost_at);
        let end = IncarnationId::of(&self.incarnation.0, self.incarnation.1);
        let others = suspects.len() - 1;
        for suspect in &suspects {
            note!(
                Event::RequestAccused,
                id = suspect.id,
                fingerprint = suspect.fingerprint,
                parts = part_list(&suspect.parts),
                target = self.incarnation.0,
                begun = suspect.begun,
                alone = alone,
                beside = others,
            );
        }
        let to_evidence = |suspect: &SuspectRequest| {
            let begun = suspect.begun;
            (suspect.fingerprint, CrashEvidence { end, begun, alone })
        };
        let evidence = suspects.iter().map(to_evidence).collect();
        table.report_poison(PoisonReport::Crashed { evidence });
    }

    /// Returns true if the target was down in both checks and this incarnation has sent nothing meanwhile, or if it was
    /// replaced.
    async fn has_crashed(
        &self,
        address: SocketAddr,
    ) -> bool {
        if self.check.at(address).await != Health::Refusing {
            return self.was_replaced();
        }
        tokio::time::sleep(RECHECK_DELAY).await;
        if self.was_replaced() {
            return true;
        }
        // A host that reaches nothing sees all targets refuse.
        self.check.at(address).await == Health::Refusing
            && !self.has_sent_since_loss()
            && !self.table.borrow().reaches_nothing()
    }

    /// Returns true if the target is gone or has a new incarnation.
    fn was_replaced(&self) -> bool {
        let table = self.table.borrow();
        let link = table.links.get(&self.incarnation.0);
        link.is_none_or(|link| link.view.record.started != self.incarnation.1)
    }

    /// Returns true if this incarnation of the target has sent anything since the loss.
    fn has_sent_since_loss(&self) -> bool {
        let table = self.table.borrow();
        let link = table.links.get(&self.incarnation.0);
        link.and_then(|link| link.last_received)
            .is_some_and(|at| at > self.lost_at)
    }
}
