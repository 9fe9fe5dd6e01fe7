use {
    super::{
        log_files::{files_argument, json_argument, lines_of},
        output::print,
    },
    crate::{
        errors::RunError,
        report::{RequestStory, StoryStep},
    },
    clap::{Arg, ArgMatches, Command},
    serde_json::json,
};

/// Fields that a step shows elsewhere.
const SHOWN_APART: [&str; 5] = ["id", "ago_ms", "up_us", "level", "event"];

/// Arguments of `coveproxy explain`.
pub fn explain_command() -> Command {
    Command::new("explain")
        .about("Tell what happened to one request, from the lines that hosts wrote")
        .after_help(
            "Times are milliseconds since the request arrived, on its host's clock; other hosts'\n\
             clocks are set by what all hosts note at the same moment.\n\n\
             Example:\n  coveproxy explain 9c41d07be2a35f68 host-*.log",
        )
        .arg(
            Arg::new("id")
                .required(true)
                .value_name("ID")
                .help("The request's id"),
        )
        .arg(files_argument())
        .arg(json_argument())
}

/// Runs `coveproxy explain`.
pub fn run_explain(arguments: &ArgMatches) -> Result<(), RunError> {
    let id: &String = arguments.get_one("id").expect("it is required");
    let lines = lines_of(arguments)?;
    let unnamed = || {
        RunError::Usage(format!(
            "no line names request {id}: no host read it (its connection failed, or the host was lost \
             before it wrote), or the lines are not whole"
        ))
    };
    let story = RequestStory::of(&lines, id).ok_or_else(unnamed)?;
    match arguments.get_flag("json") {
        true => print(&format!("{}\n", as_json(&story))),
        false => print(&as_text(&story)),
    }
    Ok(())
}

fn as_text(story: &RequestStory) -> String {
    let mut text = format!("request {}\n", story.id);
    for step in &story.steps {
        text += &format!(
            "{:>10.1} ms  {}  {}{}{}\n",
            step.at_ms,
            step.host,
            step.event.word(),
            fields(step),
            match step.times {
                1 => String::new(),
                times => format!(" ({times} times)"),
            }
        );
    }
    text + &format!("cause: {}\n", story.cause)
}

fn fields(step: &StoryStep) -> String {
    step.fields
        .iter()
        .filter(|(name, _)| !SHOWN_APART.contains(&name.as_str()))
        .map(|(name, value)| format!(" {name}={value}"))
        .collect()
}

fn as_json(story: &RequestStory) -> serde_json::Value {
    let steps: Vec<serde_json::Value> = story
        .steps
        .iter()
        .map(|step| {
            json!({
                "at_ms": step.at_ms,
                "host": step.host,
                "event": step.event.word(),
                "fields": step.fields,
                "times": step.times,
            })
        })
        .collect();
    json!({
        "id": story.id,
        "cause": story.cause.word(),
        "told": story.cause.to_string(),
        "steps": steps,
    })
}
