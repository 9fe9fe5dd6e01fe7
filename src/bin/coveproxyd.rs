//! One coveproxy host.

fn main() -> std::process::ExitCode {
    coveproxy::cli::run_daemon()
}
