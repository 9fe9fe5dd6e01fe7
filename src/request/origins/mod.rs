//! Which version of the targets' software began a stream, so that it goes on at no other one. No I/O.
//!
//! The host that relays a stream records its origin as the first event goes out, here and at a few other hosts that are found by
//! the stream's id alone. Whoever gets a stream that is taken up asks these hosts.

mod origin_hosts;
mod origin_records;
mod origin_search;
mod software_history;
mod stream_key;

pub use {
    origin_hosts::{OriginHost, origin_hosts},
    origin_records::{OriginRecords, StreamOrigin},
    origin_search::{OriginSearch, SearchOutcome},
    software_history::SoftwareHistory,
    stream_key::StreamKey,
};

use std::time::Duration;

/// Time for which the origin of a stream matters after an event of it went out, and so a version after its last target was
/// listed.
pub const ORIGIN_TTL: Duration = Duration::from_secs(120);

/// Interval at which the origin of a running stream is recorded again.
pub const ORIGIN_REFRESH: Duration = Duration::from_secs(30);
