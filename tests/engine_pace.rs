//! Speeds of engines, pauses that prompts cause, and requests held back because of them.

use {
    coveproxy::{
        clock::Instant,
        connection::datagram::{PaceReport, Usage},
        process::engines::EngineUsage,
        request::{
            direct::{
                AdapterCopyState, ChoiceContext, DEFAULT_LOAD_TIME, EngineCandidate, EngineChoice,
                Policy, choose_engine,
            },
            notices::Availability,
            pace::{
                EnginePace, PaceSamples, PauseRecord, PlacementRank, PrefillSample, Reading,
                StreamLateness,
            },
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

const ALLOWED_MS: u64 = 600;
const AIM_MS: u64 = 3_000;

/// Speed of the service in tokens per millisecond, and the report of an engine of that speed.
const SERVICE_SPEED: f64 = 10.0;
const SERVICE_US: u32 = 100_000;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(
    prefill_us: u32,
    samples: u32,
) -> PaceReport {
    PaceReport {
        prefill_us,
        samples,
    }
}

fn pace(
    prefill_us: u32,
    samples: u32,
) -> EnginePace {
    EnginePace::of(&report(prefill_us, samples)).unwrap()
}

fn sample(
    tokens: u64,
    time_ms: u64,
) -> PrefillSample {
    PrefillSample {
        tokens,
        time: ms(time_ms),
    }
}

/// Guards against samples that count twice, or whose mean follows one slow answer.
#[test]
fn samples_are_reported_once_as_a_geometric_mean() {
    let mut samples = PaceSamples::default();
    assert_eq!(samples.take(), None);
    // 50 and 200 ms for 1,000 tokens, besides the fixed time.
    samples.add(&sample(1_000, 65));
    samples.add(&sample(1_000, 215));
    assert_eq!(samples.take(), Some(report(100_000, 2)));
    assert_eq!(samples.take(), None);
}

/// Guards against profiles that tell of fixed times in place of the prefill.
#[test]
fn small_prompts_are_no_samples() {
    let mut samples = PaceSamples::default();
    samples.add(&sample(399, 500));
    assert_eq!(samples.take(), None);
    // An answer faster than the fixed time still is a sample, of a positive time.
    samples.add(&sample(400, 3));
    assert_eq!(samples.take(), Some(report(2_500, 1)));
}

/// Guards against one answer that decides how fast an engine is.
#[rstest]
#[case::slow(u32::MAX)]
#[case::fast(1)]
fn one_extreme_sample_moves_a_profile_little(#[case] prefill_us: u32) {
    let mut profile = pace(SERVICE_US, 8);
    profile.merge(&report(prefill_us, 1));
    let factor = f64::from(profile.report().prefill_us) / f64::from(SERVICE_US);
    assert!((1.0 / 1.2..1.2).contains(&factor), "{factor}");
}

/// Guards against a report that is taken as the speed of an engine because it came first, or tells of many samples.
#[rstest]
#[case::slow(u32::MAX)]
#[case::fast(1)]
fn one_extreme_report_has_a_bounded_effect(#[case] prefill_us: u32) {
    let first = pace(prefill_us, u32::MAX).relative_speed(SERVICE_SPEED);
    assert!((0.25..=4.0).contains(&first), "{first}");
    let mut profile = pace(SERVICE_US, 8);
    profile.merge(&report(prefill_us, u32::MAX));
    let factor = f64::from(profile.report().prefill_us) / f64::from(SERVICE_US);
    assert!((0.25..=4.0).contains(&factor), "{factor}");
}

/// Guards against profiles that stay behind an engine that became slower or faster.
#[rstest]
#[case::slower(220_000)]
#[case::faster(45_000)]
fn a_lasting_change_shows_within_20_samples(#[case] prefill_us: u32) {
    let mut profile = pace(SERVICE_US, 8);
    for _ in 0..20 {
        profile.merge(&report(prefill_us, 1));
    }
    let factor = f64::from(profile.report().prefill_us) / f64::from(prefill_us);
    assert!((0.9..1.1).contains(&factor), "{factor}");
}

/// Guards against requests that crowd an engine for a difference that is chance.
#[rstest]
#[case::one_sample_of_three_times_the_speed(33_333, 1, 1.0, 1.0)]
#[case::many_samples_of_three_times_the_speed(33_333, 8, 2.0, 3.0)]
#[case::many_samples_of_a_third(300_000, 8, 0.33, 0.5)]
#[case::a_small_difference(75_000, 8, 1.0, 1.0)]
#[case::no_difference(SERVICE_US, 8, 1.0, 1.0)]
fn relative_speeds_need_samples_and_a_difference(
    #[case] prefill_us: u32,
    #[case] samples: u32,
    #[case] least: f64,
    #[case] most: f64,
) {
    let speed = pace(prefill_us, samples).relative_speed(SERVICE_SPEED);
    assert!((least..=most).contains(&speed), "{speed}");
}

/// Guards against a division by zero, or a profile of nothing.
#[rstest]
#[case::no_time(report(0, 3))]
#[case::no_samples(report(SERVICE_US, 0))]
#[case::empty(PaceReport::default())]
fn reports_that_make_no_sense_are_ignored(#[case] bad: PaceReport) {
    assert_eq!(EnginePace::of(&bad), None);
    let mut profile = pace(SERVICE_US, 2);
    profile.merge(&bad);
    assert_eq!(profile, pace(SERVICE_US, 2));
}

/// Guards against lateness seen where no pause is too long, and against prompts kept from an engine whose streams are
/// late anyhow.
#[rstest]
#[case::below_the_risky_share(0, 500, 0.0, 0.0)]
#[case::above_the_certain_share(0, 700, 1.0, 4.0)]
#[case::between(0, 600, 0.5, 2.0)]
#[case::already_late(700, 1_500, 1.0, 0.0)]
#[case::partly_late(600, 700, 1.0, 2.0)]
fn a_prompt_makes_streams_late_once(
    #[case] before: u64,
    #[case] after: u64,
    #[case] own: f64,
    #[case] others: f64,
) {
    let lateness = StreamLateness::of(reading(before, after), 4, ms(ALLOWED_MS));
    assert!((lateness.own - own).abs() < 1e-9, "{lateness:?}");
    assert!((lateness.others - others).abs() < 1e-9, "{lateness:?}");
    assert_eq!(lateness.total(), lateness.own + lateness.others);
}

fn reading(
    before: u64,
    after: u64,
) -> Reading {
    Reading {
        before: ms(before),
        after: ms(after),
    }
}

/// Guards against requests held back for one late stream, or long after pauses have ended.
#[test]
fn pauses_become_frequent_and_are_forgotten() {
    let mut record = PauseRecord::default();
    for _ in 0..3 {
        record.on_end(true);
    }
    assert!(!record.is_frequent());
    for _ in 0..20 {
        record.on_end(true);
    }
    assert!(record.is_frequent());
    for _ in 0..40 {
        record.on_end(false);
    }
    assert!(!record.is_frequent());
}

/// Returns the engine that ranks first for an adapter.
fn first_engine(
    adapter: u64,
    speeds: &[f64],
) -> usize {
    let rank = |engine: usize| PlacementRank::of(engine as u64 * 7_919, adapter, speeds[engine]);
    let engines = 0..speeds.len();
    engines
        .min_by(|a, b| rank(*a).compare(&rank(*b)))
        .expect("there are engines")
}

/// Guards against fast engines that are the home of as many adapters as slow ones.
#[test]
fn adapters_are_shared_in_proportion_to_speed() {
    let speeds = [2.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.5, 0.5];
    let total: f64 = speeds.iter().sum();
    let mut homes = vec![0.0; speeds.len()];
    for adapter in 0..20_000 {
        homes[first_engine(adapter, &speeds)] += 1.0;
    }
    for (speed, adapters) in speeds.iter().zip(&homes) {
        let share = adapters / 20_000.0 * total / speed;
        assert!((0.85..1.15).contains(&share), "{homes:?}");
    }
}

/// Guards against a changed profile of one engine that makes others load adapters anew.
#[test]
fn a_changed_speed_moves_adapters_to_that_engine_only() {
    let before = [1.0; 8];
    let after = [1.0, 1.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0];
    let mut moved = 0;
    for adapter in 0..10_000 {
        let home = first_engine(adapter, &after);
        if home != first_engine(adapter, &before) {
            assert_eq!(home, 2);
            moved += 1;
        }
    }
    // From an eighth of the adapters to two ninths.
    assert!((700..1_250).contains(&moved), "{moved}");
    // Small differences between hosts' estimates move none.
    let slightly = [1.0, 1.0, 1.1, 1.0, 1.0, 1.0, 1.0, 1.0];
    assert!((0..2_000).all(|at| first_engine(at, &slightly) == first_engine(at, &before)));
}

fn host(at: u8) -> SocketAddr {
    format!("10.0.0.{at}:7000").parse().unwrap()
}

fn usage(
    unread_tokens: u32,
    pace: Option<PaceReport>,
) -> Usage {
    Usage {
        target: "engine".to_string(),
        in_flight: 1,
        unread_tokens,
        pace,
        ..Usage::default()
    }
}

/// Guards against a reading time that begins anew while another host's prompts are still read.
#[test]
fn an_engine_reads_until_all_hosts_prompts_are_read() {
    let start = Instant::now();
    let mut engine = EngineUsage::default();
    assert_eq!(engine.reading_time(start), Duration::ZERO);
    engine.on_usage(host(1), &usage(900, None), start);
    engine.on_usage(host(2), &usage(500, None), start + ms(50));
    engine.on_usage(host(1), &usage(0, None), start + ms(100));
    assert_eq!(engine.reading_time(start + ms(150)), ms(150));
    engine.on_usage(host(2), &usage(0, None), start + ms(200));
    assert_eq!(engine.reading_time(start + ms(210)), Duration::ZERO);
    engine.on_usage(host(2), &usage(10, None), start + ms(300));
    assert_eq!(engine.reading_time(start + ms(320)), ms(20));
    // A report that comes with an earlier time makes no negative one.
    assert_eq!(engine.reading_time(start), Duration::ZERO);
}

/// Guards against engines that count as reading without end because the host that would have reported the end is gone.
#[test]
fn a_lost_host_ends_the_reading_of_its_prompts_only() {
    let start = Instant::now();
    let mut engine = EngineUsage::default();
    engine.on_usage(host(1), &usage(900, None), start);
    engine.on_usage(host(2), &usage(500, None), start);
    engine.on_host_gone(host(1));
    assert_eq!(engine.reading_time(start + ms(50)), ms(50));
    engine.on_host_gone(host(2));
    assert_eq!(engine.reading_time(start + ms(60)), Duration::ZERO);
}

/// Guards against a profile that only one host's answers make.
#[test]
fn the_profile_of_an_engine_merges_all_hosts_samples() {
    let now = Instant::now();
    let mut engine = EngineUsage::default();
    assert_eq!(engine.pace(), None);
    engine.on_usage(host(1), &usage(0, Some(report(50_000, 2))), now);
    engine.on_usage(host(2), &usage(0, Some(report(200_000, 2))), now);
    assert_eq!(engine.pace(), Some(report(100_000, 4)));
    // Reports without samples, and the loss of a host, keep it.
    engine.on_usage(host(3), &usage(0, None), now);
    engine.on_host_gone(host(1));
    assert_eq!(engine.pace(), Some(report(100_000, 4)));
}

fn candidate(
    first_event: u64,
    reading: Reading,
    streams: u32,
) -> EngineCandidate {
    EngineCandidate {
        copy_state: AdapterCopyState::Ready,
        time_to_first_event: ms(first_event),
        reading,
        streams,
        load_time: DEFAULT_LOAD_TIME,
        memory_share: 0.3,
        batch_share: 0.3,
        relative_load: 1.0,
        same_hall: true,
        load_unknown: false,
        avoided: false,
        has_holder: true,
        tried: false,
        availability: Availability::Open,
        prompt_affinity: Duration::ZERO,
    }
}

fn context(
    time_to_goal: u64,
    now: Instant,
    holds: bool,
) -> ChoiceContext {
    ChoiceContext {
        copy_price: Duration::ZERO,
        time_to_goal: ms(time_to_goal),
        allowed_pause: holds.then_some(ms(ALLOWED_MS)),
        may_hold: holds,
        priority: 2,
        policy: Policy::default(),
        now,
    }
}

fn is_hold(choice: EngineChoice) -> bool {
    matches!(choice, EngineChoice::Hold { .. })
}

fn sent_to(choice: EngineChoice) -> Option<usize> {
    match choice {
        EngineChoice::Send { to, .. } => Some(to),
        _ => None,
    }
}

/// Guards against requests that are held for too long, without need, or although holding is switched off.
#[rstest]
#[case::makes_streams_late(1_500, true)]
#[case::just_in_time(900, true)]
#[case::too_short(750, false)]
#[case::goal_missed(0, false)]
fn a_request_is_held_while_its_first_event_stays_in_time(
    #[case] time_to_goal: u64,
    #[case] held: bool,
) {
    let now = Instant::now();
    let busy = [candidate(500, reading(400, 800), 5)];
    let context = context(time_to_goal, now, true);
    let choice = choose_engine(&busy, &context);
    assert_eq!(is_hold(choice), held, "{choice:?}");
    if let EngineChoice::Hold { until } = choice {
        assert!(until > now && until < now + context.time_to_goal - ms(500));
    }
    let no_pause = ChoiceContext {
        allowed_pause: None,
        ..context
    };
    assert_eq!(sent_to(choose_engine(&busy, &no_pause)), Some(0));
    let no_hold = ChoiceContext {
        may_hold: false,
        ..context
    };
    assert_eq!(sent_to(choose_engine(&busy, &no_hold)), Some(0));
}

/// Guards against requests held for engines of which nothing is known, as while their holder is gone.
#[test]
fn no_request_is_held_for_an_engine_of_unknown_load() {
    let unknown = EngineCandidate {
        load_unknown: true,
        ..candidate(500, reading(400, 800), 5)
    };
    let choice = choose_engine(&[unknown], &context(1_500, Instant::now(), true));
    assert_eq!(sent_to(choice), Some(0));
}

/// Guards against a long prompt sent to the engine that is free first but whose streams it makes late.
#[test]
fn the_engine_with_fewer_late_answers_is_preferred() {
    let now = Instant::now();
    let engines = [
        candidate(300, reading(400, 800), 5),
        candidate(450, reading(0, 450), 5),
    ];
    let choose = |holds| sent_to(choose_engine(&engines, &context(1_500, now, holds)));
    assert_eq!(choose(true), Some(1));
    assert_eq!(choose(false), Some(0));
}

/// Time from the first event of a stream to its end.
const STREAM_MS: u64 = 3_000;

/// Length of each prompt of the model.
const PROMPT_TOKENS: f64 = 3_000.0;

/// An engine that reads prompts one after the other, and its running streams.
#[derive(Default)]
struct ModelEngine {
    speed: f64,
    /// Prompts in the queue: tokens that are left, and the request.
    queue: VecDeque<(f64, usize)>,
    reading_ms: u64,
    /// Streams: end, current pause in ms, and whether a pause was too long.
    streams: Vec<(u64, u64, bool)>,
}

impl ModelEngine {
    fn candidate(
        &self,
        prompt: f64,
    ) -> EngineCandidate {
        let backlog: f64 = self.queue.iter().map(|(tokens, _)| tokens).sum();
        let time = |tokens: f64| (tokens / self.speed) as u64;
        let (before, after) = (time(backlog), time(backlog + prompt));
        let reading = reading(self.reading_ms + before, self.reading_ms + after);
        let streams = (self.streams.len() + self.queue.len()) as u32;
        candidate(after + 15, reading, streams)
    }

    /// Advances by a millisecond; returns the request whose first event comes, and counts streams that end as late and all.
    fn step(
        &mut self,
        now: u64,
        ended: &mut [usize; 2],
    ) -> Option<usize> {
        let is_reading = !self.queue.is_empty();
        self.reading_ms = u64::from(is_reading) * (self.reading_ms + 1);
        for (_, pause, late) in &mut self.streams {
            *pause = u64::from(is_reading) * (*pause + 1);
            *late |= *pause > ALLOWED_MS;
        }
        self.streams.retain(|(end, _, late)| {
            if *end <= now {
                ended[0] += usize::from(*late);
                ended[1] += 1;
            }
            *end > now
        });
        let (tokens, request) = self.queue.front_mut()?;
        *tokens -= self.speed;
        let read = (*tokens <= 0.0).then_some(*request)?;
        self.queue.pop_front();
        self.streams.push((now + STREAM_MS, 0, false));
        Some(read)
    }
}

/// Results of a run of the model.
#[derive(Debug)]
struct Outcome {
    /// Share of streams.
    late_by_pause: f64,
    held: usize,
    held_and_late: usize,
    late_first_events: usize,
}

/// Runs the model for a minute on engines of unequal speed; `load` is the share of their prefill capacity that is
/// requested.
fn play(
    load: f64,
    holds: bool,
) -> Outcome {
    let speeds = [22.0, 22.0, 10.0, 10.0, 10.0, 10.0, 10.0, 10.0];
    let rate = load * speeds.iter().sum::<f64>() / PROMPT_TOKENS;
    let mut engines = speeds.map(|speed| ModelEngine {
        speed,
        ..ModelEngine::default()
    });
    let mut rng = StdRng::seed_from_u64(3);
    let start = Instant::now();
    let (mut ended, mut late, mut held_and_late) = ([0, 0], 0, 0);
    let mut requests: Vec<(u64, bool)> = Vec::new();
    // Requests to place, by the time of the next look.
    let mut waiting: Vec<(u64, usize)> = Vec::new();
    for now in 0..60_000 {
        if rng.random_bool(rate) {
            waiting.push((now, requests.len()));
            requests.push((now, false));
        }
        for (_, request) in waiting
            .extract_if(.., |(at, _)| *at <= now)
            .collect::<Vec<_>>()
        {
            let candidates: Vec<_> = engines.iter().map(|e| e.candidate(PROMPT_TOKENS)).collect();
            let to_goal = (requests[request].0 + AIM_MS).saturating_sub(now);
            match choose_engine(&candidates, &context(to_goal, start + ms(now), holds)) {
                EngineChoice::Send { to, .. } => {
                    engines[to].queue.push_back((PROMPT_TOKENS, request))
                }
                EngineChoice::Hold { until } => {
                    requests[request].1 = true;
                    let until = until.saturating_duration_since(start).as_millis() as u64;
                    waiting.push((until, request));
                }
                choice => panic!("{choice:?}"),
            }
        }
        for engine in &mut engines {
            if let Some(request) = engine.step(now, &mut ended) {
                let (sent, held) = requests[request];
                late += usize::from(now > sent + AIM_MS);
                held_and_late += usize::from(now > sent + AIM_MS && held);
            }
        }
    }
    Outcome {
        late_by_pause: ended[0] as f64 / ended[1] as f64,
        held: requests.iter().filter(|(_, held)| *held).count(),
        held_and_late,
        late_first_events: late,
    }
}

/// Guards against prompts that make streams late although they could wait, and against waits that make requests late.
#[rstest]
#[case(0.7)]
#[case(0.8)]
#[case(0.85)]
#[case(0.95)]
fn held_requests_keep_streams_in_time(#[case] load: f64) {
    let without = play(load, false);
    let with = play(load, true);
    assert_eq!(without.held, 0);
    assert!(with.held > 0);
    assert!(with.late_by_pause < 0.15, "{without:?} {with:?}");
    assert!(
        without.late_by_pause > 0.45,
        "the load is too low to tell: {without:?}"
    );
    assert_eq!(with.held_and_late, 0, "{with:?}");
    assert!(with.late_first_events <= without.late_first_events);
}
