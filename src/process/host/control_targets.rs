//! The control thread's part for the entries that targets write of themselves.

use {
    super::{
        ControlAction, HostControl,
        control_tables::{RowNews, quoted},
        listed_target::{EntryNews, ListedTarget},
    },
    crate::{
        clock::Instant,
        formats::{Row, TargetRecord, TargetStart, TargetState},
        note,
        timeline::Event,
    },
    std::net::SocketAddr,
};

impl HostControl {
    /// An entry in the list of targets has changed.
    pub(super) fn take_target(
        &mut self,
        row: &Row,
        news: &RowNews,
        now: Instant,
    ) -> Vec<ControlAction> {
        self.changed = true;
        if row.value.is_none() {
            self.on_vanished(row, news, now);
            return Vec::new();
        }
        match self.formats.target_record(row) {
            Ok(record) => self.on_record(record, news.source, now),
            Err(problem) => {
                self.on_spoilt(&row.key, &problem.to_string());
                Vec::new()
            }
        }
    }

    fn on_vanished(
        &mut self,
        row: &Row,
        news: &RowNews,
        now: Instant,
    ) {
        let until = self.vanished_until(&news.before, now);
        if let Some(target) = self.targets.get_mut(&*row.key) {
            // One that was leaving has been taken out already.
            target.vanished_until.get_or_insert(until);
            note!(
                Event::TargetVanished,
                target = row.key,
                source = news.source
            );
        }
    }

    /// A target tells of itself.
    fn on_record(
        &mut self,
        record: TargetRecord,
        source: &str,
        now: Instant,
    ) -> Vec<ControlAction> {
        let id = record.id.clone();
        let known = self.targets.get(&id);
        let known = known.or_else(|| self.ended_targets.get(&id));
        let entry_news = known.map_or(EntryNews::Current, |known| known.compare(&record));
        match entry_news {
            EntryNews::Current => {}
            EntryNews::Restarted { before } => {
                note!(
                    Event::TargetRestarted,
                    target = id,
                    before = before,
                    started = started_word(record.started),
                    source = source
                );
            }
            EntryNews::Late => {
                note!(
                    Event::TargetEntryLate,
                    target = id,
                    started = started_word(record.started),
                    source = source
                );
                return Vec::new();
            }
            EntryNews::Foreign => {
                self.on_spoilt(&id, "it does not tell the target's start");
                return Vec::new();
            }
        }
        self.list(record, source);
        let started = self.targets[&id].record.started;
        self.at_desk(&id, now, |desk| desk.on_incarnation(started, now))
    }

    fn list(
        &mut self,
        record: TargetRecord,
        source: &str,
    ) {
        let event = match record.state {
            TargetState::Ready => Event::TargetListed,
            TargetState::Draining => Event::TargetLeaving,
        };
        note!(
            event,
            target = record.id,
            service = record.service,
            address = record.address,
            started = started_word(record.started),
            source = source
        );
        if self.is_own_address(record.address) {
            tell_unusable(&record.id, "a host is at its address");
        }
        self.targets
            .insert(record.id.clone(), ListedTarget::new(record));
        self.engines = None;
    }

    /// What stands under a target's key names no target to use; what was known of it stays, in case that the
    /// target writes its entry again.
    fn on_spoilt(
        &mut self,
        key: &str,
        problem: &str,
    ) {
        tell_unusable(key, problem);
        if let Some(target) = self.targets.get_mut(key) {
            target.names_no_target = true;
        }
    }

    /// True if a target takes new requests and orders.
    pub(super) fn is_usable(
        &self,
        target: &str,
    ) -> bool {
        let Some(listed) = self.targets.get(target) else {
            return false;
        };
        listed.is_usable()
            && !self.notices.says_leaving(target, listed)
            && !self.is_own_address(listed.record.address)
    }

    /// Addresses at which hosts answer: a request that was sent there as to a target would come back as one of
    /// a caller, again and again.
    pub(super) fn own_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let hosts = self.hosts.hosts().map(|host| &host.identity);
        let identities = hosts.chain([self.hosts.me()]);
        let addresses = identities.flat_map(|host| [host.peer, host.front]);
        let listen = &self.settings.listen;
        addresses.chain([listen.entry, listen.ready])
    }

    fn is_own_address(
        &self,
        address: SocketAddr,
    ) -> bool {
        self.own_addresses().any(|own| own == address)
    }
}

fn tell_unusable(
    key: &str,
    problem: &str,
) {
    note!(
        Event::TargetEntryUnusable,
        target = quoted(&key),
        problem = quoted(&problem)
    );
}

/// A start in lines.
fn started_word(started: Option<TargetStart>) -> String {
    started.map_or("-".to_string(), |started| started.to_string())
}
