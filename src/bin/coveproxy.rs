//! The command line.

fn main() -> std::process::ExitCode {
    coveproxy::cli::run()
}
