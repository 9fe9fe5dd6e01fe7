use {
    super::{
        exit::exit_code,
        json_file::read_json,
        launch::{runtime, stop_requested},
        logging::start_logging,
    },
    crate::{
        errors::RunError,
        standin::{
            EngineStandin, EngineStandinSpec, PlainStandin, PlatformStandin, PlatformStandinSpec,
        },
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration},
};

/// Runs `coveproxy-standin`.
pub fn run_standin() -> ExitCode {
    let arguments = command().get_matches();
    start_logging("warn");
    exit_code(serve(&arguments))
}

fn command() -> Command {
    let platform = Command::new("platform")
        .about("Table, object store, weight store and host list behind one address")
        .arg(listen())
        .arg(millis(
            "fetch-ms",
            "333",
            "Time of one fetch of weights that runs alone",
        ))
        .arg(
            Arg::new("hosts")
                .long("hosts")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The host list, a JSON file"),
        );
    let engine = Command::new("engine")
        .about("Model engines")
        .arg(listen())
        .arg(count())
        .arg(
            Arg::new("weights")
                .long("weights")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .help("Where weights come from [default: none; loads take no time]"),
        )
        .arg(number("adapter-slots", "8", "Adapters held at once"))
        .arg(number("batch-slots", "32", "Requests batched at once"))
        .arg(millis("token-ms", "20", "Time from token to token"))
        .arg(
            Arg::new("base-model")
                .long("base-model")
                .default_value("base-8b")
                .help("Base model that the engines hold"),
        )
        .arg(
            Arg::new("no-fences")
                .long("no-fences")
                .action(ArgAction::SetTrue)
                .help("Obey orders whatever fence they bear"),
        );
    let plain = Command::new("plain")
        .about("Plain services that count each run by key")
        .arg(listen())
        .arg(count());
    Command::new("coveproxy-standin")
        .version(clap::crate_version!())
        .about("Stand-ins for the platform and the targets")
        .after_help(
            "Each prints the addresses that it listens on, one a line. Faults are set with\n\
             POST /control/faults; see docs/STANDINS.md.",
        )
        .subcommand_required(true)
        .subcommand(platform)
        .subcommand(engine)
        .subcommand(plain)
}

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr))
        .help("Address to listen on; port 0 takes one from the system")
}

fn count() -> Arg {
    number("count", "1", "How many, on ports that follow each other")
}

fn millis(
    name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    number(name, default, help)
}

fn number(
    name: &'static str,
    default: &'static str,
    help: &'static str,
) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..=1_000_000))
        .help(help)
}

fn serve(arguments: &ArgMatches) -> Result<(), RunError> {
    runtime(None)?.block_on(async {
        match arguments.subcommand() {
            Some(("platform", arguments)) => serve_platform(arguments).await,
            Some(("engine", arguments)) => serve_engines(arguments).await,
            Some(("plain", arguments)) => serve_plain(arguments).await,
            _ => unreachable!("clap knows the subcommands"),
        }
    })
}

async fn serve_platform(arguments: &ArgMatches) -> Result<(), RunError> {
    let spec = PlatformStandinSpec {
        address: address(arguments),
        fetch_time: Duration::from_millis(get(arguments, "fetch-ms")),
    };
    let platform = PlatformStandin::start(spec)
        .await
        .map_err(|e| cant_listen(address(arguments), e))?;
    if let Some(file) = arguments.get_one::<PathBuf>("hosts") {
        platform.set_hosts(read_json(file)?);
    }
    println!("{}", platform.address());
    stop_requested().await
}

async fn serve_engines(arguments: &ArgMatches) -> Result<(), RunError> {
    let token_time = Duration::from_millis(get(arguments, "token-ms"));
    let base_model: &String = arguments.get_one("base-model").expect("it has a default");
    let mut engines = Vec::new();
    for address in addresses(arguments) {
        let spec = EngineStandinSpec {
            address,
            base_model: base_model.clone(),
            adapter_slots: get(arguments, "adapter-slots") as usize,
            batch_slots: get(arguments, "batch-slots") as usize,
            token_time,
            prefill_time: token_time * 2,
            checks_fences: !arguments.get_flag("no-fences"),
            report_lag: Duration::from_millis(100),
            cached_prefixes: 256,
            weight_store: arguments.get_one("weights").copied(),
            abandoned_after: Duration::from_secs(5),
        };
        let engine = EngineStandin::start(spec).await;
        let engine = engine.map_err(|e| cant_listen(address, e))?;
        println!("{}", engine.address());
        engines.push(engine);
    }
    stop_requested().await
}

async fn serve_plain(arguments: &ArgMatches) -> Result<(), RunError> {
    let mut targets = Vec::new();
    for address in addresses(arguments) {
        let target = PlainStandin::start(address).await;
        let target = target.map_err(|e| cant_listen(address, e))?;
        println!("{}", target.address());
        targets.push(target);
    }
    stop_requested().await
}

fn addresses(arguments: &ArgMatches) -> impl Iterator<Item = SocketAddr> {
    let first = address(arguments);
    (0..get(arguments, "count")).map(move |at| {
        let port = match first.port() {
            0 => 0,
            port => port + at as u16,
        };
        SocketAddr::new(first.ip(), port)
    })
}

fn address(arguments: &ArgMatches) -> SocketAddr {
    *arguments.get_one("listen").expect("it has a default")
}

fn get(
    arguments: &ArgMatches,
    name: &str,
) -> u64 {
    *arguments.get_one(name).expect("it has a default")
}

fn cant_listen(
    address: SocketAddr,
    error: std::io::Error,
) -> RunError {
    RunError::Listen {
        address: address.to_string(),
        problem: error.to_string(),
    }
}
