//! What is asked of each request before a target is looked for: whose it is, and whether that customer may use more.

mod key_check;
mod quota_gate;

pub use {
    key_check::identify,
    quota_gate::{Charged, charge},
};
