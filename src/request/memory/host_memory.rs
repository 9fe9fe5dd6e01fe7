use {
    super::{
        CallerMemory, CutKind, HolderId, MemoryBudget, MemoryCut, MemoryLimits, MemoryUse, Pressure,
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

/// Time between looks for callers to cut.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// A look that comes later than this shows that the process itself stood still.
const MAX_SWEEP_DELAY: Duration = Duration::from_millis(500);

/// The memory of this host for callers and targets; shared by all connections.
#[derive(Debug, Clone, Default)]
pub struct HostMemory {
    /// `None` without a limit.
    shared: Option<Arc<SharedMemory>>,
}

/// The budget, and whoever waits for it.
#[derive(Debug)]
pub(super) struct SharedMemory {
    // All traffic runs on one thread, so that the lock is never contended; counted bytes must be `Send`.
    state: Mutex<MemoryState>,
    /// Told when memory is released.
    pub room: Notify,
}

#[derive(Debug)]
pub(super) struct MemoryState {
    pub budget: MemoryBudget,
    pub connections: HashMap<HolderId, ConnectionEntry>,
    swept_at: Instant,
}

/// How to reach whoever serves a connection.
#[derive(Debug)]
pub(super) struct ConnectionEntry {
    pub cut: watch::Sender<Option<CutKind>>,
    /// Id of the last request, for logs.
    pub request: String,
}

impl SharedMemory {
    pub fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().expect("no holder panics")
    }
}

impl HostMemory {
    /// Returns the memory of a process that may use so many bytes, or has no limit.
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
            let id = state.budget.add_holder(now);
            let connection = ConnectionEntry {
                cut: sender,
                request: "-".to_string(),
            };
            state.connections.insert(id, connection);
            id
        };
        let memory = CallerMemory::of_holder(shared.clone(), id, cut);
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
        if since_last > MAX_SWEEP_DELAY {
            state.budget.on_pause(since_last - SWEEP_INTERVAL);
        }
        let cuts = state.budget.choose_cuts(now);
        let signalled = cuts.into_iter().filter_map(|cut| {
            let connection = state.connections.get(&cut.holder)?;
            connection.cut.send_replace(Some(cut.kind));
            Some((cut, connection.request.clone()))
        });
        signalled.collect()
    }
}
