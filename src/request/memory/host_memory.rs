use {
    super::{
        CallerMemory, ConnectionId, CutKind, MemoryBudget, MemoryCut, MemoryLimits, MemoryUse,
        Pressure,
    },
    crate::clock::Instant,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

/// Estimate of what an open connection holds, in bytes: the read buffer, which starts with 8 KiB, the head of a
/// request, and the state of its tasks and of the connection to a target.
const CONNECTION_BYTES: u64 = 24 * 1024;

/// Interval at which callers to cut are looked for.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// A longer time between two sweeps shows that the process itself was suspended, so that callers could make no
/// progress.
const MAX_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// The memory of this host for callers and targets; shared by all connections.
#[derive(Debug, Clone, Default)]
pub struct HostMemory {
    /// `None` without a limit.
    shared: Option<Arc<SharedMemory>>,
}

/// The budget, and the notification of those that wait for room in it.
#[derive(Debug)]
pub(super) struct SharedMemory {
    // All traffic runs on one thread, so that the lock is never contended; counted bytes must be `Send`.
    state: Mutex<MemoryState>,
    /// Notified when memory is released.
    pub room: Notify,
}

#[derive(Debug)]
pub(super) struct MemoryState {
    pub budget: MemoryBudget,
    pub connections: HashMap<ConnectionId, ConnectionEntry>,
    swept_at: Instant,
}

/// Channel to the task that serves a connection.
#[derive(Debug)]
pub(super) struct ConnectionEntry {
    /// Tells the task how the caller is cut.
    pub cut: watch::Sender<Option<CutKind>>,
    /// Id of the last request, for logs.
    pub request: String,
}

impl SharedMemory {
    pub fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().expect("no lock owner panics")
    }
}

impl HostMemory {
    /// Returns the memory of a process that may use `limit` bytes; `None` is no limit.
    pub fn new(limit: Option<u64>) -> Self {
        let shared = limit.map(|limit| {
            let state = MemoryState {
                budget: MemoryBudget::new(MemoryLimits::of_process(limit)),
                connections: HashMap::new(),
                swept_at: Instant::now(),
            };
            Arc::new(SharedMemory {
                state: Mutex::new(state),
                room: Notify::new(),
            })
        });
        Self { shared }
    }

    /// Returns true if memory is counted against a limit.
    pub fn is_limited(&self) -> bool {
        self.shared.is_some()
    }

    /// Adds a caller's connection; returns `None` if there is no room for its buffers.
    pub fn connect(&self) -> Option<CallerMemory> {
        let Some(shared) = &self.shared else {
            return Some(CallerMemory::default());
        };
        let now = Instant::now();
        let (sender, cut) = watch::channel(None);
        let id = {
            let mut state = shared.lock();
            if !state
                .budget
                .has_room(MemoryUse::Connection, CONNECTION_BYTES)
            {
                return None;
            }
            let id = state.budget.add_connection(now);
            let connection = ConnectionEntry {
                cut: sender,
                request: "-".to_string(),
            };
            state.connections.insert(id, connection);
            id
        };
        let memory = CallerMemory::of_connection(shared.clone(), id, cut);
        Some(memory.with_buffers(CONNECTION_BYTES))
    }

    /// Returns the pressure, the bytes held and the capacity; `None` without a limit.
    pub fn levels(&self) -> Option<(Pressure, u64, u64)> {
        let state = self.shared.as_ref()?.lock();
        let budget = &state.budget;
        Some((budget.pressure(), budget.held(), budget.limits().capacity))
    }

    /// Returns the bytes that are held for a use.
    pub fn held_for(
        &self,
        purpose: MemoryUse,
    ) -> u64 {
        let shared = self.shared.as_ref();
        shared.map_or(0, |shared| shared.lock().budget.held_for(purpose))
    }

    /// Cuts callers as the budget decides; returns the cuts, each with the id of the caller's last request.
    pub fn sweep(
        &self,
        now: Instant,
    ) -> Vec<(MemoryCut, String)> {
        let Some(shared) = &self.shared else {
            return Vec::new();
        };
        let mut state = shared.lock();
        let since_last = now.saturating_duration_since(state.swept_at);
        state.swept_at = now;
        if since_last > MAX_SWEEP_INTERVAL {
            state.budget.on_pause(since_last - SWEEP_INTERVAL);
        }
        let cuts = state.budget.choose_cuts(now);
        let signalled = cuts.into_iter().filter_map(|cut| {
            let connection = state.connections.get(&cut.connection)?;
            connection.cut.send_replace(Some(cut.kind));
            Some((cut, connection.request.clone()))
        });
        signalled.collect()
    }
}
