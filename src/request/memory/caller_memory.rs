use {
    super::{
        BodyMemory, CallerStage, ConnectionId, CutKind, MemoryUse, NoRoom, Reservation,
        host_memory::SharedMemory,
    },
    crate::clock::Instant,
    bytes::Bytes,
    std::{
        future::pending,
        sync::{Arc, OnceLock},
    },
    tokio::sync::watch,
};

/// A piece that is shorter than this, in bytes, is copied: it is a part of a larger block that was read at once,
/// and would hold all of it.
const MIN_SHARED_PIECE: usize = 4096;

/// Estimate of the bytes that a buffered piece holds besides its content.
const PIECE_OVERHEAD: u64 = 256;

/// Estimate of the buffers of a connection whose body is read and discarded, in bytes.
const DISCARD_BYTES: u64 = 64 * 1024;

/// One caller's access to the memory of this host; the default has no limit.
#[derive(Debug, Clone, Default)]
pub struct CallerMemory {
    connection: Option<Arc<ConnectionMemory>>,
}

/// A caller's connection in the budget; removed once it is closed and nothing is held for it any more.
#[derive(Debug)]
pub(super) struct ConnectionMemory {
    pub shared: Arc<SharedMemory>,
    pub id: ConnectionId,
    cut: watch::Receiver<Option<CutKind>>,
    /// Bytes of the connection's buffers.
    buffers: OnceLock<u64>,
}

impl CallerMemory {
    pub(super) fn of_connection(
        shared: Arc<SharedMemory>,
        id: ConnectionId,
        cut: watch::Receiver<Option<CutKind>>,
    ) -> Self {
        let connection = ConnectionMemory {
            shared,
            id,
            cut,
            buffers: OnceLock::new(),
        };
        Self {
            connection: Some(Arc::new(connection)),
        }
    }

    /// Counts the buffers of the connection until it is closed.
    pub(super) fn with_buffers(
        self,
        bytes: u64,
    ) -> Self {
        if let Some(connection) = &self.connection
            && connection.buffers.set(bytes).is_ok()
        {
            connection.count(MemoryUse::Connection, bytes);
        }
        self
    }

    /// Returns true if memory is counted against a limit.
    pub fn is_limited(&self) -> bool {
        self.connection.is_some()
    }

    pub(super) fn shared(&self) -> Option<Arc<SharedMemory>> {
        self.connection
            .as_ref()
            .map(|connection| connection.shared.clone())
    }

    /// Records that a request has arrived, with its id for logs.
    pub fn begin_request(
        &self,
        id: &str,
    ) {
        self.set_stage(CallerStage::AwaitsAnswer);
        if let Some(connection) = &self.connection {
            let mut state = connection.shared.lock();
            if let Some(entry) = state.connections.get_mut(&connection.id) {
                entry.request = id.to_string();
            }
        }
    }

    /// Records what is waited for on the connection from now on.
    pub fn set_stage(
        &self,
        stage: CallerStage,
    ) {
        let Some(connection) = &self.connection else {
            return;
        };
        let mut state = connection.shared.lock();
        state.budget.set_stage(connection.id, stage, Instant::now());
        if let Some(entry) = state.connections.get(&connection.id) {
            entry.cut.send_if_modified(|cut| cut.take().is_some());
        }
    }

    /// Records that bytes of a request's body have arrived.
    pub fn on_received(
        &self,
        bytes: usize,
    ) {
        if let Some(connection) = &self.connection {
            let mut state = connection.shared.lock();
            state
                .budget
                .on_received(connection.id, bytes, Instant::now());
        }
    }

    /// Reserves memory for a request's body of this length, if the caller declared one.
    pub async fn reserve_body(
        &self,
        declared: Option<u64>,
        deadline: Instant,
    ) -> Result<BodyMemory, NoRoom> {
        BodyMemory::reserve(self, declared, deadline).await
    }

    /// Reserves what it takes to read and discard a body, if there is room for that.
    pub fn reserve_discard(&self) -> Option<Reservation> {
        let mut reservation = self.reservation(MemoryUse::SmallBody);
        let has_room = reservation.try_cover(MemoryUse::SmallBody, DISCARD_BYTES);
        has_room.then_some(reservation)
    }

    /// Returns an empty reservation.
    pub fn reservation(
        &self,
        purpose: MemoryUse,
    ) -> Reservation {
        Reservation::new(self.connection.clone(), purpose)
    }

    /// Counts a piece of an answer until the caller has taken it; waits while there is no room and earlier pieces are
    /// not taken.
    pub async fn hold_piece(
        &self,
        piece: Bytes,
    ) -> Bytes {
        let Some(connection) = self.connection.as_ref().filter(|_| !piece.is_empty()) else {
            return piece;
        };
        let size = piece.len() as u64 + PIECE_OVERHEAD;
        loop {
            let room = connection.shared.room.notified();
            let now = Instant::now();
            let reserved = {
                let mut state = connection.shared.lock();
                state.budget.try_reserve_piece(connection.id, size, now)
            };
            if reserved {
                let purpose = MemoryUse::Piece;
                let reservation = Reservation::counted(connection.clone(), purpose, size);
                return reservation.keep(owned(piece));
            }
            room.await;
        }
    }

    /// Waits until the caller is cut in this way or a harder one.
    pub async fn cut(
        &self,
        at_least: CutKind,
    ) -> CutKind {
        let Some(connection) = &self.connection else {
            return pending().await;
        };
        let mut cut = connection.cut.clone();
        let kind = cut
            .wait_for(|cut| *cut >= Some(at_least))
            .await
            .ok()
            .and_then(|cut| *cut);
        match kind {
            Some(kind) => kind,
            None => pending().await,
        }
    }
}

impl ConnectionMemory {
    pub fn count(
        &self,
        purpose: MemoryUse,
        bytes: u64,
    ) {
        let mut state = self.shared.lock();
        state
            .budget
            .reserve(self.id, purpose, bytes, Instant::now());
    }

    pub fn release(
        &self,
        purpose: MemoryUse,
        bytes: u64,
    ) {
        if bytes == 0 {
            return;
        }
        let mut state = self.shared.lock();
        state
            .budget
            .release(self.id, purpose, bytes, Instant::now());
        drop(state);
        self.shared.room.notify_waiters();
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        let buffers = self.buffers.get().copied().unwrap_or_default();
        self.release(MemoryUse::Connection, buffers);
        let mut state = self.shared.lock();
        state.budget.remove_connection(self.id);
        state.connections.remove(&self.id);
    }
}

/// Returns the piece in memory of its own if it is small.
fn owned(piece: Bytes) -> Bytes {
    match piece.len() < MIN_SHARED_PIECE {
        true => Bytes::copy_from_slice(&piece),
        false => piece,
    }
}
