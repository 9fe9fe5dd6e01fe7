use {
    crate::errors::{ConfigError, RunError},
    std::process::ExitCode,
};

/// Exit code for wrong arguments or settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a platform or host that was not reached.
pub const EXIT_UNREACHABLE: u8 = 3;
/// Exit code for a broken promise.
pub const EXIT_PROMISE: u8 = 4;
/// Exit code for a request that was not answered.
pub const EXIT_NOT_ANSWERED: u8 = 5;
/// Exit code for a change that lost a race or was refused.
pub const EXIT_REFUSED: u8 = 6;

/// Prints an error and turns it into an exit code.
pub fn exit_code(outcome: Result<(), RunError>) -> ExitCode {
    let Err(error) = outcome else {
        return ExitCode::SUCCESS;
    };
    eprintln!("error: {error}");
    ExitCode::from(match error {
        RunError::Settings(_) | RunError::File { .. } | RunError::Usage(_) => EXIT_USAGE,
        RunError::Listen { .. } | RunError::Platform(_) | RunError::Call(_) => EXIT_UNREACHABLE,
        RunError::PromiseBroken(_) => EXIT_PROMISE,
        RunError::NotAnswered(_) => EXIT_NOT_ANSWERED,
        RunError::Config(ConfigError::Platform(_)) => EXIT_UNREACHABLE,
        RunError::Config(_) => EXIT_REFUSED,
    })
}
