use {
    super::{
        apply_command::{apply_command, run_apply},
        demo_command::{demo_command, run_demo},
        exit::exit_code,
        explain_command::{explain_command, run_explain},
        logging::start_logging,
        output::print,
        report_command::{report_command, run_report},
        request_command::{request_command, run_request},
        status_command::{run_status, status_command},
    },
    crate::errors::RunError,
    clap::{Arg, ArgMatches, Command, value_parser},
    clap_complete::Shell,
    std::process::ExitCode,
};

const NAME: &str = "coveproxy";

/// Runs `coveproxy`.
pub fn run() -> ExitCode {
    let arguments = command().get_matches();
    start_logging("warn");
    exit_code(dispatch(&arguments))
}

fn command() -> Command {
    Command::new(NAME)
        .version(clap::crate_version!())
        .about("Serves very many LoRA adapters on a few shared model engines")
        .after_help(
            "Exit codes: 0 done, 2 wrong arguments or settings, 3 not reached, 4 a promise was\n\
             broken, 5 the request was not answered, 6 the change was refused.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo_command())
        .subcommand(request_command())
        .subcommand(status_command())
        .subcommand(apply_command())
        .subcommand(explain_command())
        .subcommand(report_command())
        .subcommand(completions_command())
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Print completions for a shell")
        .after_help("Example:\n  coveproxy completions bash > /etc/bash_completion.d/coveproxy")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

fn dispatch(arguments: &ArgMatches) -> Result<(), RunError> {
    match arguments.subcommand() {
        Some(("demo", arguments)) => run_demo(arguments),
        Some(("request", arguments)) => run_request(arguments),
        Some(("status", arguments)) => run_status(arguments),
        Some(("apply", arguments)) => run_apply(arguments),
        Some(("explain", arguments)) => run_explain(arguments),
        Some(("report", arguments)) => run_report(arguments),
        Some(("completions", arguments)) => {
            let shell: &Shell = arguments.get_one("shell").expect("it is required");
            let mut script = Vec::new();
            clap_complete::generate(*shell, &mut command(), NAME, &mut script);
            print(&String::from_utf8_lossy(&script));
            Ok(())
        }
        _ => unreachable!("clap knows the subcommands"),
    }
}
