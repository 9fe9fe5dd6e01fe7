use {
    super::{
        demo_command::{demo_command, run_demo},
        exit::exit_code,
        logging::start_logging,
    },
    clap::{ArgMatches, Command},
    std::process::ExitCode,
};

/// Runs `coveproxy`.
pub fn run() -> ExitCode {
    let arguments = command().get_matches();
    start_logging("warn");
    exit_code(dispatch(&arguments))
}

fn command() -> Command {
    Command::new("coveproxy")
        .version(clap::crate_version!())
        .about("Serves very many LoRA adapters on a few shared model engines")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo_command())
}

fn dispatch(arguments: &ArgMatches) -> Result<(), crate::errors::RunError> {
    match arguments.subcommand() {
        Some(("demo", arguments)) => run_demo(arguments),
        _ => unreachable!("clap knows the subcommands"),
    }
}
