//! Finds out whether a quiet target has survived the answer to a request with a part of a prompt under which targets have crashed.
//!
//! A busy target shows it by what it sends next. A target with few requests, or with short answers, may send nothing for seconds,
//! and sound parts that are in many prompts would have no survivor.

use {
    super::health_check::{Health, HealthCheck},
    crate::{
        clock::Instant,
        connection::targets::{SURVIVAL_TIME, TargetIncarnation, TargetTable},
        formats::HeaderNames,
        request::direct::CallRequest,
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc},
    tokio::{task::spawn_local, time::sleep},
};

/// Checks in the background whether a target survives an answer that it has just begun, if that matters.
pub fn check_survival(
    table: &Rc<RefCell<TargetTable>>,
    names: &HeaderNames,
    request: &CallRequest,
    incarnation: &TargetIncarnation,
) {
    let begins = {
        let mut table = table.borrow_mut();
        let parts = request.part_keys();
        table.crashes.begin_survival_check(&parts, incarnation)
    };
    if !begins {
        return;
    }
    let check = SurvivalCheck {
        table: table.clone(),
        check: HealthCheck::new(names, &request.service, &incarnation.0),
        incarnation: incarnation.clone(),
        answer_began: Instant::now(),
    };
    spawn_local(check.run());
}

/// A check of one incarnation of a target.
struct SurvivalCheck {
    table: Rc<RefCell<TargetTable>>,
    check: HealthCheck,
    incarnation: TargetIncarnation,
    answer_began: Instant,
}

impl SurvivalCheck {
    async fn run(self) {
        sleep(SURVIVAL_TIME).await;
        let began = Instant::now();
        let health = match self.address_if_quiet() {
            Some(address) => self.check.at(address).await,
            None => Health::Silent,
        };
        let mut table = self.table.borrow_mut();
        // The answer may be that of the target's next incarnation.
        let is_same = table.link_of(&self.incarnation).is_some();
        let survived = is_same && health == Health::Answering;
        let survived = survived.then_some(began);
        table
            .crashes
            .end_survival_check(&self.incarnation, survived);
    }

    /// Returns the target's address, unless it has sent something that shows that it has survived, or is gone.
    fn address_if_quiet(&self) -> Option<SocketAddr> {
        let mut table = self.table.borrow_mut();
        let link = table.link_of(&self.incarnation)?;
        let survived_at = self.answer_began + SURVIVAL_TIME;
        let is_quiet = link.last_received.is_none_or(|at| at < survived_at);
        is_quiet.then_some(link.view.record.address)
    }
}
