//! Control-thread handling of engine assignment: leases, takeovers and their publication.

use {
    super::{ControlAction, HostControl},
    crate::{
        clock::Instant,
        connection::datagram::HostRumor,
        formats::{Commit, Row, RowBatch, StoreVersion},
        note,
        process::{
            engines::EngineAllocator,
            holding::{AssignmentAction, HolderRow, HostRow, KnownLease, TakenEngine},
        },
        request::quotas::shard_lease,
        timeline::{Event, quoted},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Host discovery counts as complete once no new host has been seen for this long.
const DISCOVERY_QUIET_TIME: Duration = Duration::from_millis(400);

/// Replaces `DISCOVERY_QUIET_TIME` shortly after the start: while a site starts, discovery proceeds in bursts, and a host that
/// knows only a few others would take over engines needlessly.
const STARTUP_DISCOVERY_QUIET_TIME: Duration = Duration::from_millis(1_200);

/// A starting host looks up its earlier assignments once no new host has been seen for this long.
const LOOKUP_QUIET_TIME: Duration = Duration::from_millis(100);

/// Minimum time between two publications of the engines held here.
const HOLDINGS_PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// Time after its start during which a process counts as starting.
const STARTUP_WINDOW: Duration = Duration::from_secs(3);

impl HostControl {
    /// Sends the engines held here to all hosts when they change, since rumors take seconds and requests wait for the
    /// holder.
    pub(super) fn publish_holdings(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        if !self.hosts.lists_holdings() {
            return self.spread_holdings(now);
        }
        let slots = self.held_shards(now).into_iter().map(shard_lease);
        let holdings: Vec<String> = self.allocators.keys().cloned().chain(slots).collect();
        if self.published_holdings == holdings || now < self.next_holdings_publish {
            return Vec::new();
        }
        self.published_holdings = holdings;
        self.next_holdings_publish = now + HOLDINGS_PUBLISH_INTERVAL;
        self.notify_all_hosts(now)
    }

    pub(super) fn on_renewed(
        &mut self,
        sent: Instant,
        commit: Option<Commit>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let (commit, mut actions) = self.observe_commit(commit, now);
        let term = self.assignment.lease().term();
        match commit {
            Some(Commit::Done { version }) => {
                self.assignment.on_renewed(sent, Some(version), now);
                note!(Event::SessionRenewed, row_version = version);
            }
            Some(Commit::Conflict { rows, .. }) => {
                note!(Event::SessionNotRenewed, cause = "conflict");
                self.assignment.on_renewal_conflict(&rows, now);
            }
            Some(Commit::TurnedAway) => {
                note!(Event::SessionNotRenewed, cause = "turned_away");
                self.assignment.on_renewed(sent, None, now);
            }
            None => {
                note!(Event::SessionNotRenewed, cause = "no_reply");
                self.assignment.on_renewed(sent, None, now);
            }
        }
        let new_term = self.assignment.lease().term();
        if new_term == term {
            return actions;
        }
        note!(Event::SessionOpened, term = new_term);
        // Requests wait for the engines' holders, so don't wait for the next tick.
        actions.extend(self.tick_engines(now));
        actions
    }

    pub(super) fn on_holders_read(
        &mut self,
        term: u64,
        rows: Option<RowBatch>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        if let Some(batch) = &rows {
            actions.extend(self.observe_store(batch.version, now));
        }
        self.assignment.on_table_read(rows.as_ref(), term, now);
        let rows = rows.map(|batch| batch.rows);
        for row in rows.iter().flatten() {
            let value = row.value.as_deref().unwrap_or_default();
            if HostRow::peer_of(&row.key).is_none() {
                log_unreadable_holder(row);
                continue;
            }
            let host = match serde_json::from_slice::<HostRow>(value) {
                Ok(host) => host,
                Err(error) => {
                    log_unreadable_row(row, &error);
                    continue;
                }
            };
            let rumor = HostRumor {
                peer: host.peer.into(),
                name: host.name,
                hall: host.hall,
                front: host.front.into(),
                process: host.process,
                lease_version: row.version.to_bits(),
                ..Default::default()
            };
            let host_actions = self.hosts.on_discovered(&rumor, now);
            actions.extend(self.host_actions(host_actions, now));
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
    ) -> Vec<ControlAction> {
        let (commit, actions) = self.observe_commit(commit, now);
        match commit {
            Some(Commit::Done { version }) => {
                for TakenEngine { target, fence } in engines {
                    note!(Event::TargetTaken, target = target, fence = fence);
                }
                self.assignment.on_taken(engines, version, term, now);
            }
            Some(Commit::Conflict { rows, .. }) => {
                self.assignment.on_take_conflict(engines, &rows, now)
            }
            Some(Commit::TurnedAway) => self.assignment.on_take_rejected(engines, now),
            None => self.assignment.on_take_outcome_unknown(now),
        }
        self.changed = true;
        actions
    }

    pub(super) fn on_leases_checked(
        &mut self,
        commit: Option<Commit>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let (commit, actions) = self.observe_commit(commit, now);
        let rows = match &commit {
            Some(Commit::Done { .. }) => Some(&[][..]),
            Some(Commit::Conflict { rows, .. }) => Some(&rows[..]),
            Some(Commit::TurnedAway) | None => None,
        };
        note!(
            Event::LeasesChecked,
            read = rows.is_some(),
            leases = rows.map_or(0, <[Row]>::len)
        );
        self.assignment.on_leases_checked(rows, now);
        actions
    }

    /// Handles the store's version as an answer tells it, whatever was asked.
    ///
    /// If the store was restored since the last answer, what it has lost is written again.
    pub(super) fn observe_store(
        &mut self,
        version: StoreVersion,
        now: Instant,
    ) -> Vec<ControlAction> {
        if !self.assignment.on_era(version.era, now) {
            return Vec::new();
        }
        note!(
            Event::StoreRestored,
            version = version,
            declared = self.declared.replica.version(),
            targets = self.listed.replica.version(),
            engines = self.allocators.len()
        );
        self.changed = true;
        self.restore_origin_rows(now);
        self.store_all_records(now).into_iter().collect()
    }

    /// Handles the version that a transaction's answer tells. An answer from before a restoration tells nothing of the rows as
    /// they are: it counts as an unknown outcome.
    pub(super) fn observe_commit(
        &mut self,
        commit: Option<Commit>,
        now: Instant,
    ) -> (Option<Commit>, Vec<ControlAction>) {
        let Some(version) = commit.as_ref().and_then(Commit::version) else {
            return (commit, Vec::new());
        };
        let actions = self.observe_store(version, now);
        let is_outdated = self.assignment.is_of_earlier_era(version);
        (commit.filter(|_| !is_outdated), actions)
    }

    /// Returns the reachable holder of each engine.
    pub(super) fn holders(
        &self,
        now: Instant,
    ) -> HashMap<&str, SocketAddr> {
        let claimed = self.hosts.claimants().flat_map(|host| {
            let peer = host.identity.peer;
            host.holds.iter().map(move |held| (held.as_str(), peer))
        });
        let me = self.hosts.me().peer;
        let own = self.assignment.held(now);
        let own = own.map(|(target, _)| (target.as_str(), me));
        // This host's own assignments take precedence over the other hosts' claims.
        claimed.chain(own).collect()
    }

    pub(super) fn decide_assignment(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let engines = self.assignment_keys();
        let selected = self.takers.for_engines(engines.len(), &self.hosts);
        let is_starting = now.saturating_duration_since(self.started) < STARTUP_WINDOW;
        let quiet_time = match is_starting {
            true => STARTUP_DISCOVERY_QUIET_TIME,
            false => DISCOVERY_QUIET_TIME,
        };
        let is_likely_taker = self.hosts.is_settled(LOOKUP_QUIET_TIME, now)
            && is_starting
            && selected.contains(&self.hosts.me().peer);
        // No takeovers before host discovery has completed.
        let takers = match self.hosts.is_settled(quiet_time, now) {
            true => selected,
            false => Arc::default(),
        };
        let hosts = &self.hosts;
        let open_engines = &mut self.open_engines;
        let unclaimed = || open_engines.unclaimed_among(&engines, hosts);
        let lease_of = |peer| {
            hosts.get(peer).map(|host| KnownLease {
                version: host.lease_version,
                known_since: host.lease_known_since,
            })
        };
        let assignment_actions =
            self.assignment
                .decide(&engines, &takers, is_likely_taker, unclaimed, lease_of, now);
        let term = self.assignment.lease().term();
        assignment_actions
            .into_iter()
            .map(|action| match action {
                AssignmentAction::Renew { transaction } => ControlAction::Renew { transaction },
                AssignmentAction::ReadTable => ControlAction::ReadHolders { term },
                AssignmentAction::CheckLeases { transaction } => {
                    ControlAction::CheckLeases { transaction }
                }
                AssignmentAction::Take {
                    engines,
                    transaction,
                } => ControlAction::TakeEngines {
                    engines,
                    term,
                    transaction,
                },
            })
            .collect()
    }

    /// Returns all engines, and all quota shards if any customer is limited, with their assignment keys.
    ///
    /// Cached until targets or the configuration change, since every tick reads it.
    pub(super) fn assignment_keys(&mut self) -> Arc<BTreeMap<String, String>> {
        if let Some(engines) = &self.engines {
            return engines.clone();
        }
        let engines = self.targets.iter();
        let engines = engines
            .filter(|(_, target)| self.is_engine_service(&target.record.service))
            .map(|(id, target)| (id.clone(), target.record.address.to_string()));
        let slots = (0..self.shard_count()).map(|slot| (shard_lease(slot), shard_lease(slot)));
        let engines: Arc<BTreeMap<String, String>> = Arc::new(engines.chain(slots).collect());
        self.engines = Some(engines.clone());
        engines
    }

    /// Creates an allocator for each engine newly held here and removes those of engines no longer held.
    pub(super) fn sync_allocators(
        &mut self,
        now: Instant,
    ) {
        let held: Vec<String> = self
            .assignment
            .held(now)
            .map(|(target, _)| target.clone())
            .collect();
        let lost: Vec<String> = self
            .allocators
            .keys()
            .filter(|target| !held.contains(target))
            .cloned()
            .collect();
        for target in lost {
            note!(Event::TargetLost, target = target);
            if let Some(allocator) = self.allocators.remove(&target) {
                self.unanswered_orders
                    .insert(target.clone(), allocator.into_unanswered_orders(now));
            }
            self.shared.remove_engine(&target);
            self.changed = true;
        }
        self.unanswered_orders
            .retain(|_, orders| !orders.all_expired(now));
        for target in held {
            if self.allocators.contains_key(&target) {
                continue;
            }
            let Some(listed) = self.targets.get(&target) else {
                continue;
            };
            let service = self.routing.service(&listed.record.service);
            let Some(spec) = service.and_then(|service| service.engine.clone()) else {
                continue;
            };
            let mut allocator = EngineAllocator::new(&target, spec, self.shared.clone(), now);
            allocator.on_incarnation(listed.record.started, now);
            allocator
                .set_unanswered_orders(self.unanswered_orders.remove(&target).unwrap_or_default());
            for (adapter, versions) in self.versions.iter() {
                allocator.on_newest_version(adapter, versions.newest());
            }
            self.allocators.insert(target, allocator);
            self.changed = true;
        }
    }
}

/// Logs a holder row that can't be parsed.
fn log_unreadable_holder(row: &Row) {
    let value = row.value.as_deref();
    let (Some(value), Some(_)) = (value, HolderRow::target_of(&row.key)) else {
        return;
    };
    if let Err(error) = serde_json::from_slice::<HolderRow>(value) {
        log_unreadable_row(row, &error);
    }
}

fn log_unreadable_row(
    row: &Row,
    error: &serde_json::Error,
) {
    note!(
        Event::RowUnreadable,
        row = quoted(&row.key),
        problem = quoted(error)
    );
}
