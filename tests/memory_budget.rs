//! Decisions of the budget of memory: who gets memory, and who is cut.

use {
    bytes::Bytes,
    coveproxy::{
        clock::Instant,
        request::memory::{
            CallerMemory, CallerStage, ConnectionId, CutKind, HostMemory, MemoryBudget,
            MemoryLimits, MemoryUse, Pressure,
        },
    },
    rstest::rstest,
    std::{sync::OnceLock, time::Duration},
};

const CAPACITY: u64 = 100_000;

const UNSAFE_ANSWER: CallerStage = CallerStage::Answered {
    repeatable: false,
    streams: false,
};

const SAFE_ANSWER: CallerStage = CallerStage::Answered {
    repeatable: true,
    streams: false,
};

const STREAM: CallerStage = CallerStage::Answered {
    repeatable: true,
    streams: true,
};

fn at(ms: u64) -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now) + Duration::from_millis(ms)
}

fn budget() -> MemoryBudget {
    MemoryBudget::new(MemoryLimits { capacity: CAPACITY })
}

/// A caller that holds so many bytes of a body, and sends nothing more after a time.
fn sender(
    budget: &mut MemoryBudget,
    bytes: u64,
    last_sent_ms: u64,
) -> ConnectionId {
    let id = budget.add_connection(at(last_sent_ms));
    budget.set_stage(id, CallerStage::SendsBody, at(last_sent_ms));
    budget.reserve(id, MemoryUse::LargeBody, bytes, at(last_sent_ms));
    id
}

/// A caller that leaves so many bytes of its answer unread.
fn reader(
    budget: &mut MemoryBudget,
    stage: CallerStage,
    bytes: u64,
    last_read_ms: u64,
) -> ConnectionId {
    let id = budget.add_connection(at(last_read_ms));
    budget.set_stage(id, stage, at(last_read_ms));
    budget.reserve(id, MemoryUse::Piece, bytes, at(last_read_ms));
    id
}

fn cut_holders(
    budget: &mut MemoryBudget,
    now_ms: u64,
) -> Vec<ConnectionId> {
    let cuts = budget.choose_cuts(at(now_ms));
    cuts.iter().map(|cut| cut.connection).collect()
}

/// Guards against a host that counts its whole memory out to callers and has none left for its tables, and against a
/// small limit that leaves callers nothing.
#[rstest]
#[case::smallest_hosts(120_000_000, 54_000_000)]
#[case::usual_hosts(260_000_000, 159_000_000)]
#[case::largest_hosts(512_000_000, 348_000_000)]
#[case::hardly_any(40_000_000, 10_000_000)]
fn a_part_of_the_limit_is_kept_for_the_process(
    #[case] limit: u64,
    #[case] capacity: u64,
) {
    assert_eq!(MemoryLimits::of_process(limit).capacity, capacity);
}

/// Guards against large bodies that take the room of small ones, and against bodies that take that of answers.
#[test]
fn uses_that_can_go_elsewhere_find_no_room_first() {
    let mut budget = budget();
    let id = budget.add_connection(at(0));
    let mut found = |held: u64| {
        let more = held - budget.held();
        budget.reserve(id, MemoryUse::Connection, more, at(0));
        let uses = MemoryUse::ALL.iter();
        uses.filter(|purpose| budget.has_room(**purpose, 1_000))
            .map(|purpose| purpose.word())
            .collect::<Vec<_>>()
    };
    assert_eq!(found(40_000).len(), MemoryUse::ALL.len());
    assert!(!found(50_000).contains(&"large_bodies"));
    assert!(found(70_000).contains(&"small_bodies"));
    assert_eq!(
        found(75_000),
        ["connections", "answers", "failures", "pieces"]
    );
    assert_eq!(found(90_000), ["answers", "failures", "pieces"]);
    assert!(found(100_000).is_empty());
}

