//! The control thread's figures of what this host believes.

use {
    super::{HostControl, TableName},
    crate::{
        clock::Instant,
        formats::TargetState,
        metrics::{CopyLabels, StateLabels, metrics},
        process::hosts::HostState,
    },
    std::time::Duration,
};

impl HostControl {
    pub(super) fn set_gauges(
        &self,
        now: Instant,
    ) {
        self.set_host_gauges();
        self.set_target_gauges();
        self.set_copy_gauges(now);
        self.set_holding_gauges(now);
    }

    fn set_host_gauges(&self) {
        for state in [
            HostState::Alive,
            HostState::Leaving,
            HostState::Suspect,
            HostState::Dead,
        ] {
            let hosts = self.hosts.hosts();
            let count = hosts.filter(|host| host.state == state).count();
            let labels = StateLabels {
                state: state.word(),
            };
            metrics().hosts.get_or_create(&labels).set(count as i64);
        }
    }

    fn set_target_gauges(&self) {
        for (state, word) in [
            (TargetState::Ready, "ready"),
            (TargetState::Draining, "leaving"),
        ] {
            let targets = self.targets.values();
            let targets = targets.filter(|target| !target.names_no_target);
            let count = targets
                .filter(|target| target.record.state == state)
                .count();
            let labels = StateLabels { state: word };
            metrics().targets.get_or_create(&labels).set(count as i64);
        }
    }

    fn set_copy_gauges(
        &self,
        now: Instant,
    ) {
        for (table, kept) in [
            (TableName::Declared, &self.declared),
            (TableName::Targets, &self.listed),
        ] {
            let age = kept.copy.age(now);
            let seconds = age.map_or(f64::INFINITY, |age: Duration| age.as_secs_f64());
            let labels = CopyLabels {
                table: table.label(),
            };
            metrics().copy_age.get_or_create(&labels).set(seconds);
        }
        metrics().config_version.set(self.routing.version as i64);
    }

    fn set_holding_gauges(
        &self,
        now: Instant,
    ) {
        let holds = self.holding.lease().holds(now);
        metrics().lease_held.set(i64::from(holds));
        metrics().engines_held.set(self.desks.len() as i64);
        let adapters: usize = self.desks.values().map(|desk| desk.adapters().len()).sum();
        metrics().adapters_held.set(adapters as i64);
    }
}
