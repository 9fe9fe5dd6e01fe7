use {
    super::{MemoryUse, caller_memory::ConnectionMemory},
    crate::clock::Instant,
    bytes::Bytes,
    std::sync::Arc,
};

/// Memory that is counted until dropped.
#[derive(Debug)]
pub struct Reservation {
    connection: Option<Arc<ConnectionMemory>>,
    purpose: MemoryUse,
    bytes: u64,
}

impl Reservation {
    pub(super) fn new(
        connection: Option<Arc<ConnectionMemory>>,
        purpose: MemoryUse,
    ) -> Self {
        Self {
            connection,
            purpose,
            bytes: 0,
        }
    }

    /// Returns a reservation of memory that has been counted already.
    pub(super) fn counted(
        connection: Arc<ConnectionMemory>,
        purpose: MemoryUse,
        bytes: u64,
    ) -> Self {
        Self {
            connection: Some(connection),
            purpose,
            bytes,
        }
    }

    /// Grows to `bytes` bytes of a use, if there is room; memory reserved for another use moves to this one.
    pub fn try_cover(
        &mut self,
        purpose: MemoryUse,
        bytes: u64,
    ) -> bool {
        let Some(connection) = &self.connection else {
            return true;
        };
        let now = Instant::now();
        let mut state = connection.shared.lock();
        let more = bytes.saturating_sub(self.bytes);
        if !state.budget.try_reserve(connection.id, purpose, more, now) {
            return false;
        }
        if purpose != self.purpose {
            let moved = self.bytes;
            state
                .budget
                .release(connection.id, self.purpose, moved, now);
            state.budget.reserve(connection.id, purpose, moved, now);
            self.purpose = purpose;
        }
        self.bytes += more;
        true
    }

    /// Grows to `bytes` bytes that are held already; returns false if there was no room for them.
    pub fn cover(
        &mut self,
        bytes: u64,
    ) -> bool {
        if self.try_cover(self.purpose, bytes) {
            return true;
        }
        let more = bytes.saturating_sub(self.bytes);
        if let Some(connection) = &self.connection {
            connection.count(self.purpose, more);
        }
        self.bytes += more;
        false
    }

    /// Returns bytes that stay counted until their last clone is dropped.
    pub fn keep(
        self,
        bytes: Bytes,
    ) -> Bytes {
        if self.connection.is_none() || bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(HeldBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.release(self.purpose, self.bytes);
        }
    }
}

/// Bytes and the memory that is counted for them, freed in this order.
struct HeldBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