/// Guards against memory that stays counted after it was freed, until the host rejects everybody.
#[test]
fn what_is_released_is_free_again() {
    let mut budget = budget();
    let id = budget.add_connection(at(0));
    assert!(budget.try_reserve(id, MemoryUse::LargeBody, 50_000, at(0)));
    assert!(!budget.try_reserve(id, MemoryUse::LargeBody, 1, at(0)));
    assert_eq!(budget.held_for(MemoryUse::LargeBody), 50_000);
    budget.release(id, MemoryUse::LargeBody, 50_000, at(1));
    assert_eq!((budget.held(), budget.pressure()), (0, Pressure::None));
    assert!(budget.try_reserve(id, MemoryUse::LargeBody, 50_000, at(2)));
}

/// Guards against healthy streams that stand still while others hold all memory.
#[test]
fn a_caller_that_has_read_all_gets_the_next_piece_whatever_is_held() {
    let mut budget = budget();
    let hog = budget.add_connection(at(0));
    budget.reserve(hog, MemoryUse::Answer, CAPACITY, at(0));
    let id = budget.add_connection(at(0));
    assert!(budget.try_reserve_piece(id, 500, at(1)));
    assert!(!budget.try_reserve_piece(id, 500, at(2)));
    budget.release(id, MemoryUse::Piece, 500, at(3));
    assert!(budget.try_reserve_piece(id, 500, at(4)));
}

/// Guards against callers that are cut although there is memory enough.
#[test]
fn nobody_is_cut_without_pressure() {
    let mut budget = budget();
    sender(&mut budget, 20_000, 0);
    reader(&mut budget, SAFE_ANSWER, 15_000, 0);
    budget.add_connection(at(0));
    assert_eq!(budget.pressure(), Pressure::None);
    assert!(cut_holders(&mut budget, 60_000).is_empty());
}

/// Guards against cutting callers that hold little while one holds most, and against cutting more than is needed.
#[test]
fn the_caller_that_holds_most_goes_first_and_no_more_than_needed() {
    let mut budget = budget();
    sender(&mut budget, 10_000, 0);
    let largest = sender(&mut budget, 30_000, 0);
    sender(&mut budget, 8_000, 0);
    assert_eq!(budget.pressure(), Pressure::Pressed);
    assert!(
        cut_holders(&mut budget, 1_900).is_empty(),
        "not before 2 s are over"
    );
    let cuts = budget.choose_cuts(at(2_000));
    assert_eq!(cuts.len(), 1);
    assert_eq!(
        (cuts[0].connection, cuts[0].kind, cuts[0].held),
        (largest, CutKind::Reject, 30_000)
    );
    assert!(
        cut_holders(&mut budget, 2_100)
            .iter()
            .all(|id| *id != largest),
        "a caller is cut once"
    );
}

/// Guards against a host that cuts who sends on, instead of who has stopped.
#[test]
fn callers_that_make_progress_stay() {
    let mut budget = budget();
    let sends = sender(&mut budget, 30_000, 0);
    let dribbles = sender(&mut budget, 10_000, 0);
    let stopped = sender(&mut budget, 10_000, 0);
    for now in (0..3_000).step_by(500) {
        budget.on_received(sends, 2_000, at(now));
        budget.on_received(dribbles, 10, at(now));
    }
    assert_eq!(cut_holders(&mut budget, 3_000), [dribbles, stopped]);
}

/// Guards against cutting a request that may not be repeated while another can go.
#[test]
fn a_request_that_may_not_be_repeated_goes_last() {
    let mut budget = budget();
    let once = reader(&mut budget, UNSAFE_ANSWER, 50_000, 0);
    let repeatable = reader(&mut budget, SAFE_ANSWER, 1_000, 0);
    let not_run = sender(&mut budget, 2_000, 0);
    assert_eq!(cut_holders(&mut budget, 2_500), [not_run, repeatable]);
    let cuts = budget.choose_cuts(at(2_600));
    assert_eq!((cuts[0].connection, cuts[0].is_last_resort), (once, true));
}

/// Guards against cutting callers for what this host or a target has not done yet.
#[rstest]
#[case::room(CallerStage::AwaitsRoom)]
#[case::answer(CallerStage::AwaitsAnswer)]
fn a_caller_that_waits_is_not_cut(#[case] stage: CallerStage) {
    let mut budget = budget();
    let id = sender(&mut budget, 90_000, 0);
    budget.set_stage(id, stage, at(0));
    assert_eq!(budget.pressure(), Pressure::Full);
    assert!(cut_holders(&mut budget, 60_000).is_empty());
}

