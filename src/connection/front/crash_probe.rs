//! Finds out whether a target has ended under a request, or only broke its answer off.

use {
    crate::{
        clock::Instant,
        connection::{
            http1::{CallClient, CallEnd, CallLimit},
            targets::{SuspectRequest, TargetIncarnation, TargetTable},
        },
        formats::{HeaderNames, HttpCall},
        note,
        request::{
            direct::CallRequest,
            poison::{PoisonReport, Strike, TargetEnd},
        },
        timeline::Event,
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::task::spawn_local,
};

/// Time for a target's answer to a check of its health; a sound one answers within some milliseconds.
const PROBE_LIMIT: Duration = Duration::from_millis(300);

/// Time from the first check to the second. One that turned the first away for want of room has answered others by then; an end is
/// told to all hosts so much later.
const SECOND_CHECK: Duration = Duration::from_millis(200);

/// What a check of a target's health showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Health {
    /// It answered, whatever it said.
    Answers,
    /// Nothing takes connections there, or they end at once.
    Down,
    /// It says nothing: a link may be cut.
    Silent,
}

/// A check of the health of one target.
struct HealthCheck {
    call: HttpCall,
    /// The header line that lets only this target answer.
    expect: String,
}

impl HealthCheck {
    fn new(
        names: &HeaderNames,
        request: &CallRequest,
        target: &str,
    ) -> Self {
        Self {
            call: HttpCall::get(request.service.health_path.clone()),
            expect: format!("{}: {target}\r\n", names.expect_target),
        }
    }

    /// Asks over a connection of its own: others may have ended for reasons of theirs.
    async fn at(
        &self,
        address: SocketAddr,
    ) -> Health {
        let limit = CallLimit::whole(PROBE_LIMIT);
        let mut client = CallClient::new(address);
        match client.call(&self.call, &self.expect, limit).await {
            Ok(_) => Health::Answers,
            Err(failure) => match failure.end {
                CallEnd::TimedOut | CallEnd::Silent => Health::Silent,
                CallEnd::Broken(_) => Health::Down,
            },
        }
    }
}

/// True if a target answers right now. Before a suspected request is sent: should the target end, then under it.
pub async fn answers_now(
    board: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    request: &CallRequest,
    target: &str,
) -> bool {
    let address = {
        let board = board.borrow();
        let link = board.links.get(target);
        link.map(|link| link.view.record.address)
    };
    match address {
        Some(address) => {
            HealthCheck::new(names, request, target).at(address).await == Health::Answers
        }
        None => false,
    }
}

/// A request was lost as its target had just begun it: finds out whether the target has ended, and tells all
/// hosts if so.
pub fn accuse(
    board: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    request: &CallRequest,
    run: TargetIncarnation,
    begun: bool,
) {
    let lost = Instant::now();
    let accused = SuspectRequest {
        begun,
        fingerprint: request.fingerprint(),
        id: request.id_text().to_string(),
    };
    let address = {
        let mut board = board.borrow_mut();
        board.crashes.on_loss(&run.0, lost);
        let link = board.links.get(&run.0);
        // One that leaves ends by plan, whatever runs there.
        let link = link.filter(|link| link.view.usable_until.is_none());
        let Some(address) = link.map(|link| link.view.record.address) else {
            return;
        };
        if !board.crashes.add_suspect(&run, accused) {
            return;
        }
        address
    };
    let probe = CrashProbe {
        board: board.clone(),
        check: HealthCheck::new(names, request, &run.0),
        run,
        lost,
    };
    spawn_local(probe.run(address));
}

/// A target gave a request a whole answer: what ended under it before was ended by others.
pub fn acquit(
    board: &Rc<RefCell<TargetTable>>,
    request: &CallRequest,
) {
    let board = board.borrow();
    if board.crashes.is_empty() {
        return;
    }
    let fingerprint = request.fingerprint();
    if board.crashes.status(&fingerprint).is_some() {
        board.report_poison(PoisonReport::Cleared { fingerprint });
    }
}

/// Looks at one start of a target.
struct CrashProbe {
    board: Rc<RefCell<TargetTable>>,
    check: HealthCheck,
    run: TargetIncarnation,
    lost: Instant,
}

impl CrashProbe {
    async fn run(
        self,
        address: SocketAddr,
    ) {
        let ended = self.has_ended(address).await;
        let mut board = self.board.borrow_mut();
        let accused = board.crashes.take_suspects(&self.run);
        if !ended {
            note!(
                Event::AccusationDropped,
                target = self.run.0,
                requests = accused.len(),
            );
            return;
        }
        let alone = board.crashes.is_isolated_loss(&self.run.0, self.lost);
        let end = TargetEnd::of(&self.run.0, self.run.1);
        let beside = accused.len() - 1;
        for accused in &accused {
            note!(
                Event::RequestAccused,
                id = accused.id,
                fingerprint = accused.fingerprint,
                target = self.run.0,
                begun = accused.begun,
                alone = alone,
                beside = beside,
            );
        }
        let strike = |accused: &SuspectRequest| {
            let begun = accused.begun;
            (accused.fingerprint, Strike { end, begun, alone })
        };
        let strikes = accused.iter().map(strike).collect();
        board.report_poison(PoisonReport::Struck { strikes });
    }

    /// True if the target takes no connections twice, and nothing was heard of this start meanwhile.
    async fn has_ended(
        &self,
        address: SocketAddr,
    ) -> bool {
        if self.check.at(address).await != Health::Down {
            return self.has_other_start();
        }
        tokio::time::sleep(SECOND_CHECK).await;
        if self.has_other_start() {
            return true;
        }
        self.check.at(address).await == Health::Down && !self.was_heard()
    }

    /// True if the target is gone or has started anew.
    fn has_other_start(&self) -> bool {
        let board = self.board.borrow();
        let link = board.links.get(&self.run.0);
        link.is_none_or(|link| link.view.record.started != self.run.1)
    }

    /// True if this start of the target has sent anything since the loss.
    fn was_heard(&self) -> bool {
        let board = self.board.borrow();
        let link = board.links.get(&self.run.0);
        link.and_then(|link| link.last_received)
            .is_some_and(|at| at > self.lost)
    }
}
