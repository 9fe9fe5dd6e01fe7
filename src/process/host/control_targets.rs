//! Handles the entries that targets write of themselves into the list of targets.

use {
    super::{
        ControlAction, HostControl,
        control_tables::RowChanges,
        listed_target::{EntryOrder, ListedTarget},
    },
    crate::{
        clock::Instant,
        formats::{Row, TargetRecord, TargetStart, TargetState},
        note,
        timeline::{Event, quoted},
    },
    std::net::SocketAddr,
};

impl HostControl {
    /// Handles a changed entry of the list of targets.
    pub(super) fn apply_target_row(
        &mut self,
        row: &Row,
        row_changes: &RowChanges,
        now: Instant,
    ) -> Vec<ControlAction> {
        self.changed = true;
        if row.value.is_none() {
            self.on_vanished(row, row_changes, now);
            return Vec::new();
        }
        match self.formats.target_record(row) {
            Ok(record) => {
                self.apply_target_record(record, row.version.era, row_changes.source, now)
            }
            Err(problem) => {
                self.on_invalid_entry(&row.key, &problem.to_string());
                Vec::new()
            }
        }
    }

    fn on_vanished(
        &mut self,
        row: &Row,
        row_changes: &RowChanges,
        now: Instant,
    ) {
        let until = self.usable_until(&row_changes.before, now);
        self.returned_targets.remove(&row.key);
        if let Some(target) = self.targets.get_mut(&*row.key) {
            // A leaving target is out of use already.
            target.usable_until.get_or_insert(until);
            target.vanished_in = Some(row.version.era);
            note!(
                Event::TargetVanished,
                target = row.key,
                source = row_changes.source
            );
        }
    }

    /// Lists the targets whose entries a restored store has shown for long enough.
    pub(super) fn list_returned(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        for id in self.returned_targets.take_confirmed(now) {
            self.removed_targets.forget(&id);
            let row = self.listed.replica.row(&id);
            let era = row.map_or(0, |row| row.version.era);
            let record = row.and_then(|row| self.formats.target_record(row).ok());
            if let Some(record) = record {
                actions.extend(self.apply_target_record(record, era, "store", now));
                self.changed = true;
            }
        }
        actions
    }

    /// Handles a readable entry of a target, as of an era of the store.
    fn apply_target_record(
        &mut self,
        record: TargetRecord,
        era: u32,
        source: &str,
        now: Instant,
    ) -> Vec<ControlAction> {
        let id = record.id.clone();
        let known = self.targets.get(&id);
        let known = known.or_else(|| self.removed_targets.get(&id));
        let entry_order = known.map_or(EntryOrder::Current, |known| known.compare(&record));
        let is_returned = known.is_some_and(|known| known.is_returned_in(era, &record));
        match entry_order {
            EntryOrder::Current if is_returned => {
                note!(
                    Event::TargetEntryLate,
                    target = id,
                    started = incarnation_label(record.started),
                    source = source
                );
                self.returned_targets.insert(&id, now);
                return Vec::new();
            }
            EntryOrder::Current => {}
            EntryOrder::Restarted { before } => {
                note!(
                    Event::TargetRestarted,
                    target = id,
                    before = before,
                    started = incarnation_label(record.started),
                    source = source
                );
            }
            EntryOrder::Stale => {
                note!(
                    Event::TargetEntryLate,
                    target = id,
                    started = incarnation_label(record.started),
                    source = source
                );
                return Vec::new();
            }
            EntryOrder::MissingIncarnation => {
                self.on_invalid_entry(&id, "the entry lacks the target's incarnation");
                return Vec::new();
            }
        }
        self.list(record, source);
        let started = self.targets[&id].record.started;
        self.with_allocator(&id, now, |allocator| allocator.on_incarnation(started, now))
    }

    fn list(
        &mut self,
        record: TargetRecord,
        source: &str,
    ) {
        let event = match record.state {
            TargetState::Ready => Event::TargetListed,
            TargetState::Leaving => Event::TargetLeaving,
        };
        note!(
            event,
            target = record.id,
            service = record.service,
            address = record.address,
            started = incarnation_label(record.started),
            source = source
        );
        if self.is_host_address(record.address) {
            log_unusable(&record.id, "the address belongs to a host");
        }
        self.targets
            .insert(record.id.clone(), ListedTarget::new(record));
        self.engines = None;
    }

    /// Marks a target unusable because its entry is not valid. Its last record is retained in case the target
    /// writes its entry again.
    fn on_invalid_entry(
        &mut self,
        key: &str,
        problem: &str,
    ) {
        log_unusable(key, problem);
        if let Some(target) = self.targets.get_mut(key) {
            target.is_entry_invalid = true;
        }
    }

    /// Returns true if a target accepts new requests and orders.
    pub(super) fn is_usable(
        &self,
        target: &str,
    ) -> bool {
        let Some(listed) = self.targets.get(target) else {
            return false;
        };
        listed.is_usable()
            && !self.notices.has_announced_leaving(target, listed)
            && !self.is_host_address(listed.record.address)
    }

    /// Returns the addresses at which hosts listen. A target at one of these would cause a forwarding loop.
    pub(super) fn host_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let hosts = self.hosts.hosts().map(|host| &host.identity);
        let identities = hosts.chain([self.hosts.me()]);
        let addresses = identities.flat_map(|host| [host.peer, host.front]);
        let listen = &self.settings.listen;
        addresses.chain([listen.entry, listen.ready])
    }

    fn is_host_address(
        &self,
        address: SocketAddr,
    ) -> bool {
        self.host_addresses().any(|own| own == address)
    }
}

fn log_unusable(
    key: &str,
    problem: &str,
) {
    note!(
        Event::TargetEntryUnusable,
        target = quoted(&key),
        problem = quoted(&problem)
    );
}

/// Formats a target's incarnation for log lines.
fn incarnation_label(started: Option<TargetStart>) -> String {
    started.map_or("-".to_string(), |started| started.to_string())
}
