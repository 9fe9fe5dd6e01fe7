use {
    super::ORIGIN_TTL,
    crate::{clock::Instant, formats::SoftwareId},
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// Versions of the targets' software by service, those included that were listed within `ORIGIN_TTL`.
///
/// It also tells whether they are all: a host that has just started has not seen the versions whose last target left before.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// When a target of each version was last listed.
    by_service: HashMap<String, BTreeMap<SoftwareId, Instant>>,
    /// Since when this host has followed the list of targets; `None` while its copy is out of date.
    followed_since: Option<Instant>,
    /// Services whose versions from before `followed_since` are known as well.
    known_before: HashSet<String>,
    /// There was nothing before `followed_since`.
    is_from_first_start: bool,
}

impl SoftwareHistory {
    /// Returns the history of a host; at the first start of a site no stream has begun before.
    pub fn new(is_first_start: bool) -> Self {
        Self {
            is_from_first_start: is_first_start,
            ..Self::default()
        }
    }

    /// Notes whether this host's copy of the list is up to date. Versions may come and go unseen while it is not.
    pub fn follow(
        &mut self,
        is_current: bool,
        now: Instant,
    ) {
        if is_current {
            self.followed_since.get_or_insert(now);
        } else if self.followed_since.take().is_some() {
            self.known_before.clear();
            self.is_from_first_start = false;
        }
    }

    /// Takes the services and versions of all targets that are listed now.
    pub fn update<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a str, SoftwareId)>,
        now: Instant,
    ) {
        for (service, software) in listed {
            self.add(service, software, now);
        }
        for versions in self.by_service.values_mut() {
            versions.retain(|_, at| now.saturating_duration_since(*at) < ORIGIN_TTL);
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
    }

    /// Adds a version that may have been listed until now.
    pub fn add(
        &mut self,
        service: &str,
        software: SoftwareId,
        now: Instant,
    ) {
        let versions = match self.by_service.get_mut(service) {
            Some(versions) => versions,
            None => self.by_service.entry(service.to_string()).or_default(),
        };
        versions.insert(software, now);
    }

    /// Notes that the versions of a service from before this host followed the list have been added.
    pub fn set_known_before(
        &mut self,
        service: &str,
    ) {
        if self.followed_since.is_some() {
            self.known_before.insert(service.to_string());
        }
    }

    /// Returns true if this host follows the list of targets.
    pub fn is_followed(&self) -> bool {
        self.followed_since.is_some()
    }

    /// Returns since when this host has followed the list of targets.
    pub fn followed_since(&self) -> Option<Instant> {
        self.followed_since
    }

    /// Returns true if no stream of the service that may still be taken up has begun at a version that is missing here.
    pub fn is_complete(
        &self,
        service: &str,
        now: Instant,
    ) -> bool {
        self.followed_since.is_some_and(|since| {
            self.is_from_first_start
                || self.known_before.contains(service)
                || now.saturating_duration_since(since) >= ORIGIN_TTL
        })
    }

    /// Returns the versions at which a stream of the service may have begun.
    pub fn versions(
        &self,
        service: &str,
    ) -> Vec<SoftwareId> {
        let versions = self.by_service.get(service);
        versions.map_or(Vec::new(), |versions| versions.keys().copied().collect())
    }

    /// Returns all services with their versions.
    pub fn iter(&self) -> impl Iterator<Item = (&str, SoftwareId)> {
        self.by_service.iter().flat_map(|(service, versions)| {
            versions
                .keys()
                .map(move |software| (service.as_str(), *software))
        })
    }

    /// Returns true while a service has several versions.
    pub fn has_several_versions(&self) -> bool {
        self.by_service.values().any(|versions| versions.len() > 1)
    }
}
