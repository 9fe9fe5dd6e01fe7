//! Which versions of the targets' software no stream may begin at yet.
//!
//! A version that joins others of its service is introduced once the store has its row, and the origins of the streams that run
//! at the others. So a version that is listed without a row has begun no stream, whatever was lost since.

use {
    crate::{clock::Instant, formats::SoftwareId},
    std::collections::{BTreeMap, BTreeSet},
};

/// A version of a service's targets.
pub type ServiceVersion = (String, SoftwareId);

/// Why no stream may begin at a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithheldReason {
    /// The store has no row of it.
    NotStored,
    /// It is not known yet which versions the store has.
    NotRead,
}

impl WithheldReason {
    /// Returns the word for logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::NotStored => "not_stored",
            Self::NotRead => "not_read",
        }
    }
}

/// What the store has of versions, as far as this host knows.
#[derive(Debug, Clone, Copy)]
pub struct StoredVersions<'a> {
    /// By version, whether its row names it as one of all.
    pub versions: &'a BTreeMap<ServiceVersion, bool>,
    pub has_read: bool,
}

/// The versions that are listed, and those of them that are withheld.
#[derive(Debug, Default)]
pub struct VersionIntroductions {
    /// When a target of each version was first listed.
    first_listed: BTreeMap<ServiceVersion, Instant>,
    withheld: BTreeMap<ServiceVersion, WithheldReason>,
    /// Versions at which streams may have begun at this host.
    introduced: BTreeSet<ServiceVersion>,
}

impl VersionIntroductions {
    /// Takes the number of listed targets of each version; returns true if a version has joined others of its service, or what is
    /// withheld has changed.
    pub fn update(
        &mut self,
        listed: &BTreeMap<ServiceVersion, usize>,
        stored: StoredVersions<'_>,
        now: Instant,
    ) -> bool {
        self.first_listed
            .retain(|version, _| listed.contains_key(version));
        self.introduced
            .retain(|version| listed.contains_key(version));
        let mut has_joined = false;
        for version in listed.keys() {
            if !self.first_listed.contains_key(version) {
                self.first_listed.insert(version.clone(), now);
                has_joined |= versions_of(listed, &version.0).count() > 1;
            }
        }
        let before = std::mem::take(&mut self.withheld);
        for version in listed.keys() {
            match self.withheld_reason(version, listed, stored) {
                Some(reason) => drop(self.withheld.insert(version.clone(), reason)),
                None => drop(self.introduced.insert(version.clone())),
            }
        }
        has_joined || self.withheld != before
    }

    /// Returns why a version is withheld. One that the store can't take is introduced once the others run on too few targets.
    fn withheld_reason(
        &self,
        version: &ServiceVersion,
        listed: &BTreeMap<ServiceVersion, usize>,
        stored: StoredVersions<'_>,
    ) -> Option<WithheldReason> {
        if self.introduced.contains(version) || stored.versions.contains_key(version) {
            return None;
        }
        let service = &version.0;
        let reason = match stored.has_read {
            true => WithheldReason::NotStored,
            false => WithheldReason::NotRead,
        };
        let goes_before = |other: &&ServiceVersion| match reason {
            WithheldReason::NotStored => {
                stored.versions.contains_key(*other)
                    || self.first_listed.get(*other) < self.first_listed.get(version)
            }
            WithheldReason::NotRead => (listed[*other], *other) > (listed[version], version),
        };
        let others = versions_of(listed, service).filter(|other| *other != version);
        let before: Vec<&ServiceVersion> = others.filter(goes_before).collect();
        let at_others: usize = before.iter().map(|other| listed[*other]).sum();
        let all: usize = versions_of(listed, service)
            .map(|other| listed[other])
            .sum();
        (at_others > 0 && 2 * at_others >= all).then_some(reason)
    }

    /// Returns the versions at which no stream may begin.
    pub fn withheld(&self) -> impl Iterator<Item = (&ServiceVersion, WithheldReason)> {
        self.withheld
            .iter()
            .map(|(version, reason)| (version, *reason))
    }

    /// Returns true if no stream has begun at a version, as the store has no row of it.
    pub fn is_unused(
        &self,
        service: &str,
        software: SoftwareId,
    ) -> bool {
        let key = (service.to_string(), software);
        self.withheld.get(&key) == Some(&WithheldReason::NotStored)
    }

    /// Returns when a version was first listed, if it is withheld.
    pub fn withheld_since(
        &self,
        version: &ServiceVersion,
    ) -> Option<Instant> {
        self.withheld.get(version)?;
        self.first_listed.get(version).copied()
    }

    /// Returns when the version was first listed that is withheld for longest.
    pub fn oldest_withheld(&self) -> Option<Instant> {
        let since = self
            .withheld
            .keys()
            .map(|version| self.first_listed[version]);
        since.min()
    }
}

/// Returns the listed versions of a service.
fn versions_of<'a>(
    listed: &'a BTreeMap<ServiceVersion, usize>,
    service: &str,
) -> impl Iterator<Item = &'a ServiceVersion> {
    listed.keys().filter(move |(other, _)| other == service)
}
