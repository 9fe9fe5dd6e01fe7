//! What is asked of each request before a target is looked for: whose it is.

mod key_check;

pub use key_check::identify;
