//! The traffic thread: callers' requests, and the board of targets that they rest on.

use {
    crate::{
        clock::Instant,
        connection::{
            datagram::{
                ChargeAnswer, EngineLoad, EngineStanding, Loan, LoanAsk, PermitAnswer, PlaceGiven,
                Placement,
            },
            front::{FrontListener, HostStop, RequestOrigin, StopWatch},
            targets::{
                ControlRequest, FleetView, OriginReply, ReplicaFreshness, StalenessBounds,
                TargetTable, TargetTableSettings,
            },
        },
        errors::RunError,
        formats::Formats,
        note,
        process::settings::{Bounds, NodeSettings},
        request::{
            memory::HostMemory,
            notices::TargetNotices,
            poison::{PoisonKey, PoisonVerdict},
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

/// Time between reports of use to the holders of engines on a small site: a fifth of the time in which
/// an engine reads a long prompt, since what is told later than that misleads.
const USAGE_PERIOD: Duration = Duration::from_millis(50);

/// The same on a large site, whose hosts ask holders before they send.
const LARGE_SITE_PERIODS: u32 = 3;

/// Usage periods between two checks whether engines are of unequal speed: once a second, as profiles follow a change
/// within seconds.
const PACE_PERIODS: u32 = 20;

/// What the control thread tells the traffic thread.
#[derive(Debug, Clone)]
pub enum TrafficInput {
    View(Arc<FleetView>),
    /// The view is known to be right as of other times.
    Confirmed(ReplicaFreshness),
    Placement(Placement),
    Load(EngineLoad),
    Standing(EngineStanding),
    Borrowed(Loan),
    /// The host that counts a customer's use has answered.
    Charged(ChargeAnswer),
    /// The host that gives out places has answered.
    PlaceGiven(PlaceGiven),
    /// The host that counts what a target gets has answered.
    Permit(PermitAnswer),
    /// An answer in the search for the origin of a stream.
    Origin(OriginReply),
    /// Another host has heard what a target says of itself.
    TargetNews {
        target: String,
        notices: TargetNotices,
    },
    /// What follows for requests with a key from now on; `None` if nothing speaks against it.
    PoisonVerdict {
        key: PoisonKey,
        verdict: Option<PoisonVerdict>,
    },
    /// Another host asks for a part of this one's allowance of repeats.
    LoanAsked {
        to: SocketAddr,
        ask: LoanAsk,
    },
}

/// What the traffic thread needs from its start.
pub struct TrafficParts {
    pub settings: NodeSettings,
    pub formats: Arc<dyn Formats>,
    pub listener: TcpListener,
    /// Takes the requests that other hosts forward.
    pub forwards: TcpListener,
    pub inputs: flume::Receiver<TrafficInput>,
    pub control: flume::Sender<ControlRequest>,
    pub stop: watch::Receiver<HostStop>,
    /// Callers' connections that are open, for whoever waits for the last.
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
    let board = Rc::new(RefCell::new(TargetTable::new(settings, parts.control)));
    let listener = non_blocking(parts.listener)?;
    let forwards = non_blocking(parts.forwards)?;
    let front = FrontListener::new(
        board.clone(),
        parts.formats,
        &parts.settings.hall,
        StopWatch::new(parts.stop),
        parts.open_connections,
        HostMemory::new(parts.settings.memory_limit),
    );
    let front = Rc::new(front);
    spawn_local(front.clone().serve(listener, RequestOrigin::Caller));
    spawn_local(front.serve(forwards, RequestOrigin::Host));
    let mut usage = tokio::time::interval(USAGE_PERIOD);
    let mut period = 0u32;
    loop {
        tokio::select! {
            input = parts.inputs.recv_async() => match input {
                Ok(input) => take(&board, input),
                // The control thread is gone, and the process with it.
                Err(_) => return Ok(()),
            },
            _ = usage.tick() => {
                period = period.wrapping_add(1);
                let mut board = board.borrow_mut();
                if !board.is_large_site() || period.is_multiple_of(LARGE_SITE_PERIODS) {
                    board.report_usage(Instant::now());
                }
                if period.is_multiple_of(PACE_PERIODS) {
                    board.update_unequal_services();
                }
                tell_ages(&mut board, bounds);
                board.maintain_budgets(Instant::now());
                board.report_survivors(Instant::now());
            }
        }
    }
}

fn non_blocking(listener: TcpListener) -> Result<tokio::net::TcpListener, RunError> {
    listener
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpListener::from_std(listener))
        .map_err(|problem| RunError::Call(problem.to_string()))
}

/// Tells of what requests rested on, if that came near its bounds.
fn tell_ages(
    board: &mut TargetTable,
    bounds: &Bounds,
) {
    let Some(largest) = board.take_max_staleness(Instant::now()) else {
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

fn take(
    board: &Rc<RefCell<TargetTable>>,
    input: TrafficInput,
) {
    let mut board = board.borrow_mut();
    match input {
        TrafficInput::View(view) => board.set_view(view),
        TrafficInput::Confirmed(confirmation) => board.set_freshness(confirmation),
        TrafficInput::Placement(placement) => board.on_placement(&placement, Instant::now()),
        TrafficInput::Load(load) => board.on_engine_load(&load, Instant::now()),
        TrafficInput::Standing(standing) => board.on_engine_status(&standing, Instant::now()),
        TrafficInput::PoisonVerdict { key, verdict } => board.crashes.set_verdict(key, verdict),
        TrafficInput::PlaceGiven(given) => {
            board.pending_slots.on_answer(given.id, given);
        }
        TrafficInput::Permit(answer) => {
            board.pending_permits.on_answer(answer.id, answer);
        }
        TrafficInput::Origin(reply) => board.pending_origins.on_reply(reply),
        TrafficInput::TargetNews { target, notices } => {
            board.on_peer_notices(&target, &notices, Instant::now());
        }
        TrafficInput::Charged(answer) => board.quotas.on_answer(answer),
        TrafficInput::Borrowed(loan) => board.on_loan(&loan, Instant::now()),
        TrafficInput::LoanAsked { to, ask } => board.on_loan_request(to, &ask, Instant::now()),
    }
}
