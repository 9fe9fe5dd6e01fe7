use {
    super::json_file::read_json,
    crate::{
        connection::platform::{HttpObjectStore, HttpTable},
        errors::{ConfigError, RunError},
        version::{Change, ConfigStore, SiteConfig},
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    rand::RngExt,
    serde_json::json,
    std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of `coveproxy apply`.
pub fn apply_command() -> Command {
    Command::new("apply")
        .about("Declare changes from a file, accepted or refused as a whole")
        .after_help(
            "The file is a JSON list of changes, see docs/OPERATORS.md. What is declared already\n\
             is left as it is, so that a file may be applied twice.\n\nExamples:\n  \
             coveproxy apply --platform 127.0.0.1:7000 etc/cascadia/config.json\n  \
             coveproxy apply --platform 127.0.0.1:7000 --dry-run more.json\n\n\
             Exit code 6: the change was refused or lost a race.",
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Where the platform's table and object store listen"),
        )
        .arg(
            Arg::new("file")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The changes, a JSON file"),
        )
        .arg(
            Arg::new("operator")
                .long("operator")
                .default_value("operator")
                .help("Who changes, for the record"),
        )
        .arg(
            Arg::new("if-revision")
                .long("if-revision")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Refuse unless this is the newest revision"),
        )
        .arg(
            Arg::new("dry-run")
                .long("dry-run")
                .action(ArgAction::SetTrue)
                .help("Check the changes and leave everything as it is"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the outcome as JSON"),
        )
}

/// Runs `coveproxy apply`.
pub fn run_apply(arguments: &ArgMatches) -> Result<(), RunError> {
    let file: &PathBuf = arguments.get_one("file").expect("it is required");
    let changes: Vec<Change> = read_json(file)?;
    let platform: SocketAddr = *arguments.get_one("platform").expect("it is required");
    let operator: &String = arguments.get_one("operator").expect("it has a default");
    let store = store(platform);
    let seen = store.read(&SiteConfig::default())?;
    if let Some(wanted) = arguments.get_one::<u64>("if-revision")
        && *wanted != seen.revision
    {
        let conflict = ConfigError::Conflict {
            seen: *wanted,
            found: seen.revision,
        };
        return Err(conflict.into());
    }
    let mut next = seen.with(&changes)?;
    next.revision = seen.revision;
    let effect = match (next == seen, arguments.get_flag("dry-run")) {
        (true, _) => "unchanged",
        (false, true) => "would_change",
        (false, false) => {
            let operation = format!("{:016x}", rand::rng().random::<u64>());
            next = store.commit(&seen, changes, operator, &operation)?;
            "accepted"
        }
    };
    report(effect, &next, arguments.get_flag("json"));
    Ok(())
}

fn report(
    effect: &str,
    config: &SiteConfig,
    as_json: bool,
) {
    let revision = config.revision;
    match as_json {
        true => println!("{}", json!({"effect": effect, "revision": revision})),
        false => println!("{effect}, revision {revision}"),
    }
}

fn store(platform: SocketAddr) -> ConfigStore {
    let table = Arc::new(HttpTable::new(platform, PLATFORM_TIMEOUT));
    let objects = Arc::new(HttpObjectStore::new(platform, PLATFORM_TIMEOUT));
    ConfigStore::new(table, objects)
}
