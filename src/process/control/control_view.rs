//! Control state as others see it: traffic threads, operators and other hosts.

use {
    super::{Control, HostView, OwnerView, View},
    crate::{
        clock::Instant,
        connection::peer::wire,
        process::{
            membership::{Heartbeat, Liveness},
            ownership::OwnerRow,
            target::TargetState,
        },
    },
    std::collections::BTreeMap,
};

impl Control {
    /// What traffic threads should see.
    pub fn view(&self) -> View {
        let owners = self
            .config
            .targets
            .keys()
            .filter_map(|target| {
                let (host, fence) = self.ownership.owner(target)?;
                let host = host.to_string();
                Some((target.clone(), OwnerView { host, fence }))
            })
            .collect();
        let eligible = self.membership.eligible();
        View {
            me: self.me.clone(),
            config: self.config.clone(),
            owners,
            hosts: self.host_views(),
            eligible: eligible.into_iter().map(str::to_string).collect(),
            leaving: self.membership.is_leaving(),
            takes_callers: self.membership.accepts_roles(),
            table_reachable: self.table_reachable(),
            table_out_for_all: self.table_out_for_all(),
            ready: self.hosts_read && self.config.revision > 0,
        }
    }

    /// What this host says of itself in a heartbeat.
    pub fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            host: self.me.clone(),
            incarnation: self.membership.incarnation(),
            session: self.session,
            leaving: self.membership.is_leaving(),
            table_reachable: self.table_reachable(),
            config_revision: self.config.revision,
        }
    }

    /// What this host owns and runs.
    pub fn status(
        &self,
        now: Instant,
    ) -> wire::StatusReply {
        let scheduler = self.view().scheduler() == Some(self.me.as_str());
        wire::StatusReply {
            host: self.me.clone(),
            hall: self.settings.hall.clone(),
            incarnation: self.membership.incarnation(),
            config_revision: self.config.revision,
            table_reachable: self.table_reachable(),
            lease_valid: self.lease.is_valid(now),
            load_scheduler: scheduler,
            targets: self.targets.iter().map(target_status).collect(),
        }
    }

    pub fn revision(&self) -> u64 {
        self.config.revision
    }

    /// What another host lacks that knows the configuration up to revision `known`.
    pub fn snapshot(
        &self,
        known: u64,
    ) -> wire::SnapshotReply {
        let config = match self.config.revision > known {
            true => serde_json::to_vec(self.config.as_ref()).expect("configurations serialize"),
            false => Vec::new(),
        };
        let owner = |(target, fence, row): (&String, u64, &OwnerRow)| wire::OwnerEntry {
            target: target.clone(),
            host: row.host.clone(),
            session: row.session,
            fence,
        };
        let rows = self.ownership.rows();
        let current = rows.filter(|(_, version, row)| row.is_current(*version));
        wire::SnapshotReply {
            config: config.into(),
            owners: current.map(owner).collect(),
        }
    }

    pub(super) fn table_out_for_all(&self) -> bool {
        let others = self.membership.any_peer_reaches_table() || self.membership.is_isolated();
        !others && !self.table_reachable()
    }

    pub(super) fn host_views(&self) -> BTreeMap<String, HostView> {
        let view = |(name, member): (&String, &crate::process::membership::Member)| {
            let heard = member.liveness < Liveness::Leaving;
            let host = HostView {
                hall: member.listed.hall.clone(),
                caller_address: member.listed.caller_address,
                peer_address: member.listed.peer_address,
                liveness: member.liveness,
                takes_callers: heard && member.accepts_roles(),
                config_revision: member.config_revision,
            };
            (name.clone(), host)
        };
        self.membership.members().iter().map(view).collect()
    }
}

fn target_status((name, state): (&String, &TargetState)) -> wire::TargetStatus {
    let adapters = state
        .slots()
        .iter()
        .map(|(model, slot)| wire::AdapterStatus {
            adapter: model.adapter().to_string(),
            version: model.version().to_string(),
            state: slot.state.word().to_string(),
            running: slot.running.max(slot.reported),
        })
        .collect();
    wire::TargetStatus {
        target: name.clone(),
        fence: state.fence(),
        running: state.running() as u32,
        waiting: state.waiting() as u32,
        adapters,
    }
}
