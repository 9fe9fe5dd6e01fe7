//! What requests rest on: how old it may be, and how old it was.

use {
    super::{
        Confirmation, KeyStanding, LargestAges, ServesUntil, Succession, TargetBoard,
        VersionHistory,
    },
    crate::{
        clock::Instant,
        metrics::{CopyLabels, metrics},
        request::direct::Credential,
    },
    std::{rc::Rc, time::Duration},
    tokio::sync::Notify,
};

/// What is kept back of the bound for keys that are taken away: the way to the target (0.2 s), and what a copy may
/// be older than it seems. That is the time for which a message waits on its way before its sender has answered
/// a ping, on full links.
const KEY_MARGIN: Duration = Duration::from_millis(1_000);

impl TargetBoard {
    /// The tables behind the view are known to be right as of other times.
    pub fn set_confirmation(
        &mut self,
        confirmation: Confirmation,
    ) {
        self.confirmation = confirmation;
        self.confirmation_news.notify_waiters();
    }

    /// How well the tables behind the view are known to be right.
    pub fn confirmation(&self) -> &Confirmation {
        &self.confirmation
    }

    /// Wakes when more is known of the age of what requests rest on.
    pub fn confirmation_news(&self) -> Rc<Notify> {
        self.confirmation_news.clone()
    }

    /// True if the configuration is young enough to route requests by.
    pub fn allows_routing(
        &self,
        now: Instant,
    ) -> bool {
        let bound = self.settings.bounds.declared;
        self.confirmation.declared.allows_sends(bound, now)
    }

    /// True if the list of targets is young enough to send requests by.
    pub fn allows_sends(
        &self,
        now: Instant,
    ) -> bool {
        let bound = self.settings.bounds.targets;
        self.confirmation.targets.allows_sends(bound, now)
    }

    /// True if what is known of adapters' versions is young enough to send requests by.
    pub fn allows_versions(
        &self,
        now: Instant,
    ) -> bool {
        self.newest_serves_until().allows(Duration::ZERO, now)
    }

    /// True if the configuration is young enough to take a customer's key for one that stands.
    ///
    /// This holds whatever the host can reach: an outage of the store, which lets other beliefs go on, lifts nothing.
    pub fn allows_keys(
        &self,
        now: Instant,
    ) -> bool {
        let age = self.confirmation.declared.age(now);
        age.is_some_and(|age| age + KEY_MARGIN <= self.settings.bounds.revoke)
    }

    /// True if the configuration is young enough to say that a key stands nowhere: it may have been added since.
    pub fn allows_unknown_keys(
        &self,
        now: Instant,
    ) -> bool {
        let age = self.confirmation.declared.age(now);
        age.is_some_and(|age| age <= self.settings.bounds.declared)
    }

    /// How the key stands that a request was admitted by.
    pub fn key_standing(
        &self,
        credential: &Credential,
        now: Instant,
    ) -> KeyStanding {
        let customers = &self.view.routing.customers;
        match customers.of_key(&credential.key) {
            _ if !self.allows_keys(now) => KeyStanding::Unconfirmed,
            None => KeyStanding::Gone,
            Some(customer) if customer.name != credential.customer.name => KeyStanding::Moved,
            Some(_) => KeyStanding::Valid,
        }
    }

    /// The newest version of an adapter, as far as is known.
    pub fn newest_version(
        &self,
        adapter: &str,
    ) -> u64 {
        let history = self.view.versions.get(adapter);
        history.map_or(1, VersionHistory::newest)
    }

    /// Until when requests may begin on a version of an adapter.
    pub fn serves_until(
        &self,
        adapter: &str,
        version: u64,
    ) -> ServesUntil {
        let bound = self.settings.bounds.version;
        let history = self.view.versions.get(adapter);
        match history.map_or(Succession::Newest, |history| history.succession(version)) {
            Succession::ReplacedAfter(after) => ServesUntil::Time(after + bound),
            Succession::ReplacedBefore => ServesUntil::Never,
            Succession::Newest => self.newest_serves_until(),
        }
    }

    /// A newer version may have been named right after this host last heard of any.
    fn newest_serves_until(&self) -> ServesUntil {
        let bound = self.settings.bounds.version;
        let declared = &self.confirmation.declared;
        match declared.right_at {
            Some(right_at) if !declared.store_failed => ServesUntil::Time(right_at + bound),
            _ => ServesUntil::Open,
        }
    }

    /// A request is routed by the configuration as it is known here.
    pub fn note_routed(
        &mut self,
        now: Instant,
    ) {
        if let Some(age) = self.confirmation.declared.age(now) {
            self.belief_ages.on_routed(age);
            observe_age("declared", age);
        }
    }

    /// A request is sent by the list of targets as it is known here.
    pub fn note_sent(
        &mut self,
        now: Instant,
    ) {
        if let Some(age) = self.confirmation.targets.age(now) {
            self.belief_ages.on_sent(age);
            observe_age("targets", age);
        }
    }

    /// The largest ages of what requests rested on, once a second if they come near their bounds.
    pub fn largest_ages(
        &mut self,
        now: Instant,
    ) -> Option<LargestAges> {
        self.belief_ages.end_period(now)
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
