//! What lives as long as the process: settings, the control thread and what it decides on.

pub mod control;
pub mod loads;
pub mod membership;
pub mod node;
pub mod ownership;
pub mod settings;
pub mod target;
