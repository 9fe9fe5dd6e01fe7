//! Parts of prompts under which targets crash: which parts count, what speaks for and against one, and what is rejected.

use {
    coveproxy::{
        clock::Instant,
        connection::targets::{AnswerStart, CrashTracker, SuspectRequest, TargetIncarnation},
        request::{
            direct::shared_parts,
            poison::{
                Accusation, CrashEvidence, Fingerprint, IncarnationId, PoisonKey, PoisonLedger,
                PoisonReport, PoisonStatus, PoisonUpdate,
            },
        },
    },
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    xxhash_rust::xxh3::xxh3_64,
};

const FIRST: PoisonKey = PoisonKey::Part(1);
const GUILTY: PoisonKey = PoisonKey::Part(2);
const RARE: PoisonKey = PoisonKey::Part(3);

/// Far enough from one crash to the next that they have nothing to do with each other.
const APART: Duration = Duration::from_secs(2);

fn incarnation(number: u64) -> IncarnationId {
    IncarnationId::from_number(number)
}

fn update(
    key: PoisonKey,
    end: u64,
) -> PoisonUpdate {
    PoisonUpdate {
        key,
        strikes: vec![CrashEvidence {
            end: incarnation(end),
            begun: true,
            alone: true,
            age: Duration::ZERO,
        }],
        cleared: Vec::new(),
        survivors: Vec::new(),
        age: Duration::ZERO,
    }
}

/// A ledger and the time on it.
struct World {
    ledger: PoisonLedger,
    now: Instant,
    ends: u64,
}

impl World {
    fn new() -> Self {
        Self {
            ledger: PoisonLedger::default(),
            now: Instant::now(),
            ends: 0,
        }
    }

    /// A target crashes under requests with these keys.
    fn crash(
        &mut self,
        keys: &[PoisonKey],
    ) {
        self.ends += 1;
        for key in keys {
            self.ledger.merge(&update(*key, self.ends), self.now);
        }
    }

    fn pass(
        &mut self,
        time: Duration,
    ) {
        self.now += time;
        self.ledger.settle(self.now);
    }

    fn rejects(
        &self,
        keys: &[PoisonKey],
    ) -> bool {
        let mut verdicts = keys.iter().filter_map(|key| self.ledger.verdict(key));
        verdicts.any(|verdict| verdict.rejects(keys))
    }
}

#[rstest]
#[case::none("", &[])]
#[case::one("a:10", &[])]
#[case::all_but_the_last("a:10,b:20,c:30", &[0xa, 0xb])]
#[case::the_same_twice("a:10,a:10,c:30", &[0xa])]
#[case::the_last_one_earlier_too("a:10,b:20,a:10", &[0xa, 0xb])]
#[case::malformed_ones_are_skipped("a:10,b,:3,zz:1,+d:1,c:30", &[0xa])]
#[case::a_malformed_last_one_is_its_own_too("a:10,b:20,zz", &[0xa, 0xb])]
#[case::tokens_do_not_matter("a:,b:many,c:30", &[0xa, 0xb])]
#[case::any_case("DEAD:1,dead:1,0dead:1,c:30", &[0xdead])]
#[case::a_long_id_counts_by_its_hash(
    "fffffffffffffffff:1,FFFFFFFFFFFFFFFFF:1,c:30",
    &[xxh3_64(b"fffffffffffffffff")],
)]
fn the_last_part_of_a_prompt_is_its_own(
    #[case] prompt: &str,
    #[case] shared: &[u64],
) {
    assert_eq!(shared_parts(prompt), shared);
}

#[test]
fn a_prompt_of_any_length_names_few_parts() {
    let prompt: Vec<String> = (0..5_000).map(|at| format!("{at:x}:1")).collect();
    assert_eq!(shared_parts(&prompt.join(",")).len(), 64);
}

#[rstest]
#[case::part(GUILTY, "part:2")]
#[case::large_part(PoisonKey::Part(u64::MAX), "part:ffffffffffffffff")]
#[case::request(
    PoisonKey::Request(Fingerprint::of(None, "site", "POST", "/", b"x")),
    &Fingerprint::of(None, "site", "POST", "/", b"x").to_string(),
)]
fn a_key_reads_back_from_its_text_bytes_and_row(
    #[case] key: PoisonKey,
    #[case] text: &str,
) {
    assert_eq!(key.to_string(), text);
    assert_eq!(text.parse(), Ok(key));
    assert_eq!(PoisonKey::from_bytes(&key.to_bytes()), Some(key));
    let row = serde_json::to_string(&update(key, 1)).unwrap();
    let read: PoisonUpdate = serde_json::from_str(&row).unwrap();
    assert_eq!(read, update(key, 1));
    assert_eq!(PoisonKey::from_bytes(b"other"), None);
    assert!("part:xyz".parse::<PoisonKey>().is_err());
}

