//! Hosts' lines, read afterwards: stories, causes, counts and the least number of loads.

use {
    coveproxy::report::{
        AdapterLoads, BeliefReport, ClockOffsets, CustomerReport, DayReport, EndCause,
        EngineReport, LogLine, RequestStory, Spread, least_loads, read_lines,
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
    adapter=m/a1 first_ms=40 aim_ms=600 arrivals=0 late=no";
const LATE: &str = "name=request_served id=r1 route=talk status=200 cause=- target=e1 adapter=m/a1 \
    first_ms=900 aim_ms=600 arrivals=0 late=first_event";
/// As hosts wrote it while only first events were measured.
const LATE_IN_OLD_FORM: &str = "name=request_served id=r1 route=talk status=200 cause=- target=e1 adapter=m/a1 \
    first_ms=900 aim_ms=600 arrivals=0 late=true";
/// A stream that ended two seconds after its first event.
const LATE_STREAM: &str = "name=request_served id=r1 route=talk status=200 cause=- target=e1 adapter=m/a1 \
    first_ms=900 aim_ms=600 arrivals=0 late=both ended=whole total_ms=2900 pause_ms=700 allowed_pause_ms=600 held_ms=0";
const PAUSED: &str = "name=request_served id=r1 route=talk status=200 cause=- target=e1 first_ms=90 aim_ms=600 \
    late=pause ended=whole total_ms=2900 pause_ms=724 allowed_pause_ms=600 held_ms=20";
const HELD: &str = "name=request_served id=r1 route=talk status=200 cause=- target=e1 first_ms=90 aim_ms=600 \
    late=pause ended=whole total_ms=2900 pause_ms=80 allowed_pause_ms=600 held_ms=1500";

#[rstest]
#[case::in_time(&["name=request_served id=r1 route=talk status=200 cause=- late=no"], "in_time")]
#[case::in_time_in_old_form(&["name=request_served id=r1 status=200 cause=- late=false"], "in_time")]
#[case::no_place(&["name=request_asks id=r1 ago_ms=30 target=e1 spare=false",
    "name=request_waits id=r1 ago_ms=30 expected_ms=-1", REFUSED], "no_place")]
#[case::no_engine(&[REFUSED], "no_engine")]
#[case::no_room(&["name=request_waits id=r1 ago_ms=30 awaited=room expected_ms=500",
    "name=request_deferred id=r1 ago_ms=0 reason=no_room", REFUSED], "no_place")]
#[case::load_overdue(&["name=request_waits id=r1 ago_ms=30 awaited=load expected_ms=500",
    "name=request_deferred id=r1 ago_ms=0 reason=no_room", REFUSED], "adapter_too_late")]
#[case::no_confirmation(&["name=request_asks id=r1 ago_ms=30 target=e1 spare=false",
    "name=request_waits id=r1 ago_ms=30 awaited=holder_reply expected_ms=500",
    "name=request_deferred id=r1 ago_ms=0 reason=no_room", REFUSED], "no_confirmation")]
#[case::no_holder(&["name=request_deferred id=r1 ago_ms=0 reason=no_holder", REFUSED], "no_holder")]
#[case::all_closed(&["name=request_waits id=r1 ago_ms=30 awaited=opening expected_ms=500",
    "name=request_deferred id=r1 ago_ms=0 reason=closed", REFUSED], "all_closed")]
#[case::after_deadline(&["name=request_waits id=r1 ago_ms=0 awaited=load expected_ms=9000",
    "name=request_deferred id=r1 ago_ms=0 reason=after_deadline", REFUSED], "after_deadline")]
#[case::past_the_aim(&["name=request_waits id=r1 ago_ms=0 awaited=load expected_ms=700",
    "name=request_deferred id=r1 ago_ms=0 reason=late", REFUSED], "adapter_too_late")]
#[case::no_engine_after_a_wait(&["name=request_waits id=r1 ago_ms=90 awaited=any_engine expected_ms=-1",
    "name=request_deferred id=r1 ago_ms=0 reason=no_target", REFUSED], "no_engine")]
