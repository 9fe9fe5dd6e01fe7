use {
    super::{
        BodyMemory, CallerStage, CutKind, HolderId, MemoryUse, NoRoom, Reservation,
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

/// A piece that is shorter than this is copied: it is a part of a larger block that was read at once, and would hold
/// all of it.
const MIN_SHARED_PIECE: usize = 4096;

/// Estimate of what a buffered piece holds besides its bytes.
const PIECE_OVERHEAD: u64 = 256;

/// Buffers of a connection whose body is read and discarded.
const DISCARD_BYTES: u64 = 64 * 1024;

/// One caller's access to the memory of this host; the default has no limit.
#[derive(Debug, Clone, Default)]
pub struct CallerMemory {
    holder: Option<Arc<MemoryHolder>>,
}

/// A caller's connection in the budget; removed once it is closed and nothing is held for it any more.
#[derive(Debug)]
pub(super) struct MemoryHolder {
    pub shared: Arc<SharedMemory>,
    pub id: HolderId,
    cut: watch::Receiver<Option<CutKind>>,
    /// Bytes of the connection's buffers.
    buffers: OnceLock<u64>,
}

impl CallerMemory {
    pub(super) fn of_holder(
        shared: Arc<SharedMemory>,
        id: HolderId,
        cut: watch::Receiver<Option<CutKind>>,
    ) -> Self {
        let holder = MemoryHolder {
            shared,
            id,
            cut,
            buffers: OnceLock::new(),
        };
        Self {
            holder: Some(Arc::new(holder)),
        }
    }

    /// Counts the buffers of the connection until it is closed.
    pub(super) fn with_buffers(
        self,
        bytes: u64,
    ) -> Self {
        if let Some(holder) = &self.holder
            && holder.buffers.set(bytes).is_ok()
        {
            holder.count(MemoryUse::Connection, bytes);
        }
        self
    }

    pub fn is_limited(&self) -> bool {
        self.holder.is_some()
    }

    pub(super) fn shared(&self) -> Option<Arc<SharedMemory>> {
        self.holder.as_ref().map(|holder| holder.shared.clone())
    }

    /// Records that a request has arrived, with its id for logs.
    pub fn begin_request(
        &self,
        id: &str,
    ) {
        self.set_stage(CallerStage::AwaitsAnswer);
        if let Some(holder) = &self.holder {
            let mut state = holder.shared.lock();
            if let Some(connection) = state.connections.get_mut(&holder.id) {
                connection.request = id.to_string();
            }
        }
    }

    /// Records what is waited for on the connection from now on.
    pub fn set_stage(
        &self,
        stage: CallerStage,
    ) {
        let Some(holder) = &self.holder else {
            return;
        };
        let mut state = holder.shared.lock();
        state.budget.set_stage(holder.id, stage, Instant::now());
        if let Some(connection) = state.connections.get(&holder.id) {
            connection.cut.send_if_modified(|cut| cut.take().is_some());
        }
    }

    /// Records that bytes of a request's body have arrived.
    pub fn on_received(
        &self,
        bytes: usize,
    ) {
        if let Some(holder) = &self.holder {
            let mut state = holder.shared.lock();
            state.budget.on_received(holder.id, bytes, Instant::now());
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
        Reservation::new(self.holder.clone(), purpose)
    }

    /// Counts a piece of an answer until the caller has taken it; waits while there is no room and earlier pieces are
    /// not taken.
    pub async fn hold_piece(
        &self,
        piece: Bytes,
    ) -> Bytes {
        let Some(holder) = self.holder.as_ref().filter(|_| !piece.is_empty()) else {
            return piece;
        };
        let size = piece.len() as u64 + PIECE_OVERHEAD;
        loop {
            let room = holder.shared.room.notified();
            let now = Instant::now();
            let reserved = {
                let mut state = holder.shared.lock();
                state.budget.try_reserve_piece(holder.id, size, now)
            };
            if reserved {
                let purpose = MemoryUse::Piece;
                let reservation = Reservation::counted(holder.clone(), purpose, size);
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
        let Some(holder) = &self.holder else {
            return pending().await;
        };
        let mut cut = holder.cut.clone();
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

impl MemoryHolder {
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

impl Drop for MemoryHolder {
    fn drop(&mut self) {
        let buffers = self.buffers.get().copied().unwrap_or_default();
        self.release(MemoryUse::Connection, buffers);
        let mut state = self.shared.lock();
        state.budget.remove_holder(self.id);
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
