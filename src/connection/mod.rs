//! What lives for a connection: callers, peers, targets and the platform.

pub mod caller;
pub mod datagram;
pub mod front;
mod header_text;
pub mod http1;
pub mod peer;
pub mod platform;
pub mod pull;
pub mod store;
pub mod target;
pub mod targets;

pub use header_text::header_text;