/// Guards against a target that is left with an answer that nobody reads, and fails when it holds too much; and against
/// cutting a stream that merely pauses, or whose caller reads slowly.
#[test]
fn an_unread_stream_is_cut_without_pressure_and_a_pausing_one_is_not() {
    let mut budget = budget();
    let unread = reader(&mut budget, STREAM, 2_000, 0);
    let pauses = reader(&mut budget, STREAM, 2_000, 0);
    budget.release(pauses, MemoryUse::Piece, 2_000, at(10));
    let slow = reader(&mut budget, STREAM, 2_000, 0);
    budget.release(slow, MemoryUse::Piece, 500, at(1_500));
    assert!(cut_holders(&mut budget, 1_900).is_empty());
    let cuts = budget.choose_cuts(at(2_000));
    assert_eq!(cuts.len(), 1);
    assert_eq!((cuts[0].connection, cuts[0].kind), (unread, CutKind::Reset));
    budget.reserve(pauses, MemoryUse::Piece, 100, at(9_000));
    assert!(
        !cut_holders(&mut budget, 9_100).contains(&pauses),
        "the time counts from the first piece that is ready"
    );
}

/// Guards against idle connections that are closed while there is room, and against a host that idle connections keep
/// from taking new ones.
#[test]
fn idle_connections_are_closed_only_when_there_is_no_room() {
    let mut budget = budget();
    let idle = budget.add_connection(at(0));
    budget.reserve(idle, MemoryUse::Connection, 50_000, at(0));
    assert!(cut_holders(&mut budget, 60_000).is_empty());
    let other = budget.add_connection(at(60_000));
    budget.reserve(other, MemoryUse::Connection, 30_000, at(60_000));
    let cuts = budget.choose_cuts(at(60_500));
    assert_eq!(cuts.len(), 1);
    assert_eq!((cuts[0].connection, cuts[0].kind), (idle, CutKind::Close));
}

/// Guards against a host that was suspended, or had no processor time, and counts that time against its callers.
#[test]
fn time_in_which_the_host_stood_still_does_not_count() {
    let mut budget = budget();
    let id = sender(&mut budget, 45_000, 0);
    budget.on_pause(Duration::from_secs(30));
    assert!(cut_holders(&mut budget, 31_000).is_empty());
    assert_eq!(cut_holders(&mut budget, 32_000), [id]);
}

/// Guards against a cut that hits the next request on the connection.
#[test]
fn a_cut_is_void_once_the_caller_went_on() {
    let mut budget = budget();
    let id = sender(&mut budget, 45_000, 0);
    assert_eq!(cut_holders(&mut budget, 2_000), [id]);
    budget.set_stage(id, CallerStage::AwaitsAnswer, at(2_010));
    assert!(cut_holders(&mut budget, 9_000).is_empty());
    budget.set_stage(id, CallerStage::SendsBody, at(9_000));
    assert_eq!(cut_holders(&mut budget, 11_000), [id]);
}

fn host() -> HostMemory {
    HostMemory::new(Some(120_000_000))
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(30)
}

fn held(host: &HostMemory) -> u64 {
    host.levels().unwrap().1
}

/// Guards against any change for hosts without a limit.
#[tokio::test]
async fn without_a_limit_nothing_is_counted_and_nothing_waits() {
    let host = HostMemory::new(None);
    let caller = host.connect().unwrap();
    assert!(!caller.is_limited() && host.levels().is_none());
    let body = caller.reserve_body(Some(1 << 40), soon()).await.unwrap();
    assert!(body.is_empty());
    let piece = Bytes::from_static(b"piece");
    let held = caller.hold_piece(piece.clone()).await;
    assert_eq!(held.as_ptr(), piece.as_ptr(), "pieces are not copied");
    assert!(host.sweep(soon()).is_empty());
    assert!(
        CallerMemory::default()
            .reservation(MemoryUse::Answer)
            .cover(1 << 40)
    );
}

