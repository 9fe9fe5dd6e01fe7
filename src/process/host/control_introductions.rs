//! Control-thread handling of versions of the targets' software that join others of their service: see `VersionIntroductions`.

use {
    super::{
        ControlAction, HostControl,
        version_introductions::{ServiceVersion, StoredVersions},
    },
    crate::{
        clock::Instant,
        connection::datagram::{Message, OriginRecords, StoredVersion},
        formats::SoftwareId,
        note,
        timeline::Event,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Intervals of writes that hosts are given to store the origins of the streams that run when another version joins.
const STORE_INTERVALS: u32 = 2;

/// Time for callers to take their streams up after a loss of all hosts, before another version is introduced: from then on an origin
/// that was not stored is in doubt.
const TAKE_UP_TIME: Duration = Duration::from_secs(10);

/// A version that is withheld for longer than it should be may have a row that this host was not told of.
const REREAD_AFTER: Duration = Duration::from_secs(2);

/// Stored versions in one message, so that it fits into a datagram.
const MAX_STORED_PER_MESSAGE: usize = 8;

impl HostControl {
    /// Notes which versions are listed, and which of them are withheld.
    pub(super) fn update_introductions(
        &mut self,
        now: Instant,
    ) {
        let mut listed: BTreeMap<ServiceVersion, usize> = BTreeMap::new();
        for target in self.targets.values().filter(|target| target.is_usable()) {
            let record = &target.record;
            let version = (record.service.clone(), record.software.id());
            *listed.entry(version).or_default() += 1;
        }
        let origins = &mut self.origins;
        let stored = StoredVersions {
            versions: &origins.store.versions,
            has_read: origins.store.has_read || self.settings.first_start,
        };
        if !origins.introductions.update(&listed, stored, now) {
            return;
        }
        // The origins of the streams that run are stored at once.
        origins.store.next_write = Some(now);
        self.changed = true;
        for ((service, software), reason) in origins.introductions.withheld() {
            note!(
                Event::VersionWithheld,
                service = service,
                software = format!("{:016x}", software.to_bits()),
                reason = reason.word(),
            );
        }
    }

    /// Returns the versions at which no stream may begin, by service.
    pub(super) fn withheld_software(&self) -> Arc<HashMap<String, Vec<SoftwareId>>> {
        let mut withheld: HashMap<String, Vec<SoftwareId>> = HashMap::new();
        for ((service, software), _) in self.origins.introductions.withheld() {
            withheld.entry(service.clone()).or_default().push(*software);
        }
        Arc::new(withheld)
    }

    /// Returns true if the row of a version may be stored, after which streams begin there.
    pub(super) fn may_introduce(
        &self,
        version: &ServiceVersion,
        now: Instant,
    ) -> bool {
        let Some(since) = self.origins.introductions.withheld_since(version) else {
            return true;
        };
        let stored_by = since + self.introduction_delay();
        let is_over = |from: Instant| now.saturating_duration_since(from) >= TAKE_UP_TIME;
        let followed_since = self.origins.software.followed_since();
        now >= stored_by && (self.settings.first_start || followed_since.is_some_and(is_over))
    }

    /// Returns how long a version that joins others is withheld at least.
    pub(super) fn introduction_delay(&self) -> Duration {
        self.origin_write_interval() * STORE_INTERVALS
    }

    /// Reads the rows right after the start, and again if a version seems to lack one for too long.
    pub(super) fn read_missing_rows(
        &mut self,
        now: Instant,
    ) -> Option<ControlAction> {
        let delay = self.introduction_delay() + REREAD_AFTER;
        let withheld_since = self.origins.introductions.oldest_withheld();
        let is_overdue =
            withheld_since.is_some_and(|since| now.saturating_duration_since(since) >= delay);
        match is_overdue || !self.origins.store.has_read {
            true => self.read_origin_rows(now),
            false => None,
        }
    }

    /// Tells all hosts which versions the store has taken: they may let streams begin there.
    pub(super) fn announce_stored(
        &self,
        versions: &[(ServiceVersion, Option<bool>)],
    ) -> Vec<ControlAction> {
        let era = self.assignment.era();
        let stored = versions
            .iter()
            .filter_map(|((service, software), written)| {
                Some(StoredVersion {
                    service: service.clone(),
                    software: software.to_bits(),
                    era,
                    is_complete: (*written)?,
                })
            });
        let stored: Vec<StoredVersion> = stored.collect();
        self.alive_hosts()
            .flat_map(|host| {
                let to = host.identity.peer;
                let messages = stored.chunks(MAX_STORED_PER_MESSAGE);
                messages.map(move |stored| ControlAction::Send {
                    to,
                    message: Message::OriginRecords(OriginRecords {
                        records: Vec::new(),
                        stored: stored.to_vec(),
                    }),
                })
            })
            .collect()
    }

    /// Takes the versions that another host has stored.
    pub(super) fn take_stored_versions(
        &mut self,
        stored: &[StoredVersion],
    ) {
        let era = self.assignment.era();
        for version in stored.iter().filter(|version| version.era == era) {
            let key = (
                version.service.clone(),
                SoftwareId::from_bits(version.software),
            );
            let known = self.origins.store.versions.entry(key);
            known.or_insert(version.is_complete);
            self.changed = true;
        }
    }
}
