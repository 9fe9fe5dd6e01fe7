//! Control-thread handling of stream origins: records of the streams of this and of other hosts, and searches for them.

use {
    super::{
        ControlAction, HostControl, control_origin_rows::OriginStore,
        version_introductions::VersionIntroductions,
    },
    crate::{
        clock::Instant,
        connection::datagram::{Message, OriginAnswer, OriginAsk, OriginRecord, OriginRecords},
        formats::SoftwareId,
        metrics::metrics,
        process::hosts::{HostState, KnownHost},
        request::origins::{
            OriginFinding, OriginHost, OriginRecords as Records, SoftwareHistory, StreamKey,
            StreamOrigin, origin_hosts,
        },
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Other hosts that keep the origin of a stream.
const COPIES: usize = 3;

/// Hosts that are asked for an origin: more than keep it, as their order changes with the list of hosts.
const ASKED_HOSTS: usize = 8;

/// Records in one message, so that it fits into a datagram.
const MAX_RECORDS_PER_MESSAGE: usize = 32;

/// Records that a host which stops hands over, the latest ones.
const MAX_HANDED_OVER: usize = 4_096;

/// Origins of streams, and the versions that their targets have had.
#[derive(Debug, Default)]
pub(super) struct OriginState {
    pub records: Records,
    pub software: SoftwareHistory,
    pub store: OriginStore,
    pub introductions: VersionIntroductions,
}

impl OriginState {
    pub fn new(is_first_start: bool) -> Self {
        Self {
            software: SoftwareHistory::new(is_first_start),
            ..Self::default()
        }
    }
}

impl HostControl {
    /// Records where a stream of this host began, and tells the hosts that keep its origin.
    pub(super) fn record_origin(
        &mut self,
        origin: StreamOrigin,
        now: Instant,
    ) -> Vec<ControlAction> {
        self.keep_origin(origin, now);
        self.origins.store.add_unsaved(origin);
        let records = OriginRecords {
            records: vec![OriginRecord::of(&origin, now)],
            stored: Vec::new(),
        };
        let keepers = self.origin_hosts(origin.key).into_iter().take(COPIES);
        keepers
            .map(|to| ControlAction::Send {
                to,
                message: Message::OriginRecords(records.clone()),
            })
            .collect()
    }

    /// Handles the origins of streams of other hosts.
    pub(super) fn on_origin_records(
        &mut self,
        records: &OriginRecords,
        now: Instant,
    ) {
        let origins = records.records.iter();
        for origin in origins.filter_map(|record| record.origin(now)) {
            self.keep_origin(origin, now);
        }
        self.take_stored_versions(&records.stored);
    }

    /// Searches for the origin of a stream that is taken up here: this host's own answer comes at once. Unless it knows, other
    /// hosts are asked, and the store if versions may have left the list before this host followed it.
    pub(super) fn search_origin(
        &mut self,
        ask: OriginAsk,
        now: Instant,
    ) -> Vec<ControlAction> {
        let finding = self.own_finding(&ask, now);
        let answer = OriginAnswer::of(&ask, &finding);
        if finding.recorded.is_some() {
            return vec![ControlAction::DeliverOwnOrigin { answer, asked: 0 }];
        }
        let key = StreamKey::from_bits(ask.stream.unwrap_or(ask.id));
        let asked = self.origin_hosts(key).into_iter().take(ASKED_HOSTS);
        let asked: Vec<SocketAddr> = asked.collect();
        let store_read = self.ask_store(&ask, now);
        let own = ControlAction::DeliverOwnOrigin {
            answer,
            asked: asked.len() as u32 + u32::from(store_read.is_some()),
        };
        let asks = asked.into_iter().map(|to| ControlAction::Send {
            to,
            message: Message::OriginAsk(ask.clone()),
        });
        let store_read = store_read.into_iter().flatten();
        std::iter::once(own).chain(store_read).chain(asks).collect()
    }

    /// Answers another host's search for the origin of a stream.
    pub(super) fn on_origin_ask(
        &mut self,
        from: SocketAddr,
        ask: &OriginAsk,
        now: Instant,
    ) -> ControlAction {
        ControlAction::Send {
            to: from,
            message: Message::OriginAnswer(OriginAnswer::of(ask, &self.own_finding(ask, now))),
        }
    }

    /// Hands the latest records over to the hosts that keep them once this one has stopped.
    pub(super) fn hand_over_origins(
        &self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut by_keeper: BTreeMap<SocketAddr, Vec<OriginRecord>> = BTreeMap::new();
        for origin in self.origins.records.latest(now).take(MAX_HANDED_OVER) {
            let record = OriginRecord::of(origin, now);
            for keeper in self.origin_hosts(origin.key).into_iter().take(COPIES) {
                by_keeper.entry(keeper).or_default().push(record);
            }
        }
        let messages = |records: &[OriginRecord]| {
            let messages = records.chunks(MAX_RECORDS_PER_MESSAGE);
            let message = |records: &[OriginRecord]| {
                Message::OriginRecords(OriginRecords {
                    records: records.to_vec(),
                    stored: Vec::new(),
                })
            };
            messages.map(message).collect::<Vec<Message>>()
        };
        by_keeper
            .iter()
            .flat_map(|(to, records)| {
                let messages = messages(records).into_iter();
                messages.map(|message| ControlAction::Send { to: *to, message })
            })
            .collect()
    }

    /// Notes the versions of the targets that are listed now.
    pub(super) fn note_software(
        &mut self,
        now: Instant,
    ) {
        let records = self.targets.values().map(|target| &target.record);
        let listed = records.map(|record| (record.service.as_str(), record.software.id()));
        self.origins.software.update(listed, now);
        self.update_introductions(now);
    }

    pub(super) fn keep_origin(
        &mut self,
        origin: StreamOrigin,
        now: Instant,
    ) {
        self.origins.records.record(origin, now);
        let count = self.origins.records.len();
        metrics().stream_origins.set(count as i64);
    }

    /// Returns what this host by itself knows of the origin of a stream.
    fn own_finding(
        &mut self,
        ask: &OriginAsk,
        now: Instant,
    ) -> OriginFinding {
        self.follow_list(now);
        let is_complete = self.knows_all_versions(&ask.service, now);
        self.origin_finding(ask, is_complete, now)
    }

    /// Returns what is known here of the origin of a stream; `is_complete` if no version is missing.
    pub(super) fn origin_finding(
        &mut self,
        ask: &OriginAsk,
        is_complete: bool,
        now: Instant,
    ) -> OriginFinding {
        self.note_software(now);
        let key = ask.stream.map(StreamKey::from_bits);
        OriginFinding {
            recorded: key.and_then(|key| self.origins.records.get(key, now)),
            versions: self.versions_in_use(&ask.service),
            is_complete,
        }
    }

    /// Returns true if no stream of the service that may still be taken up has begun at a version that this host does not know to be in
    /// use.
    pub(super) fn knows_all_versions(
        &self,
        service: &str,
        now: Instant,
    ) -> bool {
        self.origins.software.is_complete(service, now) && !self.may_lack_versions(now)
    }

    /// Returns true if a version may have been introduced without this host's knowledge, as it hears few of the other hosts.
    ///
    /// One that its list lacks comes into use no sooner than `introduction_delay` after it is listed. One that has been withheld for that
    /// long may be in use, and nobody has told this host. While the store is away no host's list is younger, but who hears few
    /// others can't tell that from a cut of its own.
    fn may_lack_versions(
        &self,
        now: Instant,
    ) -> bool {
        let others = self.hosts.known_count().saturating_sub(1);
        if 2 * self.alive_hosts().count() >= others {
            return false;
        }
        let delay = self.introduction_delay();
        let is_old = |at: Instant| now.saturating_duration_since(at) >= delay;
        let withheld_since = self.origins.introductions.oldest_withheld();
        self.listed.replica.confirmed_at().is_none_or(is_old) || withheld_since.is_some_and(is_old)
    }

    /// Returns the versions at which a stream of the service may have begun.
    fn versions_in_use(
        &self,
        service: &str,
    ) -> Vec<SoftwareId> {
        let mut versions = self.origins.software.versions(service);
        let introductions = &self.origins.introductions;
        versions.retain(|software| !introductions.is_unused(service, *software));
        versions
    }

    /// Returns the other hosts that may keep the origin of a stream, those that do first.
    fn origin_hosts(
        &self,
        key: StreamKey,
    ) -> Vec<SocketAddr> {
        let hosts = self.alive_hosts().map(|host| OriginHost {
            peer: host.identity.peer,
            hall: &host.identity.hall,
        });
        origin_hosts(key, hosts)
    }

    /// Returns the other hosts that are heard and stay.
    pub(super) fn alive_hosts(&self) -> impl Iterator<Item = &KnownHost> {
        let hosts = self.hosts.hosts();
        hosts.filter(|host| host.state == HostState::Alive)
    }
}
