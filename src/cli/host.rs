use {
    super::{exit::exit_code, logging::start_line_logging},
    crate::{
        errors::RunError,
        formats::Formats,
        process::{host::run_host_process, settings::NodeSettings},
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::{path::PathBuf, process::ExitCode, sync::Arc},
};

/// Runs one host on the platform whose formats are given.
///
/// `settings` is the settings file that the platform names, if it names one.
pub fn run_host(
    formats: Arc<dyn Formats>,
    settings: Option<PathBuf>,
) -> ExitCode {
    let arguments = command().get_matches();
    exit_code(serve(&arguments, formats, settings))
}

fn command() -> Command {
    Command::new("coveproxy-platform")
        .version(clap::crate_version!())
        .about("One coveproxy host on a platform")
        .after_help("SIGTERM starts a planned stop. Exit codes: 0 stopped by plan, 2 wrong settings,\n3 an address can't be listened on.")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The host's settings, an INI file [default: the one that the platform names]"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

fn serve(
    arguments: &ArgMatches,
    formats: Arc<dyn Formats>,
    named: Option<PathBuf>,
) -> Result<(), RunError> {
    let given = arguments.get_one::<PathBuf>("settings").cloned();
    let file = given
        .or(named)
        .ok_or_else(|| RunError::Usage("no settings file is named".to_string()))?;
    let settings = NodeSettings::read(&file)?;
    if arguments.get_flag("check") {
        println!("{}: good", file.display());
        return Ok(());
    }
    start_line_logging("info", &settings.name);
    run_host_process(settings, formats)
}
