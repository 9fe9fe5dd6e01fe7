use {
    super::{
        engine_sample::is_coming,
        waits::{ASK_WAIT, LOOK_AGAIN},
    },
    crate::{
        clock::Instant,
        connection::targets::{AdapterCopy, TargetTable},
        request::direct::CopyState,
    },
    std::time::Duration,
};

/// How an adapter stands for a request: which versions may serve it, and where they are.
pub(super) struct AdapterStanding<'a> {
    adapter: &'a str,
    /// The newest version.
    pub newest: u64,
    now: Instant,
}

impl<'a> AdapterStanding<'a> {
    pub fn of(
        board: &TargetTable,
        adapter: &'a str,
        now: Instant,
    ) -> Self {
        Self {
            adapter,
            newest: board.newest_version(adapter),
            now,
        }
    }

    /// The copy at an engine, as far as it can serve a request that is expected to begin there after `wait`.
    pub fn copy_at(
        &self,
        board: &TargetTable,
        target: &str,
        wait: Duration,
    ) -> CopyState {
        if self.version_at(board, target, wait).is_some() {
            return CopyState::Ready;
        }
        let copy = board.adapters.get(self.adapter, target);
        let copy = copy.map_or(CopyState::Unknown, |copy| self.otherwise(board, copy, wait));
        match board.links[target].view.holder {
            // Nobody is left who would tell that it is there.
            None if is_coming(copy) => CopyState::Unknown,
            _ => copy,
        }
    }

    /// The version that an engine holds and that may serve a request which is expected to begin there after
    /// `wait`.
    pub fn version_at(
        &self,
        board: &TargetTable,
        target: &str,
        wait: Duration,
    ) -> Option<u64> {
        let held = board.adapters.get(self.adapter, target)?.held()?;
        let serves = board.version_deadline(self.adapter, held);
        serves.can_begin(wait, self.now).then_some(held)
    }

    /// A copy that can't serve now.
    fn otherwise(
        &self,
        board: &TargetTable,
        copy: &AdapterCopy,
        wait: Duration,
    ) -> CopyState {
        let serves = board.version_deadline(self.adapter, copy.version);
        let is_old = copy.version < self.newest;
        match copy.state {
            // A request would wait there for longer than versions that are replaced meanwhile may serve.
            CopyState::Ready if !is_old => CopyState::Full {
                until: self.now + LOOK_AGAIN,
            },
            CopyState::Coming { due } if is_old && !serves.can_begin(wait, due.max(self.now)) => {
                CopyState::Unknown
            }
            CopyState::Ready | CopyState::Remembered if is_old => CopyState::Unknown,
            state => state,
        }
    }

    /// True if an engine's holder should have told of the adapter by now.
    pub fn is_late_at(
        &self,
        board: &TargetTable,
        target: &str,
    ) -> bool {
        let copy = board.adapters.get(self.adapter, target);
        copy.is_some_and(|copy| is_late(copy.state, self.now))
    }
}

/// True if the holder should have told by now.
fn is_late(
    state: CopyState,
    now: Instant,
) -> bool {
    match state {
        CopyState::Asked => true,
        CopyState::Coming { due } => due + ASK_WAIT <= now,
        _ => false,
    }
}
