use {
    super::output::print,
    crate::errors::RunError,
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    serde_json::Value,
    std::{fmt::Write, net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Arguments of `coveproxy status`.
pub fn status_command() -> Command {
    Command::new("status")
        .about("Show hosts, targets, owners and what is loaded where")
        .after_help("Example:\n  coveproxy status --admin 127.0.0.1:7401")
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("A host's address for operators"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print the answer as JSON"),
        )
}

/// Runs `coveproxy status`.
pub fn run_status(arguments: &ArgMatches) -> Result<(), RunError> {
    let admin: SocketAddr = *arguments.get_one("admin").expect("it is required");
    let call = |e: attohttpc::Error| RunError::Call(e.to_string());
    let response = attohttpc::get(format!("http://{admin}/status"))
        .timeout(TIMEOUT)
        .send()
        .map_err(call)?;
    let status: Value = response.json().map_err(call)?;
    match arguments.get_flag("json") {
        true => print(&format!("{status}\n")),
        false => print(&tables(&status)),
    }
    Ok(())
}

fn tables(status: &Value) -> String {
    let mut out = String::new();
    line(
        &mut out,
        format_args!(
            "revision {}, answered by {}",
            status["config_revision"],
            text(&status["answered_by"])
        ),
    );
    let weights = &status["weight_store"];
    match weights["up"].as_bool() {
        Some(true) => line(
            &mut out,
            format_args!(
                "weight store up, {:.1} loads a second, {} loading",
                weights["loads_per_second"].as_f64().unwrap_or(0.0),
                count(&weights["loading"])
            ),
        ),
        Some(false) => line(&mut out, format_args!("weight store out")),
        None => line(&mut out, format_args!("weight store not reached")),
    }
    out.push('\n');
    line(
        &mut out,
        format_args!(
            "{:<18} {:<10} {:<8} {:<9} {:<6} {:<6} ROLE",
            "HOST", "HALL", "ANSWERS", "REVISION", "TABLE", "LEASE"
        ),
    );
    for host in list(&status["hosts"]) {
        let role = match host["load_scheduler"].as_bool() {
            Some(true) => "load scheduler",
            _ => "",
        };
        line(
            &mut out,
            format_args!(
                "{:<18} {:<10} {:<8} {:<9} {:<6} {:<6} {role}",
                text(&host["host"]),
                text(&host["hall"]),
                yes(&host["answers"]),
                count(&host["config_revision"]),
                yes(&host["table_reachable"]),
                yes(&host["lease_valid"]),
            ),
        );
    }
    out.push('\n');
    line(
        &mut out,
        format_args!(
            "{:<16} {:<18} {:>7} {:>8} {:>8}  ADAPTERS",
            "TARGET", "OWNER", "FENCE", "RUNNING", "WAITING"
        ),
    );
    for host in list(&status["hosts"]) {
        for target in list(&host["targets"]) {
            target_line(&mut out, target, text(&host["host"]));
        }
    }
    out
}

fn target_line(
    out: &mut String,
    target: &Value,
    owner: &str,
) {
    let adapters: Vec<String> = list(&target["adapters"]).iter().map(adapter).collect();
    line(
        out,
        format_args!(
            "{:<16} {:<18} {:>7} {:>8} {:>8}  {}",
            text(&target["target"]),
            owner,
            count(&target["fence"]),
            count(&target["running"]),
            count(&target["waiting"]),
            adapters.join(" "),
        ),
    );
}

fn adapter(adapter: &Value) -> String {
    let state = text(&adapter["state"]);
    let model = text(&adapter["model"]);
    match (state, adapter["running"].as_u64()) {
        ("ready", Some(0)) => model.to_string(),
        ("ready", Some(running)) => format!("{model}*{running}"),
        _ => format!("{model}({state})"),
    }
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn count(value: &Value) -> u64 {
    value.as_u64().unwrap_or(0)
}

fn yes(value: &Value) -> &'static str {
    match value.as_bool() {
        Some(true) => "yes",
        _ => "no",
    }
}

fn line(
    out: &mut String,
    text: std::fmt::Arguments<'_>,
) {
    let _ = writeln!(out, "{text}");
}
