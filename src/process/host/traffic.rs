//! The traffic thread: serves callers' requests and owns the target table that they are routed by.

use {
    crate::{
        clock::Instant,
        connection::{
            datagram::{
                ChargeAnswer, EngineLoad, EngineStanding, Loan, LoanAsk, PermitAnswer, PlaceGiven,
                Placement,
            },
            front::{FrontListener, StopStage},
            targets::{
                ControlRequest, FleetView, ReplicaFreshness, StalenessBounds, TargetTable,
                TargetTableSettings,
            },
        },
        errors::RunError,
        formats::Formats,
        note,
        process::settings::{Bounds, NodeSettings},
        request::{
            notices::TargetNotices,
            poison::{Fingerprint, PoisonStatus},
        },
        timeline::Event,
    },
    std::{
        cell::RefCell,
        net::{SocketAddr, TcpListener},
        rc::Rc,
        sync::{Arc, atomic::AtomicUsize},
        time::Duration,
    },
    tokio::{
        runtime::Builder,
        sync::watch,
        task::{LocalSet, spawn_local},
    },
};

/// Interval of usage reports to the holders of engines on a small site.
const USAGE_INTERVAL: Duration = Duration::from_millis(50);

/// Intervals between usage reports on a large site, whose hosts query holders before they send.
const LARGE_SITE_INTERVALS: u32 = 3;

/// Messages from the control thread to the traffic thread.
#[derive(Debug, Clone)]
pub enum TrafficInput {
    View(Arc<FleetView>),
    /// The times as of which the current view is known to be up to date.
    Freshness(ReplicaFreshness),
    Placement(Placement),
    Load(EngineLoad),
    EngineStatus(EngineStanding),
    BorrowedBudget(Loan),
    /// Answer of the host that accounts for a customer's quota.
    QuotaAnswer(ChargeAnswer),
    /// Answer of the host that assigns concurrency slots.
    SlotAnswer(PlaceGiven),
    /// Answer of the host that allocates permits for a target.
    Permit(PermitAnswer),
    /// Notices of a target that another host received.
    TargetNotices {
        target: String,
        notices: TargetNotices,
    },
    /// The poison status of a request has changed; `None` if it was cleared.
    PoisonStatus {
        fingerprint: Fingerprint,
        status: Option<PoisonStatus>,
    },
    /// Another host requests a part of this host's repeat budget.
    BorrowRequest {
        to: SocketAddr,
        request: LoanAsk,
    },
}

/// Everything that the traffic thread is started with.
pub struct TrafficParts {
    pub settings: NodeSettings,
    pub formats: Arc<dyn Formats>,
    pub listener: TcpListener,
    pub inputs: flume::Receiver<TrafficInput>,
    pub control: flume::Sender<ControlRequest>,
    pub stop: watch::Receiver<StopStage>,
    /// Number of open connections from callers; a planned stop waits until it is 0.
    pub open_connections: Arc<AtomicUsize>,
}

/// Runs until the process ends.
pub fn run_traffic(parts: TrafficParts) -> Result<(), RunError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|problem| RunError::Call(problem.to_string()))?;
    LocalSet::new().block_on(&runtime, serve(parts))
}

async fn serve(parts: TrafficParts) -> Result<(), RunError> {
    let bounds = &parts.settings.bounds;
    let settings = TargetTableSettings {
        budget_window: bounds.budget_window,
        budget_ratio: bounds.budget_ratio,
        budget_extra: bounds.budget_extra,
        first_start: parts.settings.first_start,
        policy: parts.settings.policy,
        bounds: StalenessBounds {
            declared: bounds.config,
            revoke: bounds.revoke,
            targets: bounds.drain,
            version: bounds.version,
        },
    };
    let table = Rc::new(RefCell::new(TargetTable::new(settings, parts.control)));
    let listener = parts
        .listener
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpListener::from_std(parts.listener))
        .map_err(|problem| RunError::Call(problem.to_string()))?;
    let front = FrontListener::new(
        table.clone(),
        parts.formats,
        &parts.settings.hall,
        parts.stop,
        parts.open_connections,
    );
    spawn_local(Rc::new(front).serve(listener));
    let mut usage = tokio::time::interval(USAGE_INTERVAL);
    let mut intervals = 0u32;
    loop {
        tokio::select! {
            input = parts.inputs.recv_async() => match input {
                Ok(input) => apply_input(&table, input),
                // The control thread has ended, so the process is ending.
                Err(_) => return Ok(()),
            },
            _ = usage.tick() => {
                intervals = intervals.wrapping_add(1);
                let mut table = table.borrow_mut();
                if !table.is_large_site() || intervals.is_multiple_of(LARGE_SITE_INTERVALS) {
                    table.report_usage(Instant::now());
                }
                log_staleness(&mut table, bounds);
                table.maintain_budgets(Instant::now());
            }
        }
    }
}

/// Logs the largest staleness seen by requests, if it came close to its bounds.
fn log_staleness(
    table: &mut TargetTable,
    bounds: &Bounds,
) {
    let Some(largest) = table.take_max_staleness(Instant::now()) else {
        return;
    };
    note!(
        Event::BeliefsAged,
        declared_ms = largest.declared.as_millis(),
        declared_bound_ms = bounds.config.as_millis(),
        targets_ms = largest.targets.as_millis(),
        targets_bound_ms = bounds.drain.as_millis(),
    );
}

fn apply_input(
    table: &Rc<RefCell<TargetTable>>,
    input: TrafficInput,
) {
    let mut table = table.borrow_mut();
    match input {
        TrafficInput::View(view) => table.set_view(view),
        TrafficInput::Freshness(freshness) => table.set_freshness(freshness),
        TrafficInput::Placement(placement) => table.on_placement(&placement, Instant::now()),
        TrafficInput::Load(load) => table.on_engine_load(&load, Instant::now()),
        TrafficInput::EngineStatus(status) => table.on_engine_status(&status, Instant::now()),
        TrafficInput::PoisonStatus {
            fingerprint,
            status,
        } => table.crashes.set_status(fingerprint, status),
        TrafficInput::SlotAnswer(answer) => {
            table.pending_slots.on_answer(answer.id, answer);
        }
        TrafficInput::Permit(answer) => {
            table.pending_permits.on_answer(answer.id, answer);
        }
        TrafficInput::TargetNotices { target, notices } => {
            table
                .notices
                .on_peer_notices(&target, &notices, Instant::now());
        }
        TrafficInput::QuotaAnswer(answer) => table.quotas.on_answer(answer),
        TrafficInput::BorrowedBudget(loan) => table.on_loan(&loan, Instant::now()),
        TrafficInput::BorrowRequest { to, request } => {
            table.on_loan_request(to, &request, Instant::now())
        }
    }
}
