//! Finds out whether a silent target answers over a new connection, and whether others of its service do.

use {
    super::{
        health_check::{CHECK_TIMEOUT, Health, HealthCheck},
        reach_check::suspect_unreached,
        request_trace::millis,
    },
    crate::{
        clock::Instant,
        connection::targets::{TargetIncarnation, TargetTable},
        formats::HeaderNames,
        note,
        timeline::Event,
        version::routing::TargetService,
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// Pause between two checks of a target that does not answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Checks a silent target in the background until it answers or sends anything, unless it is being checked.
pub fn suspect_silent(
    table: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    service: &Arc<TargetService>,
    incarnation: &TargetIncarnation,
) {
    let now = Instant::now();
    let begins = {
        let mut table = table.borrow_mut();
        let link = table.link_of(incarnation);
        link.is_some_and(|link| link.check.begin(now))
    };
    if begins {
        let check = SilenceCheck {
            table: table.clone(),
            names: names.clone(),
            service: service.clone(),
            incarnation: incarnation.clone(),
            begun: now,
        };
        spawn_local(check.run());
    }
}

/// Checks of one incarnation of a target.
struct SilenceCheck {
    table: Rc<RefCell<TargetTable>>,
    names: HeaderNames,
    service: Arc<TargetService>,
    incarnation: TargetIncarnation,
    begun: Instant,
}

impl SilenceCheck {
    async fn run(self) {
        let check = HealthCheck::new(&self.names, &self.service, &self.incarnation.0);
        let mut is_logged = false;
        while let Some(address) = self.address() {
            let begun = Instant::now();
            self.check_others(begun);
            // A target that refuses the connection is full, or has ended: then its connections end by themselves.
            if check.at(address).await != Health::Silent {
                self.on_answered();
                break;
            }
            self.on_unanswered(begun);
            if !is_logged && self.address().is_some() {
                self.log_unresponsive();
                is_logged = true;
            }
            sleep(CHECK_INTERVAL).await;
        }
        if is_logged {
            self.log_responsive();
        }
    }

    /// Returns the target's address; `None` once these checks are over or the target is gone.
    fn address(&self) -> Option<SocketAddr> {
        let mut table = self.table.borrow_mut();
        let link = table.link_of(&self.incarnation)?;
        let is_running = link.check.is_running(self.begun);
        is_running.then_some(link.view.record.address)
    }

    /// Checks the other targets too if nothing has come from them lately.
    fn check_others(
        &self,
        now: Instant,
    ) {
        let lately = now - CHECK_TIMEOUT;
        if !self.hears_others(lately) {
            suspect_unreached(&self.table, &self.names, &self.service);
        }
    }

    fn hears_others(
        &self,
        since: Instant,
    ) -> bool {
        let table = self.table.borrow();
        table.hears_others(&self.service.name, &self.incarnation.0, since)
    }

    fn on_answered(&self) {
        let mut table = self.table.borrow_mut();
        if let Some(link) = table.link_of(&self.incarnation) {
            link.check.on_answered(Instant::now());
        }
    }

    fn on_unanswered(
        &self,
        begun: Instant,
    ) {
        let others_heard = self.hears_others(begun);
        let mut table = self.table.borrow_mut();
        if let Some(link) = table.link_of(&self.incarnation) {
            link.check.on_unanswered(others_heard);
        }
    }

    fn log_unresponsive(&self) {
        let table = self.table.borrow();
        let now = Instant::now();
        let silence = table.silence_of(&self.service.name, &self.incarnation.0, CHECK_TIMEOUT, now);
        note!(
            Event::TargetUnresponsive,
            target = self.incarnation.0,
            service = self.service.name,
            silent_ms = silence.lasted.map_or(-1.0, millis),
            targets = silence.targets,
            silent = silence.silent,
            others_heard_ms = silence.others_heard.map_or(-1.0, millis),
        );
    }

    fn log_responsive(&self) {
        note!(
            Event::TargetResponsive,
            target = self.incarnation.0,
            service = self.service.name,
            after_ms = millis(self.begun.elapsed()),
        );
    }
}
