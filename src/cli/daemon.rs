use {
    super::{
        exit::exit_code,
        launch::{runtime, stop_requested},
        logging::start_logging,
    },
    crate::{
        errors::RunError,
        process::{node::Node, settings::HostSettings},
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::{path::PathBuf, process::ExitCode},
};

/// Runs `coveproxyd`.
pub fn run_daemon() -> ExitCode {
    let arguments = command().get_matches();
    start_logging("info");
    exit_code(serve(&arguments))
}

fn command() -> Command {
    Command::new("coveproxyd")
        .version(clap::crate_version!())
        .about("One coveproxy host")
        .after_help(
            "Examples:\n  coveproxyd --settings etc/cascadia/host-1.ini --check\n  \
             coveproxyd --settings etc/cascadia/host-1.ini\n\n\
             SIGTERM starts a planned stop. Exit codes: 0 stopped by plan, 2 wrong settings,\n\
             3 an address can't be listened on.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The host's settings, an INI file"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
        .arg(
            Arg::new("threads")
                .long("threads")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..=1024))
                .help("Threads for traffic [default: one for each core]"),
        )
}

fn serve(arguments: &ArgMatches) -> Result<(), RunError> {
    let file: &PathBuf = arguments.get_one("settings").expect("it is required");
    let settings = HostSettings::read(file)?;
    if arguments.get_flag("check") {
        println!("{}: good", file.display());
        return Ok(());
    }
    let threads = arguments.get_one::<u64>("threads").map(|n| *n as usize);
    runtime(threads)?.block_on(async {
        let node = Node::start(settings).await?;
        stop_requested().await?;
        node.stop().await;
        Ok(())
    })
}
