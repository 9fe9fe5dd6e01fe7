//! Stands before functions of the C library that concern sockets in a host's process.
//!
//! All connections on loopback come from one address unless their sockets are bound. `connect` binds each to the address that the
//! process is given, so that the proxy before a target can harm the connections of one host alone. `setsockopt` writes down which
//! options are set, by whatever library.

mod connect;
mod socket_options;

pub use {
    connect::ADDRESS_VARIABLE,
    socket_options::{OPTIONS_VARIABLE, SocketOption},
};
