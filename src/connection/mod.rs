//! What lives for a connection: callers, peers, targets and the platform.

pub mod caller;
mod header_text;
pub mod peer;
pub mod platform;
pub mod target;

pub use header_text::header_text;
