use {
    super::{MemoryUse, caller_memory::MemoryHolder},
    crate::clock::Instant,
    bytes::Bytes,
    std::sync::Arc,
};

/// Memory that is counted until dropped.
#[derive(Debug)]
pub struct Reservation {
    holder: Option<Arc<MemoryHolder>>,
    purpose: MemoryUse,
    bytes: u64,
}

impl Reservation {
    pub(super) fn new(
        holder: Option<Arc<MemoryHolder>>,
        purpose: MemoryUse,
    ) -> Self {
        Self {
            holder,
            purpose,
            bytes: 0,
        }
    }

    /// Returns a reservation of memory that has been counted already.
    pub(super) fn counted(
        holder: Arc<MemoryHolder>,
        purpose: MemoryUse,
        bytes: u64,
    ) -> Self {
        Self {
            holder: Some(holder),
            purpose,
            bytes,
        }
    }

    /// Grows to so many bytes of a use, if there is room; memory reserved for another use moves to this one.
    pub fn try_cover(
        &mut self,
        purpose: MemoryUse,
        bytes: u64,
    ) -> bool {
        let Some(holder) = &self.holder else {
            return true;
        };
        let now = Instant::now();
        let mut state = holder.shared.lock();
        let more = bytes.saturating_sub(self.bytes);
        if !state.budget.try_reserve(holder.id, purpose, more, now) {
            return false;
        }
        if purpose != self.purpose {
            let moved = self.bytes;
            state.budget.release(holder.id, self.purpose, moved, now);
            state.budget.reserve(holder.id, purpose, moved, now);
            self.purpose = purpose;
        }
        self.bytes += more;
        true
    }

    /// Grows to so many bytes that are held already; returns false if there was no room for them.
    pub fn cover(
        &mut self,
        bytes: u64,
    ) -> bool {
        if self.try_cover(self.purpose, bytes) {
            return true;
        }
        let more = bytes.saturating_sub(self.bytes);
        if let Some(holder) = &self.holder {
            holder.count(self.purpose, more);
        }
        self.bytes += more;
        false
    }

    /// Returns bytes that stay counted until their last clone is dropped.
    pub fn keep(
        self,
        bytes: Bytes,
    ) -> Bytes {
        if self.holder.is_none() || bytes.is_empty() {
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
        if let Some(holder) = &self.holder {
            holder.release(self.purpose, self.bytes);
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
