//! Store rows on the versions of targets' software and on the origins of streams, which must survive the loss of all hosts.

use {
    crate::{
        clock::Instant,
        connection::datagram::{OriginRecord, OriginRecords},
        formats::{FormatError, RowKey, RowWrite, SoftwareId},
        request::origins::StreamOrigin,
    },
    prost::Message,
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Table of both kinds of rows.
pub(super) const ORIGIN_TABLE: &str = "coveproxy-origins";

/// Beginnings of the keys of both kinds.
const VERSION_PREFIX: &str = "version/";
const STREAMS_PREFIX: &str = "streams/";

/// A version that targets of a service have had within the time for which streams may be taken up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct VersionRow {
    pub service: String,
    /// The bits of a `SoftwareId`.
    pub software: u64,
    /// Era of the store in which the row was written.
    pub era: u32,
    /// The rows of the service name all its versions.
    pub is_complete: bool,
}

/// A row that was read.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum OriginRow {
    Version(VersionRow),
    Streams(OriginRecords),
}

impl OriginRow {
    pub fn parse(
        key: &str,
        value: &[u8],
    ) -> Result<Self, FormatError> {
        let unreadable = |problem: String| FormatError::new("origin row", &problem);
        if key.starts_with(VERSION_PREFIX) {
            let row = serde_json::from_slice(value);
            return row
                .map(Self::Version)
                .map_err(|problem| unreadable(problem.to_string()));
        }
        if key.starts_with(STREAMS_PREFIX) {
            let records = OriginRecords::decode(value);
            return records
                .map(Self::Streams)
                .map_err(|problem| unreadable(problem.to_string()));
        }
        Err(unreadable(
            "neither of a version nor of streams".to_string(),
        ))
    }
}

/// Returns the key of a version's row. Names of services may be longer than a key.
pub(super) fn version_key(
    service: &str,
    software: SoftwareId,
) -> RowKey {
    let service = xxh3_64(service.as_bytes());
    let software = software.to_bits();
    let key = format!("{VERSION_PREFIX}{service:016x}/{software:016x}");
    RowKey::new(ORIGIN_TABLE, &key)
}

/// Returns the write that stores a version.
pub(super) fn version_write(row: &VersionRow) -> RowWrite {
    RowWrite {
        row: version_key(&row.service, SoftwareId::from_bits(row.software)),
        // Serialization can't fail: all fields have a JSON form.
        value: serde_json::to_vec(row).ok(),
    }
}

/// Returns the key of a row of streams, by the process that writes it and the number of the row.
pub(super) fn streams_key(
    process: u64,
    number: u64,
) -> RowKey {
    let key = format!("{STREAMS_PREFIX}{process:016x}/{number:08x}");
    RowKey::new(ORIGIN_TABLE, &key)
}

/// Returns the write that stores the origins of streams.
pub(super) fn streams_write(
    row: RowKey,
    origins: &[StreamOrigin],
    now: Instant,
) -> RowWrite {
    let records = OriginRecords {
        records: origins
            .iter()
            .map(|origin| OriginRecord::of(origin, now))
            .collect(),
        stored: Vec::new(),
    };
    RowWrite {
        row,
        value: Some(records.encode_to_vec()),
    }
}

/// Returns the write that deletes a row.
pub(super) fn delete_write(row: RowKey) -> RowWrite {
    RowWrite { row, value: None }
}
