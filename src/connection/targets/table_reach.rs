//! Which services' targets this host reaches.

use {
    super::TargetTable,
    crate::{clock::Instant, metrics::metrics, note, timeline::Event},
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::sync::Notify,
};

/// A target at which a service's reach is checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachProbe {
    pub target: Arc<str>,
    pub address: SocketAddr,
}

impl TargetTable {
    /// Returns true if this host reaches no target of a service over a new connection.
    pub fn is_unreached(
        &self,
        service: &str,
    ) -> bool {
        self.reach
            .get(service)
            .is_some_and(|reach| reach.is_unreached())
    }

    /// Returns true if this host reaches no target of a service over any connection.
    pub fn is_silent(
        &self,
        service: &str,
    ) -> bool {
        self.reach
            .get(service)
            .is_some_and(|reach| reach.is_silent())
    }

    /// Returns true if this host has known for `time` that it reaches no target of a service over any connection.
    pub fn is_silent_for(
        &self,
        service: &str,
        time: Duration,
        now: Instant,
    ) -> bool {
        self.reach
            .get(service)
            .is_some_and(|reach| reach.is_silent_for(time, now))
    }

    /// Returns true if this host reaches no target of any service that has some.
    pub fn reaches_nothing(&self) -> bool {
        !self.by_service.is_empty()
            && self
                .by_service
                .keys()
                .all(|service| self.is_unreached(service))
    }

    /// Returns the `Notify` that wakes waiters when a service becomes unreached, or is reached again.
    pub fn reach_updates(&self) -> Rc<Notify> {
        self.reach_updates.clone()
    }

    /// Returns true if no target of a service has sent anything for `time`, nor since `since`.
    pub fn is_quiet(
        &self,
        service: &str,
        time: Duration,
        since: Instant,
        now: Instant,
    ) -> bool {
        let heard = self.last_heard(service).unwrap_or(since).max(since);
        now.saturating_duration_since(heard) >= time
    }

    /// Starts a check whether a service is reached, unless that is known.
    pub fn begin_reach_check(
        &mut self,
        service: &str,
        now: Instant,
    ) -> bool {
        if self.targets_of(service).is_empty() {
            return false;
        }
        match self.reach.get_mut(service) {
            Some(reach) => reach.begin_check(now),
            None => {
                let reach = self.reach.entry(service.to_string()).or_default();
                reach.begin_check(now)
            }
        }
    }

    /// Returns up to `count` targets of a service, chosen at random.
    pub fn reach_probes(
        &self,
        service: &str,
        count: usize,
    ) -> Vec<ReachProbe> {
        let targets = self.targets_of(service);
        let probe = |at: &super::ServiceTarget| ReachProbe {
            target: at.id.clone(),
            address: self.links[&at.id].view.record.address,
        };
        targets.sample(&mut rand::rng(), count).map(probe).collect()
    }

    /// Handles the end of a check that no target answered.
    pub fn on_reach_unanswered(
        &mut self,
        service: &str,
        checked: usize,
        now: Instant,
    ) {
        let last_heard = self.last_heard(service);
        let Some(reach) = self.reach.get_mut(service) else {
            return;
        };
        if !reach.on_unanswered(last_heard, now) {
            return;
        }
        if reach.is_silent() {
            self.drop_idle_connections(service);
        }
        let heard_age = last_heard.map(|at| now.saturating_duration_since(at));
        note!(
            Event::ServiceUnreached,
            service = service,
            checked = checked,
            targets = self.targets_of(service).len(),
            silent = self.is_silent(service),
            heard_ms = heard_age.map_or(-1.0, |age| age.as_secs_f64() * 1000.0),
            hosts = self.view.hosts,
        );
        self.on_reach_changed();
    }

    /// Handles an answer of a service's target over a new connection.
    pub fn on_reach_answered(
        &mut self,
        service: &str,
        now: Instant,
    ) {
        let Some(reach) = self.reach.get_mut(service) else {
            return;
        };
        let Some(lasted) = reach.on_answered(now) else {
            return;
        };
        // These failures were of this host's link, not of the targets.
        for target in self.by_service.get(service).into_iter().flatten() {
            if let Some(link) = self.links.get_mut(&target.id) {
                link.health.on_success();
            }
        }
        note!(
            Event::ServiceReached,
            service = service,
            after_ms = lasted.as_secs_f64() * 1000.0,
        );
        self.on_reach_changed();
    }

    fn on_reach_changed(&self) {
        let unreached = self.reach.values().filter(|reach| reach.is_unreached());
        metrics().services_unreached.set(unreached.count() as i64);
        self.reach_updates.notify_waiters();
    }

    /// Returns when any target of a service last sent anything.
    fn last_heard(
        &self,
        service: &str,
    ) -> Option<Instant> {
        let targets = self.targets_of(service).iter();
        targets
            .filter_map(|target| self.links[&target.id].last_received)
            .max()
    }

    fn drop_idle_connections(
        &mut self,
        service: &str,
    ) {
        for target in self.by_service.get(service).into_iter().flatten() {
            if let Some(link) = self.links.get_mut(&target.id) {
                link.drop_idle();
            }
        }
    }
}
