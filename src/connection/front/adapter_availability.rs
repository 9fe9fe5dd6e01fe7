use {
    super::{
        engine_sample::is_pending,
        waits::{CHOICE_RETRY_INTERVAL, HOLDER_TIMEOUT},
    },
    crate::{
        clock::Instant,
        connection::targets::{AdapterCopy, TargetBoard},
        request::direct::CopyState,
    },
    std::time::Duration,
};

/// Availability of an adapter for a request: which versions may serve it, and at which engines they are.
pub(super) struct AdapterAvailability<'a> {
    adapter: &'a str,
    /// The newest version.
    pub newest: u64,
    now: Instant,
}

impl<'a> AdapterAvailability<'a> {
    pub fn of(
        board: &TargetBoard,
        adapter: &'a str,
        now: Instant,
    ) -> Self {
        Self {
            adapter,
            newest: board.newest_version(adapter),
            now,
        }
    }

    /// Returns the state of the copy at an engine, for a request that is expected to start there after `wait`.
    pub fn copy_at(
        &self,
        board: &TargetBoard,
        target: &str,
        wait: Duration,
    ) -> CopyState {
        if self.version_at(board, target, wait).is_some() {
            return CopyState::Ready;
        }
        let copy = board.adapters.get(self.adapter, target);
        let copy = copy.map_or(CopyState::Unknown, |copy| {
            self.unavailable_state(board, copy, wait)
        });
        match board.links[target].view.holder {
            // Without a holder no host would report that the copy is ready.
            None if is_pending(copy) => CopyState::Unknown,
            _ => copy,
        }
    }

    /// Returns the version that an engine holds, if it may serve a request that is expected to start there after
    /// `wait`.
    pub fn version_at(
        &self,
        board: &TargetBoard,
        target: &str,
        wait: Duration,
    ) -> Option<u64> {
        let held = board.adapters.get(self.adapter, target)?.held()?;
        let serves = board.serves_until(self.adapter, held);
        serves.allows(wait, self.now).then_some(held)
    }

    /// Returns the state of a copy that can't serve now.
    fn unavailable_state(
        &self,
        board: &TargetBoard,
        copy: &AdapterCopy,
        wait: Duration,
    ) -> CopyState {
        let serves = board.serves_until(self.adapter, copy.version);
        let is_old = copy.version < self.newest;
        match copy.state {
            // The request would wait longer than a version may serve if it were replaced meanwhile.
            CopyState::Ready if !is_old => CopyState::Full {
                until: self.now + CHOICE_RETRY_INTERVAL,
            },
            CopyState::Coming { due } if is_old && !serves.allows(wait, due.max(self.now)) => {
                CopyState::Unknown
            }
            CopyState::Ready | CopyState::Remembered if is_old => CopyState::Unknown,
            state => state,
        }
    }

    /// Returns true if the report of an engine's holder on the adapter is overdue.
    pub fn is_overdue_at(
        &self,
        board: &TargetBoard,
        target: &str,
    ) -> bool {
        let copy = board.adapters.get(self.adapter, target);
        copy.is_some_and(|copy| is_overdue(copy.state, self.now))
    }
}

fn is_overdue(
    state: CopyState,
    now: Instant,
) -> bool {
    match state {
        CopyState::Asked => true,
        CopyState::Coming { due } => due + HOLDER_TIMEOUT <= now,
        _ => false,
    }
}
