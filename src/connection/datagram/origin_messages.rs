//! Messages on the version of the targets' software at which streams began.

use {
    crate::{
        clock::Instant,
        formats::SoftwareId,
        request::origins::{OriginFinding, StreamKey, StreamOrigin},
    },
    std::time::Duration,
};

/// Where a stream began.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct OriginRecord {
    /// The bits of a `StreamKey`.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// The bits of a `SoftwareId`.
    #[prost(fixed64, tag = "2")]
    pub software: u64,
    /// Time since an event of the stream last went out, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

impl OriginRecord {
    pub fn of(
        origin: &StreamOrigin,
        now: Instant,
    ) -> Self {
        let age = now.saturating_duration_since(origin.at);
        Self {
            stream: origin.key.to_bits(),
            software: origin.software.to_bits(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the origin by this host's clock; `None` if it is older than the clock.
    pub fn origin(
        &self,
        now: Instant,
    ) -> Option<StreamOrigin> {
        let age = Duration::from_millis(u64::from(self.age_ms));
        Some(StreamOrigin {
            key: StreamKey::from_bits(self.stream),
            software: SoftwareId::from_bits(self.software),
            at: now.checked_sub(age)?,
        })
    }
}

/// Tells where streams began.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OriginRecords {
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<OriginRecord>,
    /// Versions whose rows the store has taken.
    #[prost(message, repeated, tag = "2")]
    pub stored: Vec<StoredVersion>,
}

/// A version of a service's targets whose row the store has taken.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StoredVersion {
    #[prost(string, tag = "1")]
    pub service: String,
    /// The bits of a `SoftwareId`.
    #[prost(fixed64, tag = "2")]
    pub software: u64,
    /// Era of the store in which it did.
    #[prost(uint32, tag = "3")]
    pub era: u32,
    /// The rows of the service name all its versions.
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
}

/// Asks where a stream began.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OriginAsk {
    /// Names the ask to the host that asks.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The bits of a `StreamKey`; absent if the caller has not named the stream.
    #[prost(fixed64, optional, tag = "2")]
    pub stream: Option<u64>,
    #[prost(string, tag = "3")]
    pub service: String,
}

/// Answers where a stream began.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OriginAnswer {
    /// As in the ask.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The bits of a `SoftwareId`; absent if the sender has no record of the stream.
    #[prost(fixed64, optional, tag = "2")]
    pub software: Option<u64>,
    /// Versions that the sender knows of the service's targets, as the bits of `SoftwareId`s.
    #[prost(fixed64, repeated, tag = "3")]
    pub versions: Vec<u64>,
    /// The stream can't have begun at another version.
    #[prost(bool, tag = "4")]
    pub is_complete: bool,
}

impl OriginAnswer {
    pub fn of(
        ask: &OriginAsk,
        finding: &OriginFinding,
    ) -> Self {
        let versions = finding.versions.iter().copied();
        Self {
            id: ask.id,
            software: finding.recorded.map(SoftwareId::to_bits),
            versions: versions.map(SoftwareId::to_bits).collect(),
            is_complete: finding.is_complete,
        }
    }

    pub fn finding(&self) -> OriginFinding {
        let versions = self.versions.iter().copied();
        OriginFinding {
            recorded: self.software.map(SoftwareId::from_bits),
            versions: versions.map(SoftwareId::from_bits).collect(),
            is_complete: self.is_complete,
        }
    }
}
