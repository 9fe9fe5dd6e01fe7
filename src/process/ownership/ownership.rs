use {
    super::{OwnerRow, SessionWatch, assign},
    crate::{
        clock::Instant,
        process::membership::{Liveness, Membership},
        version::SiteConfig,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// An owner that sees a better assignment waits this long before it hands over.
const HANDOVER_CALM: Duration = Duration::from_millis(600);

/// Targets handed over in one step, so that a joining host causes no storm.
const HANDOVERS_AT_ONCE: usize = 4;

/// A target that this process owns.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldTarget {
    /// The version of the ownership row.
    pub fence: u64,
    /// Term of the lease that it was gained in.
    pub term: u64,
    pub since: Instant,
}

/// A row as last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SeenRow {
    version: u64,
    row: OwnerRow,
}

/// What ownership wants done at the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnershipAction {
    /// Commit the target's row to this process if it still has the version seen.
    Take { target: String, seen: u64 },
    /// Commit the target's row to another host.
    HandOver {
        target: String,
        seen: u64,
        to: String,
        session: u64,
    },
    /// Read the session row of a host whose end must be awaited.
    WatchSession { host: String },
}

/// Decides which targets this process takes, keeps and hands over.
pub struct Ownership {
    me: String,
    session: u64,
    /// Lease, margin and order time: how long a lapsed owner could still act.
    wait: Duration,
    rows: BTreeMap<String, SeenRow>,
    held: BTreeMap<String, HeldTarget>,
    /// Transactions under way, by target.
    pending: BTreeMap<String, Instant>,
    watch: SessionWatch,
    /// Who should own each target, and the revision and hosts that it was computed for.
    assigned: BTreeMap<String, String>,
    assigned_for: (u64, Vec<String>),
    better_since: BTreeMap<String, Instant>,
}

/// A transaction whose outcome was never learnt is tried again after this time.
const PENDING_LIMIT: Duration = Duration::from_secs(3);

impl Ownership {
    pub fn new(
        me: &str,
        session: u64,
        wait: Duration,
    ) -> Self {
        Self {
            me: me.to_string(),
            session,
            wait,
            rows: BTreeMap::new(),
            held: BTreeMap::new(),
            pending: BTreeMap::new(),
            watch: SessionWatch::default(),
            assigned: BTreeMap::new(),
            assigned_for: (0, Vec::new()),
            better_since: BTreeMap::new(),
        }
    }

    /// Targets that this process owns.
    pub fn held(&self) -> &BTreeMap<String, HeldTarget> {
        &self.held
    }

    /// The owner that the table last named, with the fence.
    pub fn owner(
        &self,
        target: &str,
    ) -> Option<(&str, u64)> {
        self.rows
            .get(target)
            .map(|seen| (seen.row.host.as_str(), seen.version))
    }

    /// Every row as last seen, with its version.
    pub fn rows(&self) -> impl Iterator<Item = (&String, u64, &OwnerRow)> {
        self.rows
            .iter()
            .map(|(target, seen)| (target, seen.version, &seen.row))
    }

    /// A row was read or written; returns the target when this process gained or lost it.
    pub fn on_row(
        &mut self,
        target: &str,
        version: u64,
        row: OwnerRow,
        term: u64,
        now: Instant,
    ) -> Option<OwnerChange> {
        let old = self.rows.get(target).map_or(0, |seen| seen.version);
        if version <= old {
            return None;
        }
        self.pending.remove(target);
        let ours = row.host == self.me && row.session == self.session;
        self.rows
            .insert(target.to_string(), SeenRow { version, row });
        match (ours, self.held.remove(target)) {
            (true, _) => {
                let held = HeldTarget {
                    fence: version,
                    term,
                    since: now,
                };
                self.held.insert(target.to_string(), held);
                Some(OwnerChange::Gained)
            }
            (false, Some(_)) => Some(OwnerChange::Lost),
            (false, None) => None,
        }
    }