#[case::too_late(&["name=request_waits id=r1 ago_ms=1 expected_ms=700", REFUSED], "adapter_too_late")]
#[case::waited(&["name=request_chosen id=r1 ago_ms=100 target=e1 running=1 unread_tokens=0", LATE],
    "waited_for_adapter")]
#[case::slow(&["name=request_chosen id=r1 ago_ms=850 target=e1 running=9 unread_tokens=30000", LATE],
    "slow_at_engine")]
#[case::sent_again(&["name=request_chosen id=r1 ago_ms=850 target=e1",
    "name=request_chosen id=r1 ago_ms=300 target=e2", LATE], "sent_again")]
#[case::slow_in_old_form(&["name=request_chosen id=r1 ago_ms=850 target=e1", LATE_IN_OLD_FORM], "slow_at_engine")]
#[case::slow_stream(&["name=request_chosen id=r1 ago_ms=2850 target=e1", LATE_STREAM], "slow_at_engine")]
#[case::stream_that_waited(&["name=request_chosen id=r1 ago_ms=2100 target=e1", LATE_STREAM], "waited_for_adapter")]
#[case::resumed_after_the_first_event(&["name=request_chosen id=r1 ago_ms=2850 target=e1",
    "name=request_chosen id=r1 ago_ms=700 target=e2", LATE_STREAM], "slow_at_engine")]
#[case::paused(&["name=request_chosen id=r1 ago_ms=2850 target=e1", PAUSED], "paused_at_engine")]
#[case::paused_while_resumed(&["name=request_resumed id=r1 target=e2", PAUSED], "paused_while_resumed")]
#[case::held_here(&["name=request_chosen id=r1 ago_ms=2850 target=e1", HELD], "held_here")]
#[case::cut_after_a_pause(&[PAUSED, "name=request_cut id=r1 cause=target_silent target=e1 after_ms=2900"], "cut")]
#[case::cut(&["name=request_served id=r1 status=200 cause=- late=no",
    "name=request_cut id=r1 cause=target_broke_off target=e1 after_ms=400"], "cut")]
#[case::gone(&["name=request_caller_gone id=r1 after_ms=5000"], "caller_gone")]
#[case::there(&["name=request_served id=r1 status=500 cause=- target=e1 late=no"], "failed_there")]
#[case::lost(&["name=request_served id=r1 status=502 cause=answer_lost target=e1 late=no"], "given_up")]
#[case::turned_away(&["name=request_turned_away id=r1 ago_ms=3 target=e1 status=503",
    "name=request_served id=r1 status=503 cause=turned_away late=no"], "turned_away")]
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
        "name=request_served id=r2 route=talk status=200 late=no",
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

/// Guards against steps of streams that are shown too late: their line is written at the end, not at the first event.
#[test]
fn a_stream_begins_at_its_arrival() {
    let own = lines(&["name=request_chosen id=r1 ago_ms=2850 target=e1", PAUSED]);
    let story = RequestStory::of(&own, "r1").unwrap();
    let times: Vec<f64> = story.steps.iter().map(|step| step.at_ms).collect();
    assert_eq!(times, [50.0, 2_900.0]);
    let told = story.cause.to_string();
    assert!(told.contains("e1 paused for 724 ms"), "{told}");
}

/// Guards against pauses that are counted as in time.
#[test]
fn the_causes_of_late_streams_are_counted_apart() {
    let all: Vec<LogLine> = [LATE_STREAM, PAUSED, HELD]
        .iter()
        .enumerate()
        .flat_map(|(at, text)| lines(&[&text.replace("id=r1", &format!("id=r{at}"))]))
        .collect();
    let talk = &DayReport::of(&all, 2).by_route["talk"];
    assert_eq!((talk.requests, talk.in_time), (3, 0));
    assert_eq!(talk.by_cause["paused_at_engine"], 1);
    assert_eq!(talk.by_cause["held_here"], 1);
}

