use {
    super::{OwnerRow, SessionWatch, assign, owner_row::era_of},
    crate::{
        clock::Instant,
        process::membership::{Liveness, Membership},
        version::SiteConfig,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Delay before a target is handed over to the host it is assigned to.
const HANDOVER_DELAY: Duration = Duration::from_millis(600);

/// Maximum number of handovers per decision, to limit the load when a host joins.
const MAX_HANDOVERS_PER_DECISION: usize = 4;

/// A target that this process owns.
#[derive(Debug, Clone, PartialEq)]
pub struct OwnedTarget {
    /// The version of the ownership row.
    pub fence: u64,
    /// Lease term in which the target was acquired.
    pub term: u64,
    pub since: Instant,
    /// When the target is lost unless it is taken again, as the table came back from an older copy; `None` if the table holds
    /// this host's row.
    pub held_until: Option<Instant>,
}

/// The latest known state of an ownership row.
#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownRow {
    version: u64,
    row: OwnerRow,
}

/// An operation on the table that `Ownership` requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipAction {
    /// Writes this process as owner if the row still has version `expected_version`.
    Take {
        target: String,
        expected_version: u64,
        era: u32,
    },
    /// Writes another host as owner if the row still has version `expected_version`.
    HandOver {
        target: String,
        expected_version: u64,
        era: u32,
        to: String,
        session: u64,
    },
    /// Reads the session row of a host whose session must end before its targets are taken over.
    WatchSession { host: String },
}

/// Decides which targets this process takes over, keeps and hands over.
pub struct Ownership {
    local_host: String,
    session: u64,
    /// Time after which a session that is not renewed counts as expired: lease length and margin.
    lapse_wait: Duration,
    rows: BTreeMap<String, KnownRow>,
    owned: BTreeMap<String, OwnedTarget>,
    /// Start of the transaction in flight, by target.
    pending: BTreeMap<String, Instant>,
    watch: SessionWatch,
    /// Era of the table; `None` before the first look at it.
    era: Option<u32>,
    /// When this process learned that rows may be missing or outdated, as the table came back from an older copy.
    restored_at: Option<Instant>,
    /// The host that each target is assigned to.
    assigned: BTreeMap<String, String>,
    /// Configuration revision and hosts that the assignment was computed for.
    assigned_for: (u64, Vec<String>),
    /// Since when an owned target has been assigned to another host.
    misplaced_since: BTreeMap<String, Instant>,
}

/// Time after which a transaction with an unknown outcome may be repeated.
const PENDING_TIMEOUT: Duration = Duration::from_secs(3);

impl Ownership {
    pub fn new(
        local_host: &str,
        session: u64,
        lapse_wait: Duration,
    ) -> Self {
        Self {
            local_host: local_host.to_string(),
            session,
            lapse_wait,
            rows: BTreeMap::new(),
            owned: BTreeMap::new(),
            pending: BTreeMap::new(),
            watch: SessionWatch::default(),
            era: None,
            restored_at: None,
            assigned: BTreeMap::new(),
            assigned_for: (0, Vec::new()),
            misplaced_since: BTreeMap::new(),
        }
    }

    /// Returns the targets that this process owns.
    pub fn owned(&self) -> &BTreeMap<String, OwnedTarget> {
        &self.owned
    }

    /// Returns the last known owner of a target and its fence.
    pub fn owner(
        &self,
        target: &str,
    ) -> Option<(&str, u64)> {
        self.rows
            .get(target)
            .map(|known| (known.row.host.as_str(), known.version))
    }

    /// Returns the target, version and value of every known row.
    pub fn rows(&self) -> impl Iterator<Item = (&String, u64, &OwnerRow)> {
        self.rows
            .iter()
            .map(|(target, known)| (target, known.version, &known.row))
    }

    /// Records the era of a look at the table; returns true if the table came back from an older copy since the last one.
    ///
    /// Targets owned here are lost at `held_until`, the end of the lease, unless they are taken again before.
    pub fn on_era(
        &mut self,
        era: u32,
        held_until: Instant,
        now: Instant,
    ) -> bool {
        let known = *self.era.get_or_insert(era);
        if era <= known {
            return false;
        }
        self.era = Some(era);
        self.restored_at = Some(now);
        self.rows.clear();
        self.pending.clear();
        for owned in self.owned.values_mut() {
            owned.held_until.get_or_insert(held_until);
        }
        true
    }