/// Rows of an earlier release name a request, and neither survivors nor ages of crashes.
#[test]
fn a_row_of_an_earlier_release_is_read() {
    let fingerprint = Fingerprint::of(None, "site", "POST", "/", b"x");
    let mut row = serde_json::to_value(update(PoisonKey::Request(fingerprint), 1)).unwrap();
    row.as_object_mut().unwrap().remove("survivors");
    row["strikes"][0].as_object_mut().unwrap().remove("age");
    let read: PoisonUpdate = serde_json::from_value(row).unwrap();
    assert_eq!(read, update(PoisonKey::Request(fingerprint), 1));
}

#[test]
fn a_part_is_rejected_after_four_crashes_one_by_one() {
    let mut world = World::new();
    for crash in 1..=4 {
        assert!(!world.rejects(&[GUILTY]), "before crash {crash}");
        world.crash(&[GUILTY]);
        world.pass(APART);
    }
    assert!(world.rejects(&[GUILTY]));
    assert!(world.rejects(&[FIRST, GUILTY]));
    assert!(!world.rejects(&[FIRST, RARE]));
}

#[test]
fn a_crash_counts_a_moment_after_it_was_heard_of() {
    let mut world = World::new();
    for _ in 0..4 {
        world.pass(APART);
        world.crash(&[GUILTY]);
    }
    assert!(!world.rejects(&[GUILTY]));
    world.pass(Duration::from_millis(300));
    assert!(world.rejects(&[GUILTY]));
}

#[test]
fn requests_in_quick_succession_are_known_as_well() {
    let mut world = World::new();
    for _ in 0..20 {
        world.crash(&[GUILTY]);
        world.pass(Duration::from_millis(100));
    }
    world.pass(APART);
    assert!(world.rejects(&[GUILTY]));
}

/// Ten targets lose power at once, six times; a part in use is at three of them each time.
#[test]
fn losses_of_power_reject_no_part() {
    let mut world = World::new();
    for _ in 0..6 {
        for at in 0..10 {
            match at < 3 {
                true => world.crash(&[RARE]),
                false => world.crash(&[PoisonKey::Part(100 + at)]),
            }
            world.pass(Duration::from_millis(45));
        }
        world.pass(Duration::from_secs(4));
        assert!(!world.rejects(&[RARE]));
    }
}

#[test]
fn a_part_that_targets_survive_is_not_rejected() {
    let mut world = World::new();
    for crash in 0..12 {
        world.crash(&[FIRST, GUILTY]);
        world.pass(APART);
        for survivor in 0..4 {
            let survivor = incarnation(1_000 + crash * 10 + survivor);
            world.ledger.add_survivor(&FIRST, survivor);
        }
        assert!(!world.rejects(&[FIRST, RARE]), "after crash {crash}");
    }
    assert!(world.rejects(&[FIRST, GUILTY]));
    let survivors = world.ledger.get(&FIRST).unwrap().survivor_count();
    assert!(survivors <= 12 * 2 + 4, "{survivors} survivors are kept");
}

#[test]
fn a_crash_of_a_target_that_has_survived_a_part_says_nothing_of_it() {
    let mut world = World::new();
    for end in 1..=6 {
        let mut entry = update(FIRST, end);
        entry.survivors = vec![incarnation(end)];
        world.ledger.merge(&entry, world.now);
        world.pass(APART);
    }
    assert_eq!(world.ledger.status(&FIRST), None);
}

#[test]
fn parts_that_always_come_together_are_rejected_together_only() {
    let mut world = World::new();
    for _ in 0..5 {
        world.crash(&[GUILTY, RARE]);
        world.pass(APART);
    }
    assert!(world.rejects(&[GUILTY, RARE]));
    assert!(!world.rejects(&[GUILTY]));
    assert!(!world.rejects(&[RARE]));
    // Two crashes without the other settle it.
    for _ in 0..2 {
        world.crash(&[GUILTY]);
        world.pass(APART);
    }
    assert!(world.rejects(&[GUILTY]));
    assert!(!world.rejects(&[RARE]));
}

/// Another crash, for another reason, must not turn a whole route away.
#[test]
fn a_first_part_with_one_crash_more_than_the_guilty_one_is_not_rejected_alone() {
    let mut world = World::new();
    world.crash(&[FIRST, RARE]);
    world.pass(APART);
    for _ in 0..4 {
        world.crash(&[FIRST, GUILTY]);
        world.pass(APART);
    }
    assert!(world.rejects(&[FIRST, GUILTY]));
    assert!(!world.rejects(&[FIRST, RARE]));
}

#[test]
fn two_guilty_parts_are_both_rejected() {
    let mut world = World::new();
    for _ in 0..5 {
        world.crash(&[GUILTY]);
        world.pass(APART);
        world.crash(&[RARE]);
        world.pass(APART);
    }
    assert!(world.rejects(&[GUILTY]));
    assert!(world.rejects(&[RARE]));
}

