//! Hosts' lines, read afterwards: stories, causes, counts and the least number of loads.

use {
    coveproxy::report::{
        AdapterLoads, BeliefReport, ClockOffsets, DayReport, EndCause, LogLine, RequestStory,
        least_loads, read_lines,
    },
    rstest::rstest,
};

fn line(text: &str) -> String {
    format!("ts=1000000 up_us=5 host=h1 level=info event=1 {text}")
}

fn lines(texts: &[&str]) -> Vec<LogLine> {
    let text: Vec<String> = texts.iter().map(|text| line(text)).collect();
    read_lines(text.join("\n").as_bytes()).unwrap()
}

const REFUSED: &str = "name=request_served id=r1 route=talk status=503 cause=no_adapter target=- \
    adapter=m/a1 first_ms=40 aim_ms=600 arrivals=0 late=false";
const LATE: &str = "name=request_served id=r1 route=talk status=200 cause=- target=e1 adapter=m/a1 \
    first_ms=900 aim_ms=600 arrivals=0 late=true";

#[rstest]
#[case::in_time(&["name=request_served id=r1 route=talk status=200 cause=- late=false"], "in_time")]
#[case::no_place(&["name=request_asks id=r1 ago_ms=30 target=e1 spare=false",
    "name=request_waits id=r1 ago_ms=30 expected_ms=-1", REFUSED], "no_place")]
#[case::no_engine(&[REFUSED], "no_engine")]
#[case::too_late(&["name=request_waits id=r1 ago_ms=1 expected_ms=700", REFUSED], "adapter_too_late")]
#[case::waited(&["name=request_chosen id=r1 ago_ms=100 target=e1 running=1 unread_tokens=0", LATE],
    "waited_for_adapter")]
#[case::slow(&["name=request_chosen id=r1 ago_ms=850 target=e1 running=9 unread_tokens=30000", LATE],
    "slow_at_engine")]
#[case::sent_again(&["name=request_chosen id=r1 ago_ms=850 target=e1",
    "name=request_chosen id=r1 ago_ms=300 target=e2", LATE], "sent_again")]
#[case::cut(&["name=request_served id=r1 status=200 cause=- late=false",
    "name=request_cut id=r1 cause=target_broke_off target=e1 after_ms=400"], "cut")]
#[case::gone(&["name=request_caller_gone id=r1 after_ms=5000"], "caller_gone")]
#[case::there(&["name=request_served id=r1 status=500 cause=- target=e1 late=false"], "failed_there")]
#[case::lost(&["name=request_served id=r1 status=502 cause=answer_lost target=e1 late=false"], "given_up")]
#[case::turned_away(&["name=request_turned_away id=r1 ago_ms=3 target=e1 status=503",
    "name=request_served id=r1 status=503 cause=turned_away late=false"], "turned_away")]
fn each_end_has_its_cause(
    #[case] texts: &[&str],
    #[case] cause: &str,
) {
    let story = RequestStory::of(&lines(texts), "r1").unwrap();
    assert_eq!(story.cause.word(), cause, "{}", story.cause);
}

#[test]
fn a_story_has_what_bears_on_it_at_other_hosts_in_order() {
    let order = "name=load_ordered target=e1 model=m adapter=a1 reason=missing";
    let other = "name=load_ordered target=e1 model=m adapter=a2 reason=missing";
    let own = lines(&[
        "name=request_asks id=r1 ago_ms=890 target=e1 spare=false",
        "name=request_chosen id=r1 ago_ms=300 target=e1",
        LATE,
    ]);
    // The holder's clock is ten seconds ahead; both hosts noted the same configuration.
    let holder = format!(
        "ts=1009500 up_us=1 host=h2 {order}\nts=1009500 up_us=1 host=h2 {other}\n\
         ts=1000100 up_us=1 host=h2 name=config_applied version=3\n\
         ts=990100 up_us=1 host=h1 name=config_applied version=3\n"
    );
    let mut all = read_lines(holder.as_bytes()).unwrap();
    all.extend(own);
    assert_eq!(ClockOffsets::estimate(&all, "h1").of("h2"), 10_000.0);
    let story = RequestStory::of(&all, "r1").unwrap();
    let names: Vec<&str> = story.steps.iter().map(|step| step.event.word()).collect();
    let expected = [
        "request_asks",
        "load_ordered",
        "request_chosen",
        "request_served",
    ];
    assert_eq!(names, expected);
    assert_eq!(story.steps[1].at_ms, 400.0);
}

