use {
    super::launch::runtime,
    crate::{
        client::{CallKind, CallResult, CallSpec, CallerClient, SeenOutcome},
        errors::RunError,
        version::AdapterVersion,
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
};

/// Arguments of `coveproxy request`.
pub fn request_command() -> Command {
    Command::new("request")
        .about("Send one request, following the entry answer, and print what came back")
        .after_help(
            "Examples:\n  coveproxy request --host 127.0.0.1:7201 --key demo-key-of-triage \\\n    \
             --model cascadia-1@1 --stream\n  coveproxy request --host 127.0.0.1:7201 --key \
             demo-key-of-manifests \\\n    --service manifests --path run --idempotency-key m-1\n\n\
             Exit code 5: the request was not answered.",
        )
        .arg(
            Arg::new("host")
                .long("host")
                .value_name("ADDRESS")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("A host to ask which hosts to use; may be given again"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .required(true)
                .help("The service's key"),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .value_name("ADAPTER@VERSION")
                .value_parser(value_parser!(AdapterVersion))
                .required_unless_present("service")
                .conflicts_with("service")
                .help("Ask a model engine"),
        )
        .arg(
            Arg::new("service")
                .long("service")
                .help("Call a plain service"),
        )
        .arg(
            Arg::new("path")
                .long("path")
                .default_value("")
                .help("Path at the plain service"),
        )
        .arg(
            Arg::new("text")
                .long("text")
                .default_value("Say something")
                .help("The prompt, or the body of a call to a plain service"),
        )
        .arg(
            Arg::new("max-tokens")
                .long("max-tokens")
                .default_value("16")
                .value_parser(value_parser!(u64).range(1..))
                .help("Tokens of the answer, at the most"),
        )
        .arg(
            Arg::new("stream")
                .long("stream")
                .action(ArgAction::SetTrue)
                .help("Ask for a stream"),
        )
        .arg(Arg::new("kind").long("kind").help("The request's kind"))
        .arg(
            Arg::new("outfitter")
                .long("outfitter")
                .help("The outfitter that it is for"),
        )
        .arg(
            Arg::new("deadline-ms")
                .long("deadline-ms")
                .value_parser(value_parser!(u64).range(1..))
                .help("Time to the end of the answer"),
        )
        .arg(
            Arg::new("idempotency-key")
                .long("idempotency-key")
                .help("Names the request for later attempts"),
        )
        .arg(
            Arg::new("attempt")
                .long("attempt")
                .default_value("1")
                .value_parser(value_parser!(u32).range(1..))
                .help("How often it was sent under this key, this time included"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print what was seen as JSON"),
        )
}

/// Runs `coveproxy request`.
pub fn run_request(arguments: &ArgMatches) -> Result<(), RunError> {
    let hosts = arguments.get_many("host").expect("it is required");
    let hosts: Vec<SocketAddr> = hosts.copied().collect();
    let spec = spec(arguments);
    let result = runtime(Some(1))?.block_on(async { CallerClient::new(hosts).call(&spec).await });
    match arguments.get_flag("json") {
        true => println!("{}", to_json(&result)),
        false => print_result(&result),
    }
    match result.outcome {
        SeenOutcome::Answered => Ok(()),
        _ => Err(RunError::NotAnswered(result.code)),
    }
}

fn spec(arguments: &ArgMatches) -> CallSpec {
    let text = |name: &str| arguments.get_one::<String>(name).cloned();
    let what = match arguments.get_one::<AdapterVersion>("model") {
        Some(model) => CallKind::Completion {
            model: model.clone(),
            prompt: text("text").unwrap_or_default(),
            max_tokens: *arguments.get_one("max-tokens").expect("it has a default"),
            stream: arguments.get_flag("stream"),
        },
        None => CallKind::Plain {
            service: text("service").unwrap_or_default(),
            path: text("path").unwrap_or_default(),
            body: text("text").unwrap_or_default(),
        },
    };
    let attempt: u32 = *arguments.get_one("attempt").expect("it has a default");
    let deadline = arguments.get_one::<u64>("deadline-ms").copied();
    CallSpec {
        service_key: text("key").unwrap_or_default(),
        kind: text("kind"),
        outfitter: text("outfitter"),
        deadline: deadline.map(Duration::from_millis),
        key: text("idempotency-key").map(|key| (key, attempt)),
        what,
    }
}

fn print_result(result: &CallResult) {
    println!("{}", result.text);
    eprintln!(
        "{}, status {}, request {}, target {}, first token after {:.1} ms, load wait {} ms",
        word(result.outcome),
        result.status,
        result.request_id,
        result.target,
        result.first_token.as_secs_f64() * 1000.0,
        result.load_wait.as_millis(),
    );
}

fn to_json(result: &CallResult) -> serde_json::Value {
    json!({
        "outcome": word(result.outcome),
        "status": result.status,
        "code": result.code,
        "request_id": result.request_id,
        "target": result.target,
        "text": result.text,
        "replayed": result.replayed,
        "load_wait_ms": result.load_wait.as_millis() as u64,
        "first_token_ms": result.first_token.as_secs_f64() * 1000.0,
        "total_ms": result.total.as_secs_f64() * 1000.0,
        "retry_after_ms": result.retry_after.as_millis() as u64,
    })
}

fn word(outcome: SeenOutcome) -> &'static str {
    match outcome {
        SeenOutcome::Answered => "answered",
        SeenOutcome::NotRun => "not_run",
        SeenOutcome::Unknown => "unknown",
    }
}
