//! Command lines: arguments in, the library called, an exit code out.

mod apply_command;
mod daemon;
mod demo_command;
mod exit;
mod explain_command;
mod host;
mod json_file;
mod launch;
mod log_files;
mod logging;
mod output;
mod report_command;
mod request_command;
mod standin;
mod status_command;
mod tool;

pub use {daemon::run_daemon, host::run_host, standin::run_standin, tool::run};
