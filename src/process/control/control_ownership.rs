//! Control state: rows of the table, and the targets that this process owns.

use {
    super::{
        Action, Control,
        control::{TABLE_FAILURES, named},
    },
    crate::{
        clock::Instant,
        connection::{
            platform::{Row, RowScan},
            target::EngineOrder,
        },
        process::{
            ownership::{OWNER_PREFIX, OwnerChange, OwnerRow, era_of},
            target::TargetState,
        },
        timeline::Event,
    },
};

/// Ownership decisions wait this many probe periods after the start, to hear of the others.
const SETTLE_PROBES: u32 = 5;

impl Control {
    pub(super) fn decide_ownership(
        &mut self,
        now: Instant,
    ) -> Vec<Action> {
        let settle = self.settings.membership.probe * SETTLE_PROBES;
        let settled = now.saturating_duration_since(self.started) >= settle;
        let known = self.hosts_read && self.table_read && self.table_reachable();
        if !settled || !known || !self.lease.is_valid(now) {
            return Vec::new();
        }
        let term = self.lease.term();
        let mut actions = Vec::new();
        for target in self.ownership.take_lost(now) {
            actions.extend(self.on_owner_change(&target, OwnerChange::Lost, now));
        }
        let decided = self
            .ownership
            .decide(&self.config, &self.membership, term, now);
        actions.extend(decided.into_iter().map(Action::Ownership));
        actions
    }

    pub(super) fn on_fenced_off(
        &mut self,
        target: &str,
    ) -> Vec<Action> {
        self.log.note(Event::OrderFencedOff, &[("target", &target)]);
        match self.ownership.on_fenced_off(target) {
            Some(change) => self.on_owner_change(target, change, Instant::now()),
            None => Vec::new(),
        }
    }

    pub(super) fn on_rows(
        &mut self,
        scan: RowScan,
        term: u64,
        now: Instant,
    ) -> Vec<Action> {
        if !self.table_reachable() {
            self.log.note(Event::TableBack, &[]);
            self.changed = true;
        }
        self.table_failures = 0;
        self.table_read = true;
        let mut actions = Vec::new();
        let era = era_of(scan.sequence);
        if self.ownership.on_era(era, self.lease.expires_at(), now) {
            self.log.note(Event::StoreRestored, &[("era", &era)]);
        }
        for row in scan.rows {
            actions.extend(self.on_table_row(row, term, now));
        }
        actions
    }

    pub(super) fn on_table_row(
        &mut self,
        row: Row,
        term: u64,
        now: Instant,
    ) -> Vec<Action> {
        let Some(target) = row.key.strip_prefix(OWNER_PREFIX) else {
            return Vec::new();
        };
        if row.deleted {
            return match self.ownership.on_row_deleted(target) {
                Some(change) => self.on_owner_change(target, change, now),
                None => Vec::new(),
            };
        }
        match serde_json::from_str::<OwnerRow>(&row.value) {
            Ok(owner) => self.on_owner_row(target, row.version, owner, term, now),
            Err(_) => Vec::new(),
        }
    }

    pub(super) fn on_table_failed(&mut self) {
        self.table_failures += 1;
        if self.table_failures == TABLE_FAILURES {
            self.log.note(Event::TableUnreachable, &[]);
            self.changed = true;
        }
    }

    pub(super) fn on_owner_row(
        &mut self,
        target: &str,
        version: u64,
        row: OwnerRow,
        term: u64,
        now: Instant,
    ) -> Vec<Action> {
        self.changed = true;
        let to = row.host.clone();
        let change = self.ownership.on_row(target, version, row, term, now);
        let mut actions = Vec::new();
        if change == Some(OwnerChange::Lost) && !self.membership.is_gone(&to) {
            actions.push(Action::NoticeHandover {
                host: to,
                target: target.to_string(),
                fence: version,
            });
        }
        if let Some(change) = change {
            actions.extend(self.on_owner_change(target, change, now));
        }
        actions
    }

    pub(super) fn on_owner_change(
        &mut self,
        target: &str,
        change: OwnerChange,
        now: Instant,
    ) -> Vec<Action> {
        self.changed = true;
        match change {
            OwnerChange::Gained => self.open_target(target, now),
            OwnerChange::Lost => {
                self.log.note(Event::TargetLost, &[("target", &target)]);
                match self.targets.remove(target) {
                    Some(mut state) => named(target, state.give_up()),
                    None => Vec::new(),
                }
            }
        }
    }

    /// Opens the state of a target that this process owns and that is declared.
    pub(super) fn open_target(
        &mut self,
        target: &str,
        now: Instant,
    ) -> Vec<Action> {
        let held = self.ownership.owned().get(target);
        let spec = self.config.targets.get(target);
        let (Some(held), Some(spec)) = (held, spec) else {
            return Vec::new();
        };
        let known = self.targets.get(target).map(TargetState::fence);
        if known == Some(held.fence) {
            return Vec::new();
        }
        let fence = held.fence;
        let state = TargetState::new(
            spec.clone(),
            fence,
            held.term,
            self.settings.lease.pin_quiet,
            self.settings.policy.queue_factor,
            now,
        );
        self.log.note(
            Event::TargetTaken,
            &[("target", &target), ("fence", &fence)],
        );
        let raises = spec.checks_fences && spec.engine().is_some();
        let old = self.targets.insert(target.to_string(), state);
        let mut actions = match old {
            Some(mut old) => named(target, old.give_up()),
            None => Vec::new(),
        };
        if raises {
            actions.push(Action::Order {
                target: target.to_string(),
                fence,
                term: held.term,
                order: EngineOrder::Raise,
            });
        }
        actions
    }
}
