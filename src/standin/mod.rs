//! Small stand-ins for the platform and the targets: the interface's rules, and faults on demand.

mod engine;
mod fault_proxy;
mod plain_standin;
mod platform;
mod standin_server;

pub use {
    engine::{EngineFaults, EngineRecord, EngineStandin, EngineStandinSpec, Execution},
    fault_proxy::{FaultProxy, ProxyFault, SourceOf},
    plain_standin::{PlainFaults, PlainRecord, PlainStandin},
    platform::{PlatformFaults, PlatformStandin, PlatformStandinSpec},
    standin_server::StandinServer,
};
