//! What lives as long as the process: settings, the control thread and what it decides on.

pub mod control;
pub mod engines;
pub mod holding;
pub mod host;
pub mod hosts;
pub mod loads;
pub mod membership;
pub mod node;
pub mod ownership;
pub mod settings;
pub mod tables;
pub mod target;
