use {
    super::Event,
    crate::clock::Instant,
    std::sync::{
        OnceLock,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
};

/// Lines of one event that may be written in a second.
const LINES_PER_SECOND: u32 = 400;

/// How often one event was noted in the present second.
#[derive(Default)]
struct Gate {
    second: AtomicU64,
    lines: AtomicU32,
}

/// Holds back lines of events that come too often.
struct LineGate {
    started: Instant,
    gates: Vec<Gate>,
    held_back: AtomicU64,
}

static GATE: OnceLock<LineGate> = OnceLock::new();

fn gate() -> &'static LineGate {
    GATE.get_or_init(|| LineGate {
        started: Instant::now(),
        gates: Event::ALL.iter().map(|_| Gate::default()).collect(),
        held_back: AtomicU64::new(0),
    })
}

/// True if a line of this event may be written now; else it is counted as held back.
pub fn admits(event: Event) -> bool {
    if !log::log_enabled!(event.level()) {
        return false;
    }
    let gate = gate();
    let second = gate.started.elapsed().as_secs();
    let of_event = &gate.gates[event as usize];
    if of_event.second.swap(second, Ordering::Relaxed) != second {
        of_event.lines.store(0, Ordering::Relaxed);
    }
    let admitted = of_event.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND;
    if !admitted {
        gate.held_back.fetch_add(1, Ordering::Relaxed);
    }
    admitted
}

/// Lines that were held back since the last call.
pub fn take_held_back() -> u64 {
    gate().held_back.swap(0, Ordering::Relaxed)
}
