use {
    super::{TargetHealth, TargetView},
    crate::connection::http1::HttpConnection,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// An idle connection is not used so shortly before the target would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Kept idle when the target does not say how long it keeps a connection.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Idle connections kept to one target.
const MAX_IDLE: usize = 64;

/// A connection that rests.
#[derive(Debug)]
pub struct IdleConnection {
    pub connection: HttpConnection,
    until: Instant,
}

/// How much one adapter is used through this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UseCount {
    pub in_flight: u32,
    /// Requests sent since the holder was told last.
    pub started: u32,
}

/// One target: its connections and what runs there.
#[derive(Debug)]
pub struct TargetLink {
    pub view: Arc<TargetView>,
    pub health: TargetHealth,
    /// Requests of this host that run there, and their tokens.
    pub in_flight: u32,
    pub tokens: u64,
    /// Requests of other hosts, as the holder last told.
    pub others_in_flight: u32,
    pub others_tokens: u64,
    /// Use of adapters, for the holder.
    pub uses: HashMap<String, UseCount>,
    /// Something was sent or ended since the holder was told last.
    pub uses_changed: bool,
    idle: Vec<IdleConnection>,
}

impl TargetLink {
    pub fn new(view: Arc<TargetView>) -> Self {
        Self {
            view,
            health: TargetHealth::default(),
            in_flight: 0,
            tokens: 0,
            others_in_flight: 0,
            others_tokens: 0,
            uses: HashMap::new(),
            uses_changed: false,
            idle: Vec::new(),
        }
    }

    /// A connection that rests and can be used, the one used last first.
    pub fn take_idle(
        &mut self,
        now: Instant,
    ) -> Option<HttpConnection> {
        while let Some(idle) = self.idle.pop() {
            if idle.until > now && idle.connection.is_quiet() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange is over.
    pub fn put_idle(
        &mut self,
        mut connection: HttpConnection,
        idle_limit: Option<Duration>,
        now: Instant,
    ) {
        let limit = idle_limit.map_or(IDLE_DEFAULT, |limit| limit.saturating_sub(IDLE_MARGIN));
        if limit.is_zero() || self.idle.len() >= MAX_IDLE {
            return;
        }
        connection.rest();
        self.idle.push(IdleConnection {
            connection,
            until: now + limit,
        });
    }

    /// A request is sent there.
    pub fn start(
        &mut self,
        adapter: Option<&str>,
        tokens: u64,
    ) {
        self.in_flight += 1;
        self.tokens += tokens;
        self.uses_changed = true;
        if let Some(adapter) = adapter {
            let count = match self.uses.get_mut(adapter) {
                Some(count) => count,
                None => self.uses.entry(adapter.to_string()).or_default(),
            };
            count.in_flight += 1;
            count.started += 1;
        }
    }

    /// A request that was sent there ended.
    pub fn end(
        &mut self,
        adapter: Option<&str>,
        tokens: u64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
        self.uses_changed = true;
        if let Some(count) = adapter.and_then(|adapter| self.uses.get_mut(adapter)) {
            count.in_flight = count.in_flight.saturating_sub(1);
        }
    }

    /// Requests of all hosts that run there, against what it works on at once.
    pub fn load(&self) -> f64 {
        let running = self.in_flight + self.others_in_flight;
        f64::from(running) / f64::from(self.view.record.slots.max(1))
    }
}
