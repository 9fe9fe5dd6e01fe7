//! Pages and code must agree.

use {
    coveproxy::{
        errors::RequestError,
        metrics::{
            CallLabels, CopyLabels, FramingLabels, KindLabels, LatenessLabels, OrderLabels,
            OutcomeLabels, PoisonLabels, StateLabels, TransferLabels, WaitLabels, metrics,
        },
        process::node::ALL_METRICS,
        request::RefusalCode,
        timeline::Event,
    },
    std::collections::BTreeSet,
};

fn page(name: &str) -> String {
    let file = format!("{}/docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(file).unwrap()
}

/// The rows of every table on a page, as trimmed cells.
fn rows(page: &str) -> Vec<Vec<String>> {
    let cells = |line: &str| {
        let line = line.trim().trim_matches('|');
        line.split('|')
            .map(|cell| cell.trim().to_string())
            .collect()
    };
    page.lines()
        .filter(|line| line.starts_with('|'))
        .map(cells)
        .collect()
}

#[test]
fn every_event_is_in_the_catalogue_and_no_other() {
    let described: Vec<(String, String, String)> = rows(&page("EVENTS.md"))
        .into_iter()
        .filter(|row| row[0].parse::<u16>().is_ok())
        .map(|row| (row[0].clone(), row[1].clone(), row[2].clone()))
        .collect();
    let coded: Vec<(String, String, String)> = Event::ALL
        .iter()
        .map(|event| {
            let level = event.level().to_string().to_lowercase();
            (event.number().to_string(), event.word().to_string(), level)
        })
        .collect();
    assert_eq!(described, coded);
    let numbers: BTreeSet<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(
        numbers.len(),
        Event::ALL.len(),
        "a number stands for one event"
    );
}

#[test]
fn every_metric_is_in_the_catalogue_and_no_other() {
    let described: BTreeSet<String> = rows(&page("METRICS.md"))
        .into_iter()
        .filter_map(|row| row[0].strip_prefix("coveproxy.").map(str::to_string))
        .collect();
    let coded: BTreeSet<String> = ALL_METRICS.iter().map(|name| name.to_string()).collect();
    assert_eq!(described, coded);
}

/// A figure with labels stands on the page once it has been counted for the first time.
fn touch_all() {
    let metrics = metrics();
    let state = StateLabels { state: "test" };
    let kind = KindLabels { kind: "test" };
    let cause = WaitLabels { cause: "test" };
    let outcome = OutcomeLabels {
        kind: "test",
        outcome: "test",
    };
    let call = CallLabels {
        call: "test",
        result: "test",
    };
    let order = OrderLabels {
        order: "test",
        reply: "test",
    };
    drop(metrics.requests.get_or_create(&outcome));
    let lateness = LatenessLabels {
        kind: "test",
        late: "test",
    };
    drop(metrics.answers.get_or_create(&lateness));
    drop(metrics.first_event.get_or_create(&kind));
    drop(metrics.longest_pause.get_or_create(&kind));
    drop(metrics.waits.get_or_create(&cause));
    let framing = FramingLabels { framing: "test" };
    drop(metrics.take_ups.get_or_create(&state));
    drop(metrics.broken_streams.get_or_create(&framing));
    drop(metrics.resends.get_or_create(&cause));
    drop(metrics.rejections.get_or_create(&cause));
    drop(metrics.forwards.get_or_create(&state));
    drop(metrics.hedges.get_or_create(&state));
    drop(metrics.version_starts.get_or_create(&state));
    drop(metrics.repeats.get_or_create(&state));
    drop(metrics.repeat_allowance.get_or_create(&state));
    drop(metrics.repeat_loans.get_or_create(&state));
    drop(metrics.quota_asks.get_or_create(&state));
    drop(metrics.quota_charges.get_or_create(&state));
    drop(metrics.places.get_or_create(&state));
    drop(metrics.target_notices.get_or_create(&state));
    drop(metrics.memory_held.get_or_create(&state));
    drop(metrics.memory_rejected.get_or_create(&state));
    drop(metrics.memory_cut.get_or_create(&state));
    drop(metrics.permit_asks.get_or_create(&state));
    drop(metrics.permits.get_or_create(&state));
    drop(metrics.wants_turned_away.get_or_create(&cause));
    drop(metrics.store_calls.get_or_create(&call));
    drop(metrics.orders.get_or_create(&order));
    drop(metrics.hosts.get_or_create(&state));
    drop(metrics.targets.get_or_create(&state));
    drop(metrics.poison.get_or_create(&state));
    let key = PoisonLabels { key: "test" };
    drop(metrics.poison_rejections.get_or_create(&key));
    let copy = CopyLabels { table: "test" };
    let transfer = TransferLabels {
        table: "test",
        source: "test",
        result: "test",
    };
    drop(metrics.copy_age.get_or_create(&copy));
    drop(metrics.belief_age.get_or_create(&copy));
    drop(metrics.copy_sent.get_or_create(&copy));
    drop(metrics.copy_transfers.get_or_create(&transfer));
    drop(metrics.copy_received.get_or_create(&transfer));
    drop(metrics.datagrams.get_or_create(&state));
    drop(metrics.connections.get_or_create(&state));
    drop(metrics.lines_lost.get_or_create(&state));
    drop(metrics.control_wakes.get_or_create(&kind));
    drop(metrics.control_busy_us.get_or_create(&kind));
}

#[test]
fn every_figure_of_the_metrics_page_is_in_the_catalogue_and_no_other() {
    let described: BTreeSet<String> = rows(&page("METRICS.md"))
        .into_iter()
        .filter(|row| row[0].starts_with("coveproxy_"))
        .map(|row| row[0].clone())
        .collect();
    touch_all();
    let served = metrics().page();
    let coded: BTreeSet<String> = served
        .lines()
        .filter_map(|line| line.strip_prefix("# HELP "))
        .filter_map(|line| line.split(' ').next())
        .map(str::to_string)
        .collect();
    assert_eq!(described, coded);
}

/// Where a page is cut off after some kilobytes, what the host believes must still stand on it.
#[test]
fn histograms_come_last_on_the_metrics_page() {
    touch_all();
    let served = metrics().page();
    let kinds: Vec<&str> = served
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split(' ').nth(1))
        .collect();
    let beliefs = served
        .find("coveproxy_config_version")
        .expect("the version is told");
    assert!(beliefs < 200, "{served}");
    let first = kinds.iter().position(|kind| *kind == "histogram").unwrap();
    let before = served.find("# TYPE coveproxy_load_seconds").unwrap();
    assert!(kinds[..first].len() >= 15, "{kinds:?}");
    assert!(
        before < 4_000,
        "{before} bytes stand before the first histogram"
    );
}

