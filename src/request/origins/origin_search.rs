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

/// What one host or the store knows of the origin of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginFinding {
    /// The version that began the stream, if it is recorded.
    pub recorded: Option<SoftwareId>,
    /// Versions that the service's targets have had.
    pub versions: Vec<SoftwareId>,
    /// The stream can't have begun at another version.
    pub is_complete: bool,
}

/// Collects what hosts and the store answer to the question at which version a stream began.
#[derive(Debug, Default)]
pub struct OriginSearch {
    recorded: Option<SoftwareId>,
    /// Versions that any of them knows of.
    versions: BTreeSet<SoftwareId>,
    /// Others that were asked besides this host, once that is known.
    asked: Option<u32>,
    answered: u32,
    /// Answers that name all versions, this host's own included.
    complete: u32,
}

impl OriginSearch {
    /// Takes this host's own answer, and how many others it has asked.
    pub fn on_own_answer(
        &mut self,
        finding: &OriginFinding,
        asked: u32,
    ) {
        self.asked = Some(asked);
        self.add(finding);
    }

    /// Takes the answer of another host or of the store.
    pub fn on_answer(
        &mut self,
        finding: &OriginFinding,
    ) {
        self.answered += 1;
        self.add(finding);
    }

    /// Returns true if no further answer can change the outcome.
    pub fn is_over(&self) -> bool {
        self.recorded.is_some() || self.asked.is_some_and(|asked| self.answered >= asked)
    }

    /// Returns the outcome. A host that hears none of those it has asked may be cut off, and what it knows of versions old.
    /// That one version alone is listed tells nothing as long as nobody knows which were listed before.
    pub fn outcome(&self) -> SearchOutcome {
        if let Some(software) = self.recorded {
            return SearchOutcome::Recorded(software);
        }
        let is_heard = self.asked == Some(0) || self.answered > 0;
        let names_all = is_heard && self.complete > 0;
        match self.versions.first() {
            Some(only) if self.versions.len() == 1 && names_all => {
                SearchOutcome::OnlyVersion(*only)
            }
            _ => SearchOutcome::Unknown,
        }
    }

    pub fn asked(&self) -> u32 {
        self.asked.unwrap_or_default()
    }

    pub fn answered(&self) -> u32 {
        self.answered
    }

    /// Returns the number of answers that name all versions.
    pub fn complete(&self) -> u32 {
        self.complete
    }

    /// Returns the number of versions that were named.
    pub fn versions(&self) -> usize {
        self.versions.len()
    }

    fn add(
        &mut self,
        finding: &OriginFinding,
    ) {
        self.recorded = self.recorded.or(finding.recorded);
        self.versions.extend(&finding.versions);
        self.complete += u32::from(finding.is_complete);
    }
}
