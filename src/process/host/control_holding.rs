//! The control thread's part for who gives orders to which engine: leases, takeovers, and the news of
//! them.

use {
    super::{ControlAction, HostControl, control_tables::quoted},
    crate::{
        clock::Instant,
        connection::datagram::HostRumor,
        formats::{Commit, Row, RowBatch},
        note,
        process::{
            engines::EngineAllocator,
            holding::{AssignmentAction, HolderRow, HostRow, KnownLease, TakenEngine},
        },
        request::quotas::shard_lease,
        timeline::Event,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

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
        let slots = self.held_slots(now).into_iter().map(shard_lease);
        let holds: Vec<String> = self.desks.keys().cloned().chain(slots).collect();
        if self.told_holds == holds || now < self.next_holds {
            return Vec::new();
        }
        self.told_holds = holds;
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
            Some(Commit::Rejected) => {
                note!(Event::SessionNotRenewed, cause = "turned_away");
                self.holding.on_renewed(sent, None, now);
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
        self.holding.on_table_read(rows.as_deref(), term, now);
        for row in rows.iter().flatten() {
            let value = row.value.as_deref().unwrap_or_default();
            if HostRow::peer_of(&row.key).is_none() {
                tell_unreadable_holder(row);
                continue;
            }
            let host = match serde_json::from_slice::<HostRow>(value) {
                Ok(host) => host,
                Err(problem) => {
                    tell_unreadable(row, &problem);
                    continue;
                }
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
        engines: &[TakenEngine],
        term: u64,
        commit: Option<Commit>,
        now: Instant,
    ) {
        match commit {
            Some(Commit::Done { version }) => {
                for TakenEngine { target, fence } in engines {
                    note!(Event::TargetTaken, target = target, fence = fence);
                }
                self.holding.on_taken(engines, version, term);
            }
            Some(Commit::Conflict { rows }) => self.holding.on_take_conflict(engines, &rows, now),
            Some(Commit::Rejected) => self.holding.on_take_rejected(engines, now),
            None => self.holding.on_take_outcome_unknown(now),
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
        let drawn = self.takers.for_engines(engines.len(), &self.hosts);
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
            false => Arc::default(),
        };
        let hosts = &self.hosts;
        let open_engines = &mut self.open_engines;
        let open = || open_engines.among(&engines, hosts);
        let lease_of = |peer| {
            hosts.get(peer).map(|host| KnownLease {
                version: host.lease_version,
                known_since: host.lease_known_since,
            })
        };
        let wanted = self
            .holding
            .decide(&engines, &takers, may_take, open, lease_of, now);
        let term = self.holding.lease().term();
        wanted
            .into_iter()
            .map(|action| match action {
                AssignmentAction::Renew { transaction } => ControlAction::Renew { transaction },
                AssignmentAction::ReadTable => ControlAction::ReadHolders { term },
                AssignmentAction::Take {
                    engines,
                    transaction,
                } => ControlAction::Take {
                    engines,
                    term,
                    transaction,
                },
            })
            .collect()
    }

    /// The engines there are, and the slots of customers' use where any is limited, with the key by which they are shared
    /// out. They are put together anew only
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
        let slots = (0..self.slot_count()).map(|slot| (shard_lease(slot), shard_lease(slot)));
        let engines: Arc<BTreeMap<String, String>> = Arc::new(engines.chain(slots).collect());
        self.engines = Some(engines.clone());
        engines
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
            if let Some(desk) = self.desks.remove(&target) {
                self.late_orders
                    .insert(target.clone(), desk.into_unanswered_orders(now));
            }
            self.shared.remove_engine(&target);
            self.changed = true;
        }
        self.late_orders.retain(|_, late| !late.all_expired(now));
        for target in held {
            if self.desks.contains_key(&target) {
                continue;
            }
            let Some(listed) = self.targets.get(&target) else {
                continue;
            };
            let service = self.routing.service(&listed.record.service);
            let Some(spec) = service.and_then(|service| service.engine.clone()) else {
                continue;
            };
            let mut desk = EngineAllocator::new(&target, spec, self.shared.clone(), now);
            desk.on_incarnation(listed.record.started, now);
            desk.set_unanswered_orders(self.late_orders.remove(&target).unwrap_or_default());
            for (adapter, versions) in self.versions.iter() {
                desk.on_newest_version(adapter, versions.newest());
            }
            self.desks.insert(target, desk);
            self.changed = true;
        }
    }
}

/// A line for a row that should name an engine's holder and can't be read.
fn tell_unreadable_holder(row: &Row) {
    let value = row.value.as_deref();
    let (Some(value), Some(_)) = (value, HolderRow::target_of(&row.key)) else {
        return;
    };
    if let Err(problem) = serde_json::from_slice::<HolderRow>(value) {
        tell_unreadable(row, &problem);
    }
}

fn tell_unreadable(
    row: &Row,
    problem: &serde_json::Error,
) {
    note!(
        Event::RowUnreadable,
        row = quoted(&row.key),
        problem = quoted(problem)
    );
}
