use {
    super::launch::runtime,
    crate::{
        demo::{Load, LoadPlan, Site, SitePlan, Summary},
        errors::RunError,
    },
    clap::{Arg, ArgMatches, Command, value_parser},
    indicatif::{ProgressBar, ProgressStyle},
};

/// Arguments of `coveproxy demo`.
pub fn demo_command() -> Command {
    Command::new("demo")
        .about("Run a site in small in this process, under load, and print what was seen")
        .after_help(
            "Examples:\n  coveproxy demo --site cascadia\n  coveproxy demo --site tour \
             --seconds 5 --seed 7\n\nThe last line is one JSON object. Exit code 4: a promise \
             was broken.",
        )
        .arg(
            Arg::new("site")
                .long("site")
                .value_parser(["cascadia", "tour"])
                .default_value("cascadia")
                .help("Whose site"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .value_parser(value_parser!(u64).range(1..=3600))
                .default_value("10")
                .help("How long to send requests"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1")
                .help("Seed of the load"),
        )
}

/// Runs `coveproxy demo`.
pub fn run_demo(arguments: &ArgMatches) -> Result<(), RunError> {
    let site: &String = arguments.get_one("site").expect("it has a default");
    let seconds: &u64 = arguments.get_one("seconds").expect("it has a default");
    let seed: &u64 = arguments.get_one("seed").expect("it has a default");
    let plan = SitePlan::small(site)?;
    let load = LoadPlan {
        seconds: *seconds as f64,
        rate: plan.rate,
        seed: *seed,
    };
    let summary = runtime(None)?.block_on(demo(plan, load))?;
    let line = serde_json::to_string(&summary).expect("summaries serialize");
    println!("{line}");
    let broken = summary.broken_promises();
    match broken.is_empty() {
        true => Ok(()),
        false => Err(RunError::PromiseBroken(broken.join("; "))),
    }
}

async fn demo(
    plan: SitePlan,
    load: LoadPlan,
) -> Result<Summary, RunError> {
    println!(
        "{}: {} hosts, {} engines, {} plain targets, {} adapters, {} requests a second",
        plan.name, plan.hosts, plan.engines, plan.plain_targets, plan.adapters, plan.rate
    );
    let site = Site::start(plan.clone()).await?;
    let bar = progress_bar(load.seconds as u64);
    let tally = Load::new(load, plan, site.callers())
        .run(|tally| {
            bar.inc(1);
            bar.set_message(format!("{} answered", tally.answered));
        })
        .await;
    bar.finish_and_clear();
    let summary = Summary::new(&tally, &site);
    site.stop().await;
    Ok(summary)
}

fn progress_bar(seconds: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} s, {msg}");
    let bar = ProgressBar::new(seconds);
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
