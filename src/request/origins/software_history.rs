use {
    super::ORIGIN_TTL,
    crate::{clock::Instant, formats::SoftwareId},
    std::collections::{BTreeMap, HashMap},
};

/// Versions of the targets' software by service, those included that were listed within `ORIGIN_TTL`.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// When a target of each version was last listed.
    by_service: HashMap<String, BTreeMap<SoftwareId, Instant>>,
}

impl SoftwareHistory {
    /// Takes the services and versions of all targets that are listed now.
    pub fn update<'a>(
        &mut self,
        listed: impl Iterator<Item = (&'a str, SoftwareId)>,
        now: Instant,
    ) {
        for (service, software) in listed {
            let versions = match self.by_service.get_mut(service) {
                Some(versions) => versions,
                None => self.by_service.entry(service.to_string()).or_default(),
            };
            versions.insert(software, now);
        }
        for versions in self.by_service.values_mut() {
            versions.retain(|_, at| now.saturating_duration_since(*at) < ORIGIN_TTL);
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the versions at which a stream of the service may have begun.
    pub fn versions(
        &self,
        service: &str,
    ) -> Vec<SoftwareId> {
        let versions = self.by_service.get(service);
        versions.map_or(Vec::new(), |versions| versions.keys().copied().collect())
    }
}
