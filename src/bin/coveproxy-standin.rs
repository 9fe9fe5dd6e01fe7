//! Stand-ins for the platform and the targets.

fn main() -> std::process::ExitCode {
    coveproxy::cli::run_standin()
}
