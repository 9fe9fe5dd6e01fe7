use {
    super::{
        log_files::{files_argument, json_argument, lines_of},
        output::print,
    },
    crate::{
        errors::RunError,
        process::engines::CACHED_ADAPTERS_PER_SLOT,
        report::{
            AdapterLoads, BeliefReport, CustomerReport, DayReport, EngineReport, EngineRow,
            KindCount,
        },
    },
    clap::{Arg, ArgMatches, Command, value_parser},
    serde_json::json,
};

/// Adapters that an engine keeps for each of its places: the one that it holds and those in its memory.
const KEPT_PER_PLACE: usize = 1 + CACHED_ADAPTERS_PER_SLOT;

/// Maximum number of engines in the text, those with the longest median pauses first; `--json` has all.
const SHOWN_ENGINES: usize = 40;

/// Arguments of `coveproxy report`.
pub fn report_command() -> Command {
    Command::new("report")
        .about("Tell where answers were lost or late, and what adapters cost, from hosts' lines")
        .after_help("Example:\n  coveproxy report --places 9 host-*.log")
        .arg(files_argument())
        .arg(json_argument())
        .arg(
            Arg::new("span")
                .long("span")
                .value_name("SECONDS")
                .default_value("2")
                .value_parser(value_parser!(u64).range(1..))
                .help("Length of the spans of time"),
        )
        .arg(
            Arg::new("places")
                .long("places")
                .value_name("NUMBER")
                .default_value("9")
                .value_parser(value_parser!(usize))
                .help("Places for adapters of one engine, for the least number of loads"),
        )
}

/// Runs `coveproxy report`.
pub fn run_report(arguments: &ArgMatches) -> Result<(), RunError> {
    let lines = lines_of(arguments)?;
    let span: u64 = *arguments.get_one("span").expect("it has a default");
    let places: usize = *arguments.get_one("places").expect("it has a default");
    let day = DayReport::of(&lines, span);
    let loads = AdapterLoads::of(&lines, places * KEPT_PER_PLACE);
    let beliefs = BeliefReport::of(&lines);
    let engines = EngineReport::of(&lines);
    let customers = CustomerReport::of(&lines);
    match arguments.get_flag("json") {
        true => print(&format!(
            "{}\n",
            json!({
                "requests": day,
                "engines": engines,
                "customers": customers,
                "adapters": loads,
                "beliefs": beliefs,
            })
        )),
        false => print(
            &[
                day_text(&day),
                engines_text(&engines),
                customers_text(&customers),
                loads_text(&loads),
                beliefs_text(&beliefs),
            ]
            .concat(),
        ),
    }
    Ok(())
}

fn day_text(day: &DayReport) -> String {
    let mut text = String::from("route                 requests  in time  others by cause\n");
    for (route, count) in &day.by_route {
        text += &row(route, count);
    }
    text += "\nsecond                requests  in time  others by cause\n";
    for (second, count) in &day.by_time {
        text += &row(&second.to_string(), count);
    }
    text
}

fn engines_text(engines: &EngineReport) -> String {
    let mut text = String::from(
        "\nengine                requests  late pauses  pause ms median, p90  first ms median, p90  prompt tokens\n",
    );
    let rows = engines.slowest_first();
    for (target, row) in rows.iter().take(SHOWN_ENGINES) {
        text += &engine_row(target, row);
    }
    if rows.len() > SHOWN_ENGINES {
        text += &format!("{} more, with --json\n", rows.len() - SHOWN_ENGINES);
    }
    text
}

fn engine_row(
    target: &str,
    row: &EngineRow,
) -> String {
    format!(
        "{target:<20}  {:>8}  {:>11}  {:>15.0}{:>6.0}  {:>15.0}{:>6.0}  {:>12.1}%\n",
        row.requests,
        row.late_pauses,
        row.pause_ms.median,
        row.pause_ms.p90,
        row.first_ms.median,
        row.first_ms.p90,
        row.prompt_share * 100.0,
    )
}

fn customers_text(customers: &CustomerReport) -> String {
    let mut text = String::from("\ncustomer              requests  in time  rejected by cause\n");
    for (customer, row) in &customers.by_customer {
        text += &format!(
            "{customer:<20}  {:>8}  {:>7}  {}\n",
            row.requests,
            row.in_time,
            counts(row.rejected.iter())
        );
    }
    text
}

fn loads_text(loads: &AdapterLoads) -> String {
    format!(
        "\nadapters: {} asked for; {} loads from the weight store ({} at the least), onto {} pairs of\n\
         adapter and engine, {} of them again; one adapter on {} of {} engines at the most\n\
         loads by reason: {}\n",
        loads.asked,
        loads.from_store,
        loads.least_from_store,
        loads.pairs,
        loads.again,
        loads.most_engines,
        loads.engines,
        counts(loads.by_reason.iter()),
    )
}

fn beliefs_text(beliefs: &BeliefReport) -> String {
    let mut text = format!(
        "requests held back until a table was confirmed: {}; turned away: {}\n",
        beliefs.held, beliefs.turned_away
    );
    for (table, ages) in &beliefs.by_table {
        text += &format!(
            "{table}: largest age at a request {:.0} ms of {:.0} ({})\n",
            ages.largest_ms, ages.bound_ms, ages.host
        );
    }
    text
}

fn row(
    name: &str,
    count: &KindCount,
) -> String {
    format!(
        "{name:<20}  {:>8}  {:>7}  {}\n",
        count.requests,
        count.in_time,
        counts(count.by_cause.iter())
    )
}

fn counts<'a>(all: impl Iterator<Item = (impl AsRef<str> + 'a, &'a usize)>) -> String {
    let words: Vec<String> = all
        .map(|(name, count)| format!("{} {count}", name.as_ref()))
        .collect();
    words.join(", ")
}