/// Guards against bytes that are counted too short or too long: a body and a piece count until the last clone is gone.
#[tokio::test]
async fn bytes_count_until_their_last_clone_is_dropped() {
    let host = host();
    let caller = host.connect().unwrap();
    let idle = held(&host);
    assert!(idle > 0, "an idle connection costs its buffers");
    let mut body = caller.reserve_body(Some(5_000), soon()).await.unwrap();
    // The same again stands in the buffers of the connection.
    assert_eq!(held(&host), idle + 10_000);
    body.append(&[7; 5_000]).await.unwrap();
    let body = body.finish();
    let clone = body.clone();
    drop(body);
    assert_eq!((clone.len(), held(&host)), (5_000, idle + 10_000));
    drop(clone);
    let piece = caller.hold_piece(Bytes::from(vec![1; 900])).await;
    assert!(held(&host) > idle + 900);
    drop((piece, caller));
    assert_eq!(held(&host), 0, "a closed connection costs nothing");
}

/// Guards against a host that takes a large body that it can't keep, or makes its caller wait to learn so.
#[tokio::test]
async fn a_large_body_without_room_is_rejected_at_once() {
    let host = host();
    let caller = host.connect().unwrap();
    let first = caller.reserve_body(Some(20_000_000), soon()).await;
    assert!(first.is_ok());
    let other = host.connect().unwrap();
    assert!(other.reserve_body(Some(20_000_000), soon()).await.is_err());
    assert!(other.reserve_body(Some(60_000), soon()).await.is_ok());
    drop(first);
    assert!(other.reserve_body(Some(20_000_000), soon()).await.is_ok());
}

/// Guards against a body of unknown length that grows past the bound, and against a wait for room that never ends.
#[tokio::test]
async fn a_body_of_unknown_length_waits_for_room_and_not_for_ever() {
    let host = host();
    let hog = host.connect().unwrap();
    let taken = hog.reserve_body(Some(26_000_000), soon()).await.unwrap();
    let caller = host.connect().unwrap();
    let mut body = caller.reserve_body(None, soon()).await.unwrap();
    let block = vec![1; 600_000];
    body.append(&block).await.unwrap();
    let waiting = tokio::spawn(async move {
        let appended = body.append(&[2; 700_000]).await;
        (appended, body.len())
    });
    tokio::task::yield_now().await;
    assert!(!waiting.is_finished(), "nothing is read without room");
    drop(taken);
    assert_eq!(waiting.await.unwrap(), (Ok(()), 1_300_000));
    let _taken = hog.reserve_body(Some(26_000_000), soon()).await.unwrap();
    let deadline = Instant::now() + Duration::from_millis(50);
    let mut body = caller.reserve_body(None, deadline).await.unwrap();
    assert!(body.append(&vec![1; 1_000_000]).await.is_err());
}

/// Guards against ordinary requests that wait for the budget: the least of hosts has room for 250 connections, each with a
/// prompt of 60,000 bytes or an answer of the same size, without any of them waiting or being cut.
#[tokio::test]
async fn ordinary_requests_never_wait() {
    let host = host();
    let mut kept = Vec::new();
    for at in 0..250 {
        let caller = host.connect().expect("there is room for the connection");
        let body = caller.reserve_body(Some(60_000), Instant::now()).await;
        kept.push((body.unwrap_or_else(|_| panic!("request {at}")), caller));
    }
    assert!(held(&host) < host.levels().unwrap().2 / 4 * 3);
    assert!(host.sweep(Instant::now()).is_empty());
}

/// Guards against a cut that does not reach whoever serves the connection.
#[tokio::test]
async fn whoever_serves_the_connection_is_told_of_a_cut() {
    let host = host();
    let caller = host.connect().unwrap();
    caller.set_stage(CallerStage::SendsBody);
    let body = caller.reserve_body(Some(26_000_000), soon()).await.unwrap();
    let mut now = Instant::now();
    let mut cuts = Vec::new();
    for _ in 0..20 {
        now += Duration::from_millis(250);
        cuts.extend(host.sweep(now));
    }
    assert_eq!(cuts.len(), 1);
    assert_eq!(caller.cut(CutKind::Close).await, CutKind::Reject);
    assert_eq!(caller.cut(CutKind::Reject).await, CutKind::Reject);
    drop(body);
}
