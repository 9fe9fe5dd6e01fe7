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
            poison::{PoisonKey, PoisonReport},
        },
        timeline::Event,
    },
    http::StatusCode,
    std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::task::spawn_local,
};

/// Interval between the two health checks: a target that rejected the first one because it was full has answered other
/// requests by the second. It delays the report of a crash by as much.
const RECHECK_DELAY: Duration = Duration::from_millis(200);

/// Statuses below 500 by which a target says that it has not run a request.
const NOT_RUN: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
];

/// Maximum number of lines that name the requests accused of one crash.
const MAX_ACCUSED_LINES: usize = 64;

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

/// An answer that was lost, and the request if that may have crashed its target.
pub struct LostAnswer {
    incarnation: TargetIncarnation,
    suspect: Option<SuspectRequest>,
}

impl LostAnswer {
    /// Returns the lost answer of a request that had just begun to run; `begun` is false if it may have come too late.
    pub fn suspect(
        request: &CallRequest,
        incarnation: TargetIncarnation,
        begun: bool,
    ) -> Self {
        let suspect = SuspectRequest {
            fingerprint: Some(request.fingerprint()),
            parts: request.part_keys(),
            id: request.id_text().to_string(),
            customer: request.customer_name().map(Arc::from),
            begun,
        };
        Self {
            incarnation,
            suspect: Some(suspect),
        }
    }

    /// Returns the lost answer of a request that had run for long enough to be no suspect.
    pub fn unsuspected(incarnation: TargetIncarnation) -> Self {
        Self {
            incarnation,
            suspect: None,
        }
    }
}

/// Records an answer as lost, and probes in the background whether its target crashed if a request may be the cause;
/// reports a crash to all hosts.
pub fn probe_after_loss(
    table: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    request: &CallRequest,
    lost: LostAnswer,
) {
    let lost_at = Instant::now();
    let incarnation = lost.incarnation;
    let (address, begins) = {
        let mut table = table.borrow_mut();
        table.crashes.on_loss(&incarnation.0, lost_at);
        if lost.suspect.is_none() && !table.crashes.has_recent_start(&incarnation, lost_at) {
            return;
        }
        let link = table.links.get(&incarnation.0);
        // A target that drains stops by plan, whatever it runs.
        let link = link.filter(|link| link.view.usable_until.is_none());
        let Some(address) = link.map(|link| link.view.record.address) else {
            return;
        };
        let begins = table.crashes.begin_probe(&incarnation, lost_at);
        if let Some(suspect) = lost.suspect {
            table.crashes.add_suspect(&incarnation, suspect);
        }
        (address, begins)
    };
    if !begins {
        return;
    }
    let probe = CrashProbe {
        table: table.clone(),
        check: HealthCheck::new(names, &request.service, &incarnation.0),
        service: request.service.name.clone(),
        incarnation,
        lost_at,
    };
    spawn_local(probe.run(address));
}

/// Clears a request that a target has run and answered completely: earlier crashes were not its fault.
///
/// An answer by whose status the target may not have run it changes nothing.
pub fn clear_suspect(
    table: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
    status: StatusCode,
) {
    let table = table.borrow();
    if table.crashes.is_empty() || !shows_run(status) {
        return;
    }
    let key = PoisonKey::Request(request.fingerprint());
    if table.crashes.status(&key).is_some() {
        table.report_poison(PoisonReport::Cleared { key });
    }
}

/// Returns true if an answer with this status shows that its target has run the request. A target that fails may answer with a
/// server error before it begins.
fn shows_run(status: StatusCode) -> bool {
    !status.is_server_error() && !NOT_RUN.contains(&status)
}

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    Crashed,
    Alive,
    /// The target does not answer, or may have crashed for another reason than what it ran.
    Unknown,
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
        let result = match is_at_risk {
            true => ProbeResult::Unknown,
            false => self.probe(address).await,
        };
        match result {
            ProbeResult::Crashed => self.accuse(),
            ProbeResult::Alive | ProbeResult::Unknown => self.drop_suspects(result),
        }
    }

    fn drop_suspects(
        &self,
        result: ProbeResult,
    ) {
        let mut table = self.table.borrow_mut();
        if result == ProbeResult::Alive {
            table.crashes.on_alive(&self.incarnation.0);
        }
        let requests = table.crashes.drop_suspects(&self.incarnation);
        note!(
            Event::AccusationDropped,
            target = self.incarnation.0,
            requests = requests,
        );
    }

    /// Reports to all hosts that the target crashed, and under which requests.
    fn accuse(&self) {
        let mut table = self.table.borrow_mut();
        let crashes = &mut table.crashes;
        let suspects = crashes.take_suspects(&self.incarnation, self.lost_at);
        let alone = crashes.is_isolated_loss(&self.incarnation.0, self.lost_at);
        for suspect in suspects.iter().take(MAX_ACCUSED_LINES) {
            self.log_accused(suspect, alone, suspects.len() - 1);
        }
        let now = Instant::now();
        let accused = crashes.accusations(&suspects, &self.incarnation, self.lost_at, now);
        table.report_poison(PoisonReport::Crashed { accused });
    }

    fn log_accused(
        &self,
        suspect: &SuspectRequest,
        alone: bool,
        others: usize,
    ) {
        let fingerprint = suspect
            .fingerprint
            .map(|fingerprint| fingerprint.to_string());
        note!(
            Event::RequestAccused,
            id = suspect.id,
            customer = suspect.customer.as_deref().unwrap_or("-"),
            fingerprint = fingerprint.as_deref().unwrap_or("-"),
            parts = part_list(&suspect.parts),
            target = self.incarnation.0,
            begun = suspect.begun,
            alone = alone,
            beside = others,
        );
    }

    /// Finds the target crashed if it was down in both checks and this incarnation has sent nothing meanwhile, or if it was
    /// replaced.
    async fn probe(
        &self,
        address: SocketAddr,
    ) -> ProbeResult {
        let first = self.check.at(address).await;
        if first != Health::Refusing {
            return match (self.was_replaced(), first) {
                (true, _) => ProbeResult::Crashed,
                (false, health) if health.is_alive() => ProbeResult::Alive,
                (false, _) => ProbeResult::Unknown,
            };
        }
        tokio::time::sleep(RECHECK_DELAY).await;
        if self.was_replaced() {
            return ProbeResult::Crashed;
        }
        let second = self.check.at(address).await;
        if second.is_alive() || self.has_sent_since_loss() {
            return ProbeResult::Alive;
        }
        // A host that reaches nothing sees all targets refuse.
        match second == Health::Refusing && !self.table.borrow().reaches_nothing() {
            true => ProbeResult::Crashed,
            false => ProbeResult::Unknown,
        }
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

/// Returns part ids as requests name them, for logs.
fn part_list(parts: &[PoisonKey]) -> String {
    if parts.is_empty() {
        return "-".to_string();
    }
    let ids = parts.iter().filter_map(|part| match part {
        PoisonKey::Part(id) => Some(format!("{id:x}")),
        PoisonKey::Request(_) => None,
    });
    ids.collect::<Vec<String>>().join(",")
}
