//! Versions of the targets' software, and the versions at which streams began.

use {
    super::{ControlRequest, TargetTable},
    crate::{
        clock::Instant,
        connection::datagram::OriginAsk,
        formats::{SoftwareId, SoftwareVersion},
        request::origins::{RequiredSoftware, StreamOrigin},
    },
};

impl TargetTable {
    /// Returns the version of a target's software.
    pub fn software_of(
        &self,
        target: &str,
    ) -> Option<&SoftwareVersion> {
        let link = self.links.get(target)?;
        Some(&link.view.record.software)
    }

    /// Returns true if a target runs a version at which the request may run.
    pub fn runs_software(
        &self,
        target: &str,
        required: RequiredSoftware,
    ) -> bool {
        match required {
            RequiredSoftware::Any => true,
            RequiredSoftware::Introduced => !self.is_withheld(target),
            RequiredSoftware::Exactly(software) => {
                let runs = self.software_of(target);
                runs.is_some_and(|version| version.id() == software)
            }
        }
    }

    /// Returns true if no stream may begin at the version of a target's software yet.
    fn is_withheld(
        &self,
        target: &str,
    ) -> bool {
        if self.view.withheld_software.is_empty() {
            return false;
        }
        self.links.get(target).is_some_and(|link| {
            let record = &link.view.record;
            let withheld = self.view.withheld_software.get(&record.service);
            withheld.is_some_and(|versions| versions.contains(&record.software.id()))
        })
    }

    /// Returns true if a usable target of the service runs this version.
    pub fn serves_software(
        &self,
        service: &str,
        software: SoftwareId,
        now: Instant,
    ) -> bool {
        let mut targets = self.targets_of(service).iter();
        targets.any(|target| {
            self.runs_software(&target.id, RequiredSoftware::Exactly(software))
                && self.is_usable(&target.id, now)
        })
    }

    /// Returns the name of a version for logs; `-` if no target of the service runs it.
    pub fn software_name(
        &self,
        service: &str,
        software: SoftwareId,
    ) -> &str {
        let targets = self.targets_of(service).iter();
        let mut versions = targets.filter_map(|target| self.software_of(&target.id));
        let version = versions.find(|version| version.id() == software);
        version.map_or("-", SoftwareVersion::name)
    }

    /// Records where a stream began, here and at the hosts that keep its origin.
    pub fn record_origin(
        &self,
        origin: StreamOrigin,
    ) {
        let _ = self.control.send(ControlRequest::RecordOrigin(origin));
    }

    /// Searches for the origin of a stream; the replies come to `pending_origins`.
    pub fn search_origin(
        &self,
        ask: OriginAsk,
    ) {
        let _ = self.control.send(ControlRequest::SearchOrigin(ask));
    }
}