    /// A row was deleted, or the target left the configuration.
    pub fn forget(
        &mut self,
        target: &str,
    ) -> Option<OwnerChange> {
        self.rows.remove(target);
        self.held.remove(target).map(|_| OwnerChange::Lost)
    }

    /// The target refused this process's fence: someone else owns it.
    pub fn on_fenced_off(
        &mut self,
        target: &str,
    ) -> Option<OwnerChange> {
        self.held.remove(target).map(|_| OwnerChange::Lost)
    }

    /// A transaction came to nothing.
    pub fn on_failed(
        &mut self,
        target: &str,
    ) {
        self.pending.remove(target);
    }

    /// A watched session row was read.
    pub fn on_session_read(
        &mut self,
        host: &str,
        version: u64,
        row: Option<super::SessionRow>,
        asked: Instant,
        now: Instant,
    ) {
        self.watch.on_read(host, version, row, asked, now);
    }

    /// What should be done now.
    pub fn decide(
        &mut self,
        config: &SiteConfig,
        membership: &Membership,
        term: u64,
        now: Instant,
    ) -> Vec<OwnershipAction> {
        self.pending
            .retain(|_, since| now.saturating_duration_since(*since) < PENDING_LIMIT);
        self.assign_anew(config, membership);
        let assigned = std::mem::take(&mut self.assigned);
        let mut actions = Vec::new();
        let mut handovers = 0;
        for (target, host) in &assigned {
            if self.pending.contains_key(target) {
                continue;
            }
            let action = match self.held.get(target) {
                Some(held) if *host != self.me && handovers < HANDOVERS_AT_ONCE => {
                    let fence = held.fence;
                    self.hand_over(target, fence, host, membership, now)
                }
                // What an old term of the lease gave may be another host's by now.
                Some(held) if held.term != term && !checks_fences(config, target) => {
                    let seen = held.fence;
                    Some(OwnershipAction::Take {
                        target: target.to_string(),
                        seen,
                    })
                }
                Some(_) => {
                    self.better_since.remove(target);
                    None
                }
                None if *host == self.me => self.take(target, config, membership, now),
                None => None,
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
        self.watch.keep(|host| membership.is_gone(host));
        actions
    }

    /// Computes who should own what, only when the hosts or the targets have changed.
    fn assign_anew(
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
        let owned = |(target, host): (&str, &str)| (target.to_string(), host.to_string());
        self.assigned = assign(targets, &hosts).into_iter().map(owned).collect();
        let hosts = hosts.into_iter().map(str::to_string).collect();
        self.assigned_for = (config.revision, hosts);
    }

    fn take(
        &mut self,
        target: &str,
        config: &SiteConfig,
        membership: &Membership,
        now: Instant,
    ) -> Option<OwnershipAction> {
        let take = |seen| OwnershipAction::Take {
            target: target.to_string(),
            seen,
        };
        let Some(seen) = self.rows.get(target) else {
            return Some(take(0));
        };
        // A row of this host's earlier process: that process is gone.
        if seen.row.host == self.me {
            return Some(take(seen.version));
        }
        if !membership.is_gone(&seen.row.host) {
            return None;
        }
        let checks = checks_fences(config, target);
        let over = self
            .watch
            .is_over(&seen.row.host, seen.row.session, self.wait);
        if over || checks && membership.is_confirmed_dead(&seen.row.host) {
            return Some(take(seen.version));
        }
        let host = seen.row.host.clone();
        self.watch.watch(&host, now);
        Some(OwnershipAction::WatchSession { host })
    }

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
        let since = *self.better_since.entry(target.to_string()).or_insert(now);
        let calm = now.saturating_duration_since(since) >= HANDOVER_CALM;
        if !calm && !membership.is_leaving() {
            return None;
        }
        self.better_since.remove(target);
        Some(OwnershipAction::HandOver {
            target: target.to_string(),
            seen: fence,
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

/// What a row changed for this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerChange {
    Gained,
    Lost,
}