#[test]
fn every_error_code_is_in_the_catalogue_with_its_status() {
    let described: BTreeSet<(String, String)> = rows(&page("CALLERS.md"))
        .into_iter()
        .filter(|row| row.len() == 3 && row[1].parse::<u16>().is_ok())
        .map(|row| (row[0].clone(), row[1].clone()))
        .collect();
    let refusals = RefusalCode::ALL
        .iter()
        .map(|code| (code.word(), code.status()));
    let errors = request_errors();
    let coded: BTreeSet<(String, String)> = refusals
        .chain(errors.iter().map(RequestError::code))
        .map(|(code, status)| (code.to_string(), status.as_u16().to_string()))
        .collect();
    assert_eq!(described, coded);
}

fn request_errors() -> Vec<RequestError> {
    let text = String::new;
    vec![
        RequestError::BadModel(text()),
        RequestError::UnknownModel(text()),
        RequestError::UnknownService(text()),
        RequestError::WrongKey,
        RequestError::KindNotAllowed(text()),
        RequestError::UnknownOutfitter(text()),
        RequestError::BadHeader {
            name: "x",
            problem: text(),
        },
        RequestError::BadJson(text()),
        RequestError::BadField {
            field: "x",
            problem: text(),
        },
        RequestError::HeadTooLarge { limit: 1 },
        RequestError::BodyTooLarge { limit: 1 },
        RequestError::BodyTooSlow { limit_ms: 1 },
        RequestError::BodyCut,
        RequestError::UnknownPath(text()),
        RequestError::MethodNotAllowed(text()),
        RequestError::RateExceeded(1.0),
        RequestError::NotReady,
    ]
}