#[test]
fn lines_that_say_the_same_are_one_step() {
    let own = "name=request_chosen id=r1 ago_ms=300 target=e1";
    let mut all = lines(&[own, LATE]);
    let unanswered: String = (0..40)
        .map(|at| {
            format!(
                "ts={} up_us={at} host=h2 name=order_unanswered target=e1\n",
                999_800 + at
            )
        })
        .collect();
    all.extend(read_lines(unanswered.as_bytes()).unwrap());
    let story = RequestStory::of(&all, "r1").unwrap();
    let steps: Vec<(&str, usize)> = story
        .steps
        .iter()
        .map(|step| (step.event.word(), step.times))
        .filter(|(word, _)| *word == "order_unanswered")
        .collect();
    assert_eq!(steps, [("order_unanswered", 40)]);
}

#[test]
fn ages_of_beliefs_are_summed_up() {
    let all = lines(&[
        "name=beliefs_aged declared_ms=2000 declared_bound_ms=4000 targets_ms=2900 targets_bound_ms=4000",
        "name=beliefs_aged declared_ms=2500 declared_bound_ms=4000 targets_ms=1000 targets_bound_ms=4000",
        "name=request_held id=r1 table=targets waited_ms=40 confirmed=true",
        "name=request_held id=r2 table=targets waited_ms=250 confirmed=false",
    ]);
    let report = BeliefReport::of(&all);
    assert_eq!((report.held, report.turned_away), (1, 1));
    assert_eq!(report.by_table["targets"].largest_ms, 2_900.0);
    assert_eq!(report.by_table["declared"].largest_ms, 2_500.0);
    assert_eq!(report.by_table["declared"].bound_ms, 4_000.0);
}

#[test]
fn an_unknown_request_has_no_story() {
    assert_eq!(RequestStory::of(&lines(&[LATE]), "r2"), None);
    assert_eq!(EndCause::of(&[]), EndCause::Unknown);
}

#[rstest]
#[case::not_of_a_host("error: something else")]
#[case::cut_short("ts=1 up_us=2 hos")]
#[case::event_of_another_version("ts=1 up_us=2 host=h level=info event=999 name=not_known_here")]
fn other_lines_are_passed_over(#[case] text: &str) {
    assert_eq!(LogLine::parse(text), None);
}

#[test]
fn requests_are_counted_by_route_and_span() {
    let mut all = lines(&["name=request_waits id=r1 ago_ms=1 expected_ms=700", REFUSED]);
    all.extend(lines(&[
        "name=request_served id=r2 route=talk status=200 late=false",
    ]));
    let report = DayReport::of(&all, 2);
    let talk = &report.by_route["talk"];
    assert_eq!((talk.requests, talk.in_time), (2, 1));
    assert_eq!(talk.by_cause["adapter_too_late"], 1);
    assert_eq!(report.by_time[&0].requests, 2);
}

fn named(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_string).collect()
}

#[rstest]
#[case::each_once("a b c a b c", 3, 3)]
#[case::one_place("a a b b a", 1, 3)]
#[case::what_is_asked_for_last_makes_way("a b c a b a b", 2, 4)]
#[case::never_again_makes_way("x a b a b", 2, 3)]
fn no_order_of_loads_does_better(
    #[case] asked: &str,
    #[case] capacity: usize,
    #[case] loads: usize,
) {
    assert_eq!(least_loads(&named(asked), capacity), loads);
}

#[test]
fn loads_are_counted_by_reason_and_engine() {
    let load = |adapter: &str, engine: &str, reason: &str| {
        format!("name=load_ordered target={engine} model=m adapter={adapter} reason={reason}")
    };
    let texts = [
        load("a1", "e1", "missing"),
        load("a1", "e1", "missing"),
        load("a1", "e2", "spare"),
        load("a1", "e1", "held_lately"),
    ];
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let loads = AdapterLoads::of(&lines(&texts), 9);
    assert_eq!((loads.from_store, loads.pairs, loads.again), (3, 2, 1));
    assert_eq!((loads.most_engines, loads.engines), (2, 2));
    assert_eq!(loads.by_reason["held_lately"], 1);
}