    /// Gives up the targets that were not taken again in time; returns them.
    pub fn take_lost(
        &mut self,
        now: Instant,
    ) -> Vec<String> {
        let is_lost = |owned: &OwnedTarget| owned.held_until.is_some_and(|until| now >= until);
        let lost = self.owned.iter().filter(|(_, owned)| is_lost(owned));
        let lost: Vec<String> = lost.map(|(target, _)| target.clone()).collect();
        for target in &lost {
            self.owned.remove(target);
        }
        lost
    }

    /// Records a row that was read or written; returns whether this process gained or lost the target.
    pub fn on_row(
        &mut self,
        target: &str,
        version: u64,
        row: OwnerRow,
        term: u64,
        now: Instant,
    ) -> Option<OwnerChange> {
        let old = self.rows.get(target).map_or(0, |known| known.version);
        if version <= old || self.era.is_some_and(|era| era_of(version) < era) {
            return None;
        }
        self.pending.remove(target);
        if !row.is_current(version) {
            self.restored_at.get_or_insert(now);
            self.rows
                .insert(target.to_string(), KnownRow { version, row });
            return None;
        }
        let ours = row.host == self.local_host && row.session == self.session;
        self.rows
            .insert(target.to_string(), KnownRow { version, row });
        match (ours, self.owned.remove(target)) {
            (true, _) => {
                let owned = OwnedTarget {
                    fence: version,
                    term,
                    since: now,
                    held_until: None,
                };
                self.owned.insert(target.to_string(), owned);
                Some(OwnerChange::Gained)
            }
            (false, Some(_)) => Some(OwnerChange::Lost),
            (false, None) => None,
        }
    }

    /// Removes a row that was deleted from the table.
    pub fn on_row_deleted(
        &mut self,
        target: &str,
    ) -> Option<OwnerChange> {
        self.rows.remove(target);
        self.owned.remove(target).map(|_| OwnerChange::Lost)
    }

    /// Gives up a target that rejected this process's fence, as another host owns it.
    pub fn on_fenced_off(
        &mut self,
        target: &str,
    ) -> Option<OwnerChange> {
        self.owned.remove(target).map(|_| OwnerChange::Lost)
    }

    /// Clears the transaction in flight after it failed.
    pub fn on_transaction_failed(
        &mut self,
        target: &str,
    ) {
        self.pending.remove(target);
    }

    /// Records a read of a watched session row.
    pub fn on_session_read(
        &mut self,
        host: &str,
        version: u64,
        row: Option<super::SessionRow>,
        requested_at: Instant,
        now: Instant,
    ) {
        self.watch.on_read(host, version, row, requested_at, now);
    }

    /// Returns the operations that are due.
    pub fn decide(
        &mut self,
        config: &SiteConfig,
        membership: &Membership,
        term: u64,
        now: Instant,
    ) -> Vec<OwnershipAction> {
        self.pending
            .retain(|_, since| now.saturating_duration_since(*since) < PENDING_TIMEOUT);
        self.update_assignment(config, membership);
        let assigned = std::mem::take(&mut self.assigned);
        let mut actions = Vec::new();
        let mut handovers = 0;
        let era = self.era.unwrap_or_default();
        for (target, host) in &assigned {
            if self.pending.contains_key(target) {
                continue;
            }
            let action = match self.owned.get(target) {
                Some(owned) if owned.held_until.is_some() => Some(OwnershipAction::Take {
                    target: target.to_string(),
                    expected_version: self.rows.get(target).map_or(0, |known| known.version),
                    era,
                }),
                Some(owned)
                    if *host != self.local_host && handovers < MAX_HANDOVERS_PER_DECISION =>
                {
                    let fence = owned.fence;
                    self.hand_over(target, fence, host, membership, now)
                }
                // The lease lapsed since the target was acquired: another host may own it now.
                Some(owned) if owned.term != term && !checks_fences(config, target) => {
                    let expected_version = owned.fence;
                    Some(OwnershipAction::Take {
                        target: target.to_string(),
                        expected_version,
                        era,
                    })
                }
                Some(_) => {
                    self.misplaced_since.remove(target);
                    None
                }
                None if *host == self.local_host => self.take(target, config, membership, now),
                None => self.take_from_earlier_process(target),
            };
            if let Some(action) = action {
                if let OwnershipAction::HandOver { .. } = action {
                    handovers += 1;
                }
                if !matches!(action, OwnershipAction::WatchSession { .. }) {
                    self.pending.insert(target.to_string(), now);
                }
                actions.push(action);
            }
        }
        self.assigned = assigned;
        self.watch.retain(|host| membership.is_gone(host));
        actions
    }

