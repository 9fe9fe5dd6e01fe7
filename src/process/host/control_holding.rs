//! The control thread's part for who gives orders to which engine: leases, takeovers, and the news of
//! them.

use {
    super::{ControlAction, HostControl},
    crate::{
        connection::datagram::HostRumor,
        formats::{Commit, RowBatch},
        note,
        process::{
            engines::EngineDesk,
            holding::{HoldingAction, HostRow, KnownLease},
            ownership::rank,
        },
        timeline::Event,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Hosts that take engines, at the least.
const LEAST_TAKERS: usize = 8;

/// Engines for each host that takes some, on a large site.
const ENGINES_PER_TAKER: usize = 7;

/// By this word hosts are drawn that take engines.
const TAKERS: &str = "takers";

/// Hosts know one another when none has become known for so long.
const SETTLED: Duration = Duration::from_millis(400);

/// The same for a host that has just started. When a whole site starts, hosts become known in steps with
/// pauses of some 0.4 s between them: of 195 hosts 119 drew themselves from the few that they knew by
/// then and took leases, where 12 are needed; each costs the store some four calls.
const FIRST_SETTLED: Duration = Duration::from_millis(1_200);

/// A host that has just started looks up what it held before once none has become known for so long.
const NEARLY_SETTLED: Duration = Duration::from_millis(100);

/// Time between two tellings of the engines held here, at the least.
const HOLDS_PAUSE: Duration = Duration::from_millis(100);

/// A process counts as just started for so long.
const STARTING: Duration = Duration::from_secs(3);

impl HostControl {
    /// Tells all hosts at once when this one holds other engines than before: rumors take seconds on
    /// a large site, and requests wait for the holders.
    pub(super) fn tell_holds(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        if self.told_holds.iter().eq(self.desks.keys()) || now < self.next_holds {
            return Vec::new();
        }
        self.told_holds = self.desks.keys().cloned().collect();
        self.next_holds = now + HOLDS_PAUSE;
        self.tell_all(now)
    }

    pub(super) fn on_renewed(
        &mut self,
        sent: Instant,
        commit: Option<Commit>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let term = self.holding.lease().term();
        match commit {
            Some(Commit::Done { version }) => {
                self.holding.on_renewed(sent, Some(version), now);
                note!(Event::SessionRenewed, row_version = version);
            }
            Some(Commit::Conflict { rows }) => {
                note!(Event::SessionNotRenewed, cause = "conflict");
                self.holding.on_renewal_conflict(&rows, now);
            }
            None => {
                note!(Event::SessionNotRenewed, cause = "no_reply");
                self.holding.on_renewed(sent, None, now);
            }
        }
        let new_term = self.holding.lease().term();
        if new_term == term {
            return Vec::new();
        }
        note!(Event::SessionOpened, term = new_term);
        // Requests wait for the engines' holders: nothing is left to the next look at everything.
        self.tick_engines(now)
    }

    pub(super) fn on_holders_read(
        &mut self,
        term: u64,
        rows: Option<RowBatch>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        let rows = rows.map(|batch| batch.rows);
        self.holding.on_table(rows.as_deref(), term, now);
        for row in rows.iter().flatten() {
            let value = row.value.as_deref().unwrap_or_default();
            if HostRow::peer_of(&row.key).is_none() {
                continue;
            }
            let Ok(host) = serde_json::from_slice::<HostRow>(value) else {
                continue;
            };
            let rumor = HostRumor {
                peer: host.peer.into(),
                name: host.name,
                hall: host.hall,
                front: host.front.into(),
                process: host.process,
                lease_version: row.version,
                ..Default::default()
            };
            let wanted = self.hosts.on_named(&rumor, now);
            actions.extend(self.host_actions(wanted, now));
        }
        self.changed = true;
        actions.extend(self.tick_engines(now));
        actions
    }

    pub(super) fn on_taken(
        &mut self,
        target: &str,
        fence: u64,
        term: u64,
        commit: Option<Commit>,
        now: Instant,
    ) {
        match commit {
            Some(Commit::Done { version }) => {
                note!(Event::TargetTaken, target = target, fence = fence);
                self.holding.on_taken(target, version, fence, term);
            }
            Some(Commit::Conflict { rows }) => self.holding.on_take_conflict(target, &rows, now),
            None => self.holding.on_take_lost(),
        }
        self.changed = true;
    }

    /// The hosts that give orders to engines, as far as they answer, by engine.
    pub(super) fn holders(
        &self,
        now: Instant,
    ) -> HashMap<&str, SocketAddr> {
        let up = self.hosts.hosts().filter(|host| host.state.is_up());
        let told = up.flat_map(|host| {
            let peer = host.identity.peer;
            host.holds.iter().map(move |held| (held.as_str(), peer))
        });
        let me = self.hosts.me().peer;
        let mine = self.holding.held(now);
        let mine = mine.map(|(target, _)| (target.as_str(), me));
        // What this host knows of itself outweighs what others say.
        told.chain(mine).collect()
    }

    pub(super) fn decide_holding(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let engines = self.engine_keys();
        let drawn = self.drawn_takers(engines.len());
        let is_starting = now.saturating_duration_since(self.started) < STARTING;
        let settled = match is_starting {
            true => FIRST_SETTLED,
            false => SETTLED,
        };
        let may_take = self.hosts.is_settled(NEARLY_SETTLED, now)
            && is_starting
            && drawn.contains(&self.hosts.me().peer);
        // Nobody takes anything before the hosts have got to know one another.
        let takers = match self.hosts.is_settled(settled, now) {
            true => drawn,
            false => Vec::new(),
        };
        let hosts = &self.hosts;
        let claimed = || {
            let up = hosts.hosts().filter(|host| host.state.is_up());
            up.flat_map(|host| &host.holds)
                .map(String::as_str)
                .collect()
        };
        let lease_of = |peer| {
            hosts.get(peer).map(|host| KnownLease {
                version: host.lease_version,
                known_since: host.lease_known_since,
            })
        };
        let wanted = self
            .holding
            .decide(&engines, &takers, may_take, claimed, lease_of, now);
        let term = self.holding.lease().term();
        wanted
            .into_iter()
            .map(|action| match action {
                HoldingAction::Renew { transaction } => ControlAction::Renew { transaction },
                HoldingAction::ReadTable => ControlAction::ReadHolders { term },
                HoldingAction::Take {
                    target,
                    fence,
                    transaction,
                } => ControlAction::Take {
                    target,
                    fence,
                    term,
                    transaction,
                },
            })
            .collect()
    }

    /// The engines there are, with the key by which they are shared out. They are put together anew only
    /// when targets or the configuration have changed: it is looked at twenty times a second, and at 3,000
    /// engines each time cost 1.5 ms, a quarter of what a small host's processor gives.
    pub(super) fn engine_keys(&mut self) -> Arc<BTreeMap<String, String>> {
        if let Some(engines) = &self.engines {
            return engines.clone();
        }
        let engines = self.targets.iter();
        let engines = engines
            .filter(|(_, target)| self.is_engine(&target.record.service))
            .map(|(id, target)| (id.clone(), target.record.address.to_string()));
        let engines: Arc<BTreeMap<String, String>> = Arc::new(engines.collect());
        self.engines = Some(engines.clone());
        engines
    }

    /// The hosts that take engines: all of a small site, and enough of a large one.
    fn drawn_takers(
        &self,
        engines: usize,
    ) -> Vec<SocketAddr> {
        let mut takers = self.hosts.eligible();
        let count = LEAST_TAKERS.max(engines.div_ceil(ENGINES_PER_TAKER));
        takers.sort_by_cached_key(|host| std::cmp::Reverse(rank(TAKERS, &host.to_string())));
        takers.truncate(count);
        takers
    }

    /// Opens a desk for each engine held here, and closes those of others.
    pub(super) fn open_desks(
        &mut self,
        now: Instant,
    ) {
        let held: Vec<String> = self
            .holding
            .held(now)
            .map(|(target, _)| target.clone())
            .collect();
        let lost: Vec<String> = self
            .desks
            .keys()
            .filter(|target| !held.contains(target))
            .cloned()
            .collect();
        for target in lost {
            note!(Event::TargetLost, target = target);
            self.desks.remove(&target);
            self.shared.forget(&target);
            self.changed = true;
        }
        for target in held {
            if self.desks.contains_key(&target) {
                continue;
            }
            let service = self
                .targets
                .get(&target)
                .map(|target| &target.record.service);
            let spec = service
                .and_then(|service| self.routing.service(service))
                .and_then(|service| service.engine.clone());
            let Some(spec) = spec else {
                continue;
            };
            let mut desk = EngineDesk::new(&target, spec, self.shared.clone(), now);
            for (adapter, newest) in self.newest.iter() {
                desk.on_newest(adapter, newest.version);
            }
            self.desks.insert(target, desk);
            self.changed = true;
        }
    }
}