fn stream(
    id: usize,
    target: &str,
    pause_ms: u32,
    tokens: u32,
) -> String {
    let late = if pause_ms > 600 { "pause" } else { "no" };
    format!(
        "name=request_served id=r{id} route=talk status=200 cause=- target={target} first_ms={} late={late} ended=whole \
         total_ms=2900 pause_ms={pause_ms} allowed_pause_ms=600 held_ms=0 prompt_tokens={tokens} customer=c1",
        100 + id
    )
}

/// Guards against engines whose pauses hide among those of others, and against pauses of resumed streams and of other
/// answers that count against an engine.
#[test]
fn engines_are_told_apart() {
    let mut texts: Vec<String> = (0..10)
        .map(|id| stream(id, "e1", 700 + id as u32, 300))
        .collect();
    texts.extend((10..20).map(|id| stream(id, "e2", 80, 100)));
    texts.push(stream(20, "e2", 5_000, 0));
    texts.push("name=request_resumed id=r20 target=e3".to_string());
    texts.push(
        "name=request_served id=r21 route=once status=200 cause=- target=p1 first_ms=9 late=no ended=whole pause_ms=-1"
            .to_string(),
    );
    texts.push(
        "name=request_served id=r22 status=503 cause=no_adapter target=- late=no".to_string(),
    );
    let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
    let report = EngineReport::of(&lines(&texts));
    let (slow, quick) = (&report.by_engine["e1"], &report.by_engine["e2"]);
    assert_eq!((slow.requests, slow.late_pauses), (10, 10));
    assert_eq!((quick.requests, quick.late_pauses), (11, 0));
    let spread = Spread {
        median: 705.0,
        p90: 709.0,
    };
    assert_eq!(slow.pause_ms, spread);
    assert_eq!(quick.pause_ms.p90, 80.0);
    assert_eq!(slow.first_ms.median, 105.0);
    assert_eq!(slow.prompt_share, 0.75);
    assert_eq!(report.by_engine["p1"].pause_ms, Spread::default());
    assert_eq!(report.by_engine.len(), 3);
    assert_eq!(report.slowest_first()[0].0, "e1");
}

/// Guards against a customer whose requests are rejected or late while the whole looks well.
#[test]
fn customers_are_told_apart() {
    let texts = [
        &stream(1, "e1", 80, 1),
        &stream(2, "e1", 700, 1),
        "name=request_served id=r3 status=503 cause=no_adapter target=- late=no ended=no_adapter customer=c1",
        "name=request_served id=r4 status=503 cause=- target=e1 late=no ended=whole customer=c1",
        "name=request_served id=r5 status=200 cause=- target=e1 late=no ended=caller_gone customer=c1",
        "name=request_over_limit id=r6 cause=over_limit customer=c2",
        "name=request_served id=r7 status=200 cause=- target=e1 late=no",
    ];
    let report = CustomerReport::of(&lines(&texts));
    let row = &report.by_customer["c1"];
    assert_eq!((row.requests, row.in_time), (5, 1));
    assert_eq!(row.rejected["no_adapter"], 1);
    assert_eq!(row.rejected.len(), 1);
    assert_eq!(report.by_customer["c2"].rejected["over_limit"], 1);
    assert_eq!(report.by_customer["-"].in_time, 1);
}

/// Guards against streams that are counted, and whose adapters are taken as asked for, when they end: a long stream would
/// come after shorter ones that were asked for later.
#[test]
fn streams_count_from_their_first_event() {
    let long = LATE_STREAM.replace("total_ms=2900", "total_ms=30900");
    let mut all = read_lines(format!("ts=1030000 host=h1 {long}").as_bytes()).unwrap();
    let short = "name=request_served id=r2 route=talk status=200 adapter=m/a2 first_ms=90 total_ms=190 late=no ended=whole";
    all.extend(read_lines(format!("ts=1010000 host=h1 {short}").as_bytes()).unwrap());
    let begin = "ts=1000000 host=h1 name=host_started";
    all.extend(read_lines(begin.as_bytes()).unwrap());
    let report = DayReport::of(&all, 2);
    let spans: Vec<u64> = report.by_time.keys().copied().collect();
    assert_eq!(spans, [0, 8]);
}