#[test]
fn one_request_that_comes_again_costs_its_parts_nothing() {
    let mut world = World::new();
    let request = PoisonKey::Request(Fingerprint::of(None, "site", "POST", "/", b"x"));
    for _ in 0..6 {
        world.crash(&[request, RARE]);
        world.pass(APART);
    }
    assert!(world.rejects(&[request, RARE]));
    assert!(!world.rejects(&[RARE]));
}

fn target(name: &str) -> TargetIncarnation {
    (Arc::from(name), None)
}

fn start(
    at: Instant,
    target: &TargetIncarnation,
    part: PoisonKey,
) -> AnswerStart {
    AnswerStart {
        at,
        incarnation: target.clone(),
        id: "one".to_string(),
        customer: None,
        parts: vec![part],
    }
}

fn accused_keys(accused: &[Accusation]) -> Vec<PoisonKey> {
    accused.iter().map(|accusation| accusation.key).collect()
}

#[rstest]
#[case::right_before(Duration::from_millis(60), true)]
#[case::long_before(Duration::from_millis(1_100), false)]
fn a_complete_answer_is_accused_if_its_target_crashes_right_after(
    #[case] age: Duration,
    #[case] accused: bool,
) {
    let mut tracker = CrashTracker::default();
    let (now, target) = (Instant::now(), target("one"));
    tracker.on_answer_start(start(now - age, &target, GUILTY));
    assert_eq!(tracker.has_recent_start(&target, now), accused);
    tracker.begin_probe(&target, now);
    let suspects = tracker.take_suspects(&target, now);
    let accusations = tracker.accusations(&suspects, &target, now, now);
    assert_eq!(accused_keys(&accusations).contains(&GUILTY), accused);
}

#[test]
fn no_part_is_accused_when_more_targets_are_lost_than_are_probed() {
    let mut tracker = CrashTracker::default();
    let now = Instant::now();
    let targets: Vec<TargetIncarnation> = (0..5).map(|at| target(&at.to_string())).collect();
    let fingerprint = Fingerprint::of(None, "site", "POST", "/", b"x");
    for target in &targets {
        tracker.on_loss(&target.0, now);
        tracker.begin_probe(target, now);
        let suspect = SuspectRequest {
            fingerprint: Some(fingerprint),
            parts: vec![RARE],
            id: "one".to_string(),
            customer: None,
            begun: true,
        };
        tracker.add_suspect(target, suspect);
    }
    let suspects = tracker.take_suspects(&targets[0], now);
    let accusations = tracker.accusations(&suspects, &targets[0], now, now);
    let request = PoisonKey::Request(fingerprint);
    assert_eq!(accused_keys(&accusations), vec![request]);
}

#[test]
fn survivors_go_along_with_an_accusation_and_are_reported_once() {
    let mut tracker = CrashTracker::default();
    let (now, one, other) = (Instant::now(), target("one"), target("other"));
    let sends = |_: &TargetIncarnation| Some(now);
    let before = now - Duration::from_millis(1_200);
    tracker.on_answer_start(start(before, &one, FIRST));
    // Nothing speaks against the part, so that nobody needs to know.
    assert_eq!(tracker.take_survivals(now, sends), Vec::new());
    tracker.on_answer_start(start(now, &other, FIRST));
    let suspects = tracker.take_suspects(&other, now);
    let accusations = tracker.accusations(&suspects, &other, now, now);
    let survivor = IncarnationId::of("one", None);
    assert_eq!(accusations[0].survivors, vec![survivor]);

    let mut ledger = PoisonLedger::default();
    ledger.merge(&update(FIRST, 1), now);
    tracker.set_verdict(FIRST, ledger.verdict(&FIRST));
    for reports in [1, 0] {
        tracker.on_answer_start(start(before, &one, FIRST));
        let survivals = tracker.take_survivals(now, sends);
        assert_eq!(survivals.len(), reports);
        let expected = PoisonReport::Survived {
            parts: vec![FIRST],
            incarnation: survivor,
        };
        assert!(survivals.iter().all(|report| *report == expected));
    }
}

#[rstest]
#[case::sends_on(Some(Duration::from_millis(1_000)), 1)]
#[case::fell_silent(Some(Duration::from_millis(400)), 0)]
#[case::is_gone(None, 0)]
fn a_target_survives_an_answer_if_it_sends_something_later(
    #[case] sent_until: Option<Duration>,
    #[case] survivals: usize,
) {
    let mut tracker = CrashTracker::default();
    let (now, target) = (Instant::now(), target("one"));
    let mut ledger = PoisonLedger::default();
    ledger.merge(&update(RARE, 1), now);
    tracker.set_verdict(RARE, ledger.verdict(&RARE));
    tracker.on_answer_start(start(now, &target, RARE));
    let later = now + Duration::from_millis(1_500);
    let last_received = |_: &TargetIncarnation| sent_until.map(|until| now + until);
    assert_eq!(
        tracker.take_survivals(later, last_received).len(),
        survivals
    );
    assert_eq!(ledger.status(&RARE), Some(PoisonStatus::Suspected));
}
