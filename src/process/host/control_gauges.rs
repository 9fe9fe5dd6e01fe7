//! Sets the gauges of the control thread's state.

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
        self.set_replica_gauges(now);
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
            (TargetState::Leaving, "leaving"),
        ] {
            let targets = self.targets.values();
            let targets = targets.filter(|target| !target.is_entry_invalid);
            let count = targets
                .filter(|target| target.record.state == state)
                .count();
            let labels = StateLabels { state: word };
            metrics().targets.get_or_create(&labels).set(count as i64);
        }
    }

    fn set_replica_gauges(
        &self,
        now: Instant,
    ) {
        for (table, replicated) in [
            (TableName::Declared, &self.declared),
            (TableName::Targets, &self.listed),
        ] {
            let staleness = replicated.replica.staleness(now);
            let seconds =
                staleness.map_or(f64::INFINITY, |staleness: Duration| staleness.as_secs_f64());
            let labels = CopyLabels {
                table: table.word(),
            };
            metrics().copy_age.get_or_create(&labels).set(seconds);
        }
        metrics().config_version.set(self.routing.version as i64);
    }

    fn set_holding_gauges(
        &self,
        now: Instant,
    ) {
        let holds = self.assignment.lease().is_valid(now);
        metrics().lease_held.set(i64::from(holds));
        metrics().engines_held.set(self.allocators.len() as i64);
        let adapters: usize = self
            .allocators
            .values()
            .map(|allocator| allocator.adapters().len())
            .sum();
        metrics().adapters_held.set(adapters as i64);
    }
}
