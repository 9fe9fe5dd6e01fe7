//! Command lines: arguments in, the library called, an exit code out.

mod daemon;
mod demo_command;
mod exit;
mod launch;
mod logging;
mod standin;
mod tool;

pub use {daemon::run_daemon, standin::run_standin, tool::run};
