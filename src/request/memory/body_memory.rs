use {
    super::{CallerMemory, CallerStage, MemoryUse, Reservation},
    crate::clock::{Instant, timeout_at},
    bytes::{Bytes, BytesMut},
    std::time::Duration,
};

/// Longest wait for room. All that wait hold parts of their bodies, and none goes on unless another one gives up.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(2);

/// Smallest buffer of a body without a declared length, in bytes.
const MIN_BUFFER: usize = 8 * 1024;

/// Most bytes that the connection's read buffer and the piece taken from it hold besides the body. The read buffer
/// keeps its size afterwards.
const MAX_READ_BYTES: u64 = 64 * 1024;

/// There is no room for a body; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

/// The buffer of a request's body, and the memory that is counted for it.
#[derive(Debug)]
pub struct BodyMemory {
    memory: CallerMemory,
    held: Reservation,
    buffer: BytesMut,
    deadline: Instant,
}

impl BodyMemory {
    /// Reserves memory for the declared length: a large body needs room now, a small one waits for it.
    pub(super) async fn reserve(
        memory: &CallerMemory,
        declared: Option<u64>,
        deadline: Instant,
    ) -> Result<Self, NoRoom> {
        let mut body = Self {
            memory: memory.clone(),
            held: memory.reservation(MemoryUse::SmallBody),
            buffer: BytesMut::new(),
            deadline,
        };
        let declared = declared.and_then(|bytes| usize::try_from(bytes).ok());
        let Some(declared) = declared.filter(|_| memory.is_limited()) else {
            return Ok(body);
        };
        match MemoryUse::of_body(declared) {
            MemoryUse::LargeBody if !body.try_cover(declared) => return Err(NoRoom),
            MemoryUse::LargeBody => {}
            _ => body.wait_for_room(declared).await?,
        }
        // Pages of the buffer that have not been written to take no memory.
        body.buffer.reserve(declared);
        Ok(body)
    }

    /// Returns the number of bytes that have been appended.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Appends bytes; waits for room if they exceed what is reserved.
    pub async fn append(
        &mut self,
        data: &[u8],
    ) -> Result<(), NoRoom> {
        let needed = self.buffer.len() + data.len();
        if self.memory.is_limited() && needed > self.buffer.capacity() {
            let size = needed.max(2 * self.buffer.capacity()).max(MIN_BUFFER);
            self.wait_for_room(size).await?;
            self.buffer.reserve(size - self.buffer.len());
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Returns the complete body, which stays counted until its last clone is dropped.
    pub fn finish(self) -> Bytes {
        self.held.keep(self.buffer.freeze())
    }

    fn try_cover(
        &mut self,
        size: usize,
    ) -> bool {
        let purpose = MemoryUse::of_body(size);
        let size = size as u64;
        self.held
            .try_cover(purpose, size + size.min(MAX_READ_BYTES))
    }

    async fn wait_for_room(
        &mut self,
        size: usize,
    ) -> Result<(), NoRoom> {
        let Some(shared) = self.memory.shared() else {
            return Ok(());
        };
        if self.try_cover(size) {
            return Ok(());
        }
        let until = self.deadline.min(Instant::now() + MAX_ROOM_WAIT);
        self.memory.set_stage(CallerStage::AwaitsRoom);
        let waiting = async {
            loop {
                let room = shared.room.notified();
                if self.try_cover(size) {
                    return;
                }
                room.await;
            }
        };
        let waited = timeout_at(until, waiting).await;
        self.memory.set_stage(CallerStage::SendsBody);
        waited.map_err(|_| NoRoom)
    }
}
