//! What lives for a connection: callers, peers, targets and the platform.

pub mod caller;
pub mod peer;
pub mod platform;
pub mod target;
