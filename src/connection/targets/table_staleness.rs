//! Staleness checks of the table replicas that requests depend on, and their reporting.

use {
    super::{
        KeyStatus, MaxStaleness, ReplicaFreshness, TargetTable, VersionDeadline, VersionHistory,
        VersionStatus,
    },
    crate::{
        clock::Instant,
        metrics::{CopyLabels, metrics},
        request::direct::Credential,
    },
    std::{rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// Margin below the bound for revoked keys: covers the time to send a request to its target, and the delay of
/// messages on congested links, by which a replica can be older than it appears until the sender has answered a ping.
const KEY_MARGIN: Duration = Duration::from_millis(1_000);

impl TargetTable {
    pub fn set_freshness(
        &mut self,
        freshness: ReplicaFreshness,
    ) {
        self.freshness = freshness;
        self.freshness_updates.notify_waiters();
    }

    pub fn freshness(&self) -> &ReplicaFreshness {
        &self.freshness
    }

    /// Returns the `Notify` that wakes waiters when the freshness of the replicas has been updated.
    pub fn freshness_updates(&self) -> Rc<Notify> {
        self.freshness_updates.clone()
    }

    /// Returns true if the configuration is fresh enough to route requests.
    pub fn can_route(
        &self,
        now: Instant,
    ) -> bool {
        let bound = self.settings.bounds.declared;
        self.freshness.declared.can_send(bound, now)
    }

    /// Returns true if the list of targets is fresh enough to send requests.
    pub fn can_send(
        &self,
        now: Instant,
    ) -> bool {
        let bound = self.settings.bounds.targets;
        self.freshness.targets.can_send(bound, now)
    }

    /// Returns true if the known adapter versions are fresh enough to send requests.
    pub fn can_use_versions(
        &self,
        now: Instant,
    ) -> bool {
        self.newest_version_deadline()
            .can_begin(Duration::ZERO, now)
    }

    /// Returns true if the configuration is fresh enough to accept a customer's key as valid.
    ///
    /// Unlike the other bounds, this one also holds during an outage of the store.
    pub fn can_accept_keys(
        &self,
        now: Instant,
    ) -> bool {
        let age = self.freshness.declared.age(now);
        age.is_some_and(|age| age + KEY_MARGIN <= self.settings.bounds.revoke)
    }

    /// Returns true if the configuration is fresh enough to reject an unknown key, which may have been added since.
    pub fn can_reject_unknown_keys(
        &self,
        now: Instant,
    ) -> bool {
        let age = self.freshness.declared.age(now);
        age.is_some_and(|age| age <= self.settings.bounds.declared)
    }

    /// Returns the current status of the key with which a request was admitted.
    pub fn key_status(
        &self,
        credential: &Credential,
        now: Instant,
    ) -> KeyStatus {
        let customers = &self.view.routing.customers;
        match customers.of_key(&credential.key) {
            _ if !self.can_accept_keys(now) => KeyStatus::Unconfirmed,
            None => KeyStatus::Revoked,
            Some(customer) if customer.name != credential.customer.name => KeyStatus::Reassigned,
            Some(_) => KeyStatus::Valid,
        }
    }

    /// Returns the newest known version of an adapter.
    pub fn newest_version(
        &self,
        adapter: &str,
    ) -> u64 {
        let history = self.view.versions.get(adapter);
        history.map_or(1, VersionHistory::newest)
    }

    /// Returns the deadline for requests to begin on a version of an adapter.
    pub fn version_deadline(
        &self,
        adapter: &str,
        version: u64,
    ) -> VersionDeadline {
        let bound = self.settings.bounds.version;
        let history = self.view.versions.get(adapter);
        match history.map_or(VersionStatus::Newest, |history| history.status_of(version)) {
            VersionStatus::ReplacedAfter(after) => VersionDeadline::At(after + bound),
            VersionStatus::ReplacedBefore => VersionDeadline::Passed,
            VersionStatus::Newest => self.newest_version_deadline(),
        }
    }

    /// Returns when a request that was sent for a version has to be cancelled unless it has begun; `None` while no newer version
    /// is known.
    pub fn cancellation_time(
        &self,
        adapter: &str,
        version: u64,
        now: Instant,
    ) -> Option<Instant> {
        match version < self.newest_version(adapter) {
            true => self
                .version_deadline(adapter, version)
                .cancellation_time(now),
            false => None,
        }
    }

    /// Returns the `Notify` that wakes waiters when a newer version of an adapter is known.
    pub fn version_updates(&self) -> Rc<Notify> {
        self.version_updates.clone()
    }

    /// Returns the deadline for the newest known version: a newer one may have been published right after the
    /// configuration was last confirmed.
    fn newest_version_deadline(&self) -> VersionDeadline {
        let bound = self.settings.bounds.version;
        let declared = &self.freshness.declared;
        match declared.confirmed_at {
            Some(at) if !declared.store_failed => VersionDeadline::At(at + bound),
            _ => VersionDeadline::Unlimited,
        }
    }

    /// Records the staleness of the configuration for a request that is routed.
    pub fn record_routing_staleness(
        &mut self,
        now: Instant,
    ) {
        if let Some(age) = self.freshness.declared.age(now) {
            self.staleness_monitor.on_routed(age);
            observe_age("declared", age);
        }
    }

    /// Records the staleness of the list of targets for a request that is sent.
    pub fn record_send_staleness(
        &mut self,
        now: Instant,
    ) {
        if let Some(age) = self.freshness.targets.age(now) {
            self.staleness_monitor.on_sent(age);
            observe_age("targets", age);
        }
    }

    /// Returns the largest staleness of the last interval, once per interval if it is near a bound.
    pub fn take_max_staleness(
        &mut self,
        now: Instant,
    ) -> Option<MaxStaleness> {
        self.staleness_monitor.end_interval(now)
    }
}

fn observe_age(
    table: &'static str,
    age: Duration,
) {
    let labels = CopyLabels { table };
    let ages = &metrics().belief_age;
    ages.get_or_create(&labels).observe(age.as_secs_f64());
}
