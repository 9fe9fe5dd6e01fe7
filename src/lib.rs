//! coveproxy: a serving layer for very many LoRA adapters on a few shared model engines.
//!
//! Modules follow life span: `process`, `version`, `connection`, `request`.

pub mod cli;
pub mod client;
pub mod clock;
pub mod connection;
pub mod demo;
pub mod errors;
pub mod formats;
pub mod metrics;
pub mod process;
pub mod report;
pub mod request;
pub mod standin;
pub mod timeline;
pub mod version;