    /// Recomputes the assignment if the hosts or the configuration have changed.
    fn update_assignment(
        &mut self,
        config: &SiteConfig,
        membership: &Membership,
    ) {
        let hosts = membership.eligible();
        let same_hosts = hosts.iter().eq(self.assigned_for.1.iter());
        if same_hosts && self.assigned_for.0 == config.revision {
            return;
        }
        let targets = config.targets.keys().map(String::as_str);
        let to_owned_pair = |(target, host): (&str, &str)| (target.to_string(), host.to_string());
        self.assigned = assign(targets, &hosts)
            .into_iter()
            .map(to_owned_pair)
            .collect();
        let hosts = hosts.into_iter().map(str::to_string).collect();
        self.assigned_for = (config.revision, hosts);
    }

    /// Takes a target that an earlier process of this host owned, although it is assigned to another host.
    ///
    /// No other host takes it while this one answers; once taken, it is handed over.
    fn take_from_earlier_process(
        &self,
        target: &str,
    ) -> Option<OwnershipAction> {
        let known = self.rows.get(target)?;
        let is_earlier = known.row.host == self.local_host
            && known.row.session != self.session
            && known.row.is_current(known.version);
        is_earlier.then(|| OwnershipAction::Take {
            target: target.to_string(),
            expected_version: known.version,
            era: self.era.unwrap_or_default(),
        })
    }

    /// Takes a target over once its previous owner can no longer act on it.
    fn take(
        &mut self,
        target: &str,
        config: &SiteConfig,
        membership: &Membership,
        now: Instant,
    ) -> Option<OwnershipAction> {
        let era = self.era.unwrap_or_default();
        let take = |expected_version| OwnershipAction::Take {
            target: target.to_string(),
            expected_version,
            era,
        };
        let known = self.rows.get(target);
        let Some(known) = known.filter(|known| known.row.is_current(known.version)) else {
            // Whoever owned it before the table came back has taken it again by then, or gives no more orders.
            let version = known.map_or(0, |known| known.version);
            return self.has_settled(now).then(|| take(version));
        };
        // The row names an earlier process of this host, which has exited.
        if known.row.host == self.local_host {
            return Some(take(known.version));
        }
        if !membership.is_gone(&known.row.host) {
            return None;
        }
        let fences_checked = checks_fences(config, target);
        let session_over =
            self.watch
                .has_ended(&known.row.host, known.row.session, self.lapse_wait);
        if session_over || fences_checked && membership.is_confirmed_dead(&known.row.host) {
            return Some(take(known.version));
        }
        let host = known.row.host.clone();
        self.watch.watch(&host, now);
        Some(OwnershipAction::WatchSession { host })
    }

    /// Returns true once all leases from before a restoration of the table have ended.
    fn has_settled(
        &self,
        now: Instant,
    ) -> bool {
        self.restored_at
            .is_none_or(|at| now.saturating_duration_since(at) >= self.lapse_wait)
    }

    /// Hands a target over to a live host once the delay has elapsed, or at once during shutdown.
    fn hand_over(
        &mut self,
        target: &str,
        fence: u64,
        to: &str,
        membership: &Membership,
        now: Instant,
    ) -> Option<OwnershipAction> {
        let member = membership.members().get(to)?;
        if member.liveness != Liveness::Alive {
            return None;
        }
        let since = *self
            .misplaced_since
            .entry(target.to_string())
            .or_insert(now);
        let delay_elapsed = now.saturating_duration_since(since) >= HANDOVER_DELAY;
        if !delay_elapsed && !membership.is_leaving() {
            return None;
        }
        self.misplaced_since.remove(target);
        Some(OwnershipAction::HandOver {
            target: target.to_string(),
            expected_version: fence,
            era: self.era.unwrap_or_default(),
            to: to.to_string(),
            session: member.session,
        })
    }
}

fn checks_fences(
    config: &SiteConfig,
    target: &str,
) -> bool {
    config
        .targets
        .get(target)
        .is_some_and(|spec| spec.checks_fences)
}

/// The effect of a row on this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerChange {
    Gained,
    Lost,
}
