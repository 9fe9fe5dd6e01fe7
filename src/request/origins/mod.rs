//! Which version of the targets' software began a stream, so that it goes on at no other one. No I/O.
//!
//! The host that relays a stream records its origin as the first event goes out, here and at a few other hosts that are found by
//! the stream's id alone. Whoever gets a stream that is taken up asks these hosts.

mod origin_hosts;
mod origin_records;
mod origin_search;
mod required_software;
mod software_history;
mod stream_key;

pub use {
    origin_hosts::{OriginHost, origin_hosts},
    origin_records::{ORIGIN_REFRESH, ORIGIN_TTL, OriginRecords, StreamOrigin},
    origin_search::{OriginFinding, OriginSearch, SearchOutcome},
    required_software::RequiredSoftware,
    software_history::SoftwareHistory,
    stream_key::StreamKey,
};
