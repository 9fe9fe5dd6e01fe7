use crate::clock::Instant;
/// State of an adapter on an engine, as its owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    Loading,
    Ready,
    Dropping,
    /// An order's outcome was not learnt; the next report tells.
    Unsure,
}

impl SlotState {
    /// The state's name in answers to operators.
    pub fn word(self) -> &'static str {
        match self {
            Self::Loading => "loading",
            Self::Ready => "ready",
            Self::Dropping => "dropping",
            Self::Unsure => "unsure",
        }
    }
}

/// One adapter that occupies room on an engine.
#[derive(Debug, Clone)]
pub struct AdapterSlot {
    pub state: SlotState,
    /// Requests that this owner sent and that have not ended.
    pub running: u32,
    /// Requests that run by the engine's last report, whoever sent them.
    pub reported: u32,
    /// Until the engine reports it idle in a report made after this time, it counts as in use.
    pub unknown_until: Option<Instant>,
    pub last_used: Instant,
    /// Uses, halved with time.
    pub uses: f64,
    /// When `state` last changed.
    pub since: Instant,
}

impl AdapterSlot {
    pub fn new(
        state: SlotState,
        now: Instant,
    ) -> Self {
        Self {
            state,
            running: 0,
            reported: 0,
            unknown_until: None,
            last_used: now,
            uses: 0.0,
            since: now,
        }
    }

    /// A use of the adapter; earlier uses count for less as time passes.
    pub fn note_use(
        &mut self,
        now: Instant,
    ) {
        self.uses = self.score(now) + 1.0;
        self.last_used = now;
    }

    /// Uses up to now, each halved for every half-life since.
    pub fn score(
        &self,
        now: Instant,
    ) -> f64 {
        const HALF_LIFE_SECONDS: f64 = 60.0;
        let age = now.saturating_duration_since(self.last_used);
        self.uses * (-age.as_secs_f64() / HALF_LIFE_SECONDS).exp2()
    }

    /// True when the adapter may be unloaded without harm to any request.
    pub fn is_idle(&self) -> bool {
        self.state == SlotState::Ready
            && self.running == 0
            && self.reported == 0
            && self.unknown_until.is_none()
    }
}
