//! Settings of one process, read from an INI file and checked as a whole.

mod host_settings;
mod ini_reader;
mod node_settings;

pub use {
    host_settings::{
        CallerLimits, HostSettings, LeaseSettings, LoadSettings, MembershipSettings,
        PlatformSettings, PolicySettings,
    },
    ini_reader::IniReader,
    node_settings::{Bounds, ListenSettings, NodeSettings, OrderLeaseSettings},
};
