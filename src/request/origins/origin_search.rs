use {crate::formats::SoftwareId, std::collections::BTreeSet};

/// What a search for the origin of a stream has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchOutcome {
    /// A host has recorded it.
    Recorded(SoftwareId),
    /// No host has, but the hosts know of no other version.
    OnlyVersion(SoftwareId),
    Unknown,
}

impl SearchOutcome {
    /// Returns the word for logs and metrics.
    pub fn word(self) -> &'static str {
        match self {
            Self::Recorded(_) => "recorded",
            Self::OnlyVersion(_) => "only_version",
            Self::Unknown => "unknown",
        }
    }

    pub fn software(self) -> Option<SoftwareId> {
        match self {
            Self::Recorded(software) | Self::OnlyVersion(software) => Some(software),
            Self::Unknown => None,
        }
    }
}

/// Collects what hosts answer to the question at which version a stream began.
#[derive(Debug, Default)]
pub struct OriginSearch {
    recorded: Option<SoftwareId>,
    /// Versions that the hosts know of.
    versions: BTreeSet<SoftwareId>,
    /// Hosts that were asked besides this one, once that is known.
    asked: Option<u32>,
    answered: u32,
}

impl OriginSearch {
    /// Takes this host's own answer, and how many others it has asked.
    pub fn on_own_answer(
        &mut self,
        recorded: Option<SoftwareId>,
        versions: impl Iterator<Item = SoftwareId>,
        asked: u32,
    ) {
        self.asked = Some(asked);
        self.add(recorded, versions);
    }

    /// Takes another host's answer.
    pub fn on_answer(
        &mut self,
        recorded: Option<SoftwareId>,
        versions: impl Iterator<Item = SoftwareId>,
    ) {
        self.answered += 1;
        self.add(recorded, versions);
    }

    /// Returns true if no further answer can change the outcome.
    pub fn is_over(&self) -> bool {
        self.recorded.is_some() || self.asked.is_some_and(|asked| self.answered >= asked)
    }

    /// Returns the outcome. A host that hears none of those it has asked may be cut off, and what it knows of versions old.
    pub fn outcome(&self) -> SearchOutcome {
        if let Some(software) = self.recorded {
            return SearchOutcome::Recorded(software);
        }
        let is_heard = self.asked == Some(0) || self.answered > 0;
        match self.versions.first() {
            Some(only) if self.versions.len() == 1 && is_heard => SearchOutcome::OnlyVersion(*only),
            _ => SearchOutcome::Unknown,
        }
    }

    pub fn asked(&self) -> u32 {
        self.asked.unwrap_or_default()
    }

    pub fn answered(&self) -> u32 {
        self.answered
    }

    fn add(
        &mut self,
        recorded: Option<SoftwareId>,
        versions: impl Iterator<Item = SoftwareId>,
    ) {
        self.recorded = self.recorded.or(recorded);
        self.versions.extend(versions);
    }
}
