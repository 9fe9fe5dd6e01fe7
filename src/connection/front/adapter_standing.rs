use {
    super::{chooser::ASK_WAIT, engine_sample::is_coming},
    crate::{connection::targets::TargetBoard, request::direct::CopyState},
    std::time::{Duration, Instant},
};

/// Old versions of an adapter are still used for so long after a newer one was named.
const OLD_VERSION_GRACE: Duration = Duration::from_millis(900);

/// How an adapter stands for a request: which versions may serve it, and where they are.
pub(super) struct AdapterStanding<'a> {
    adapter: &'a str,
    /// The newest version.
    pub newest: u64,
    /// Older versions still serve.
    grace: bool,
    now: Instant,
}

impl<'a> AdapterStanding<'a> {
    pub fn of(
        board: &TargetBoard,
        adapter: &'a str,
        now: Instant,
    ) -> Self {
        let newest = board.view.newest.get(adapter).copied();
        let is_young = |since| now.saturating_duration_since(since) < OLD_VERSION_GRACE;
        Self {
            adapter,
            newest: newest.map_or(1, |newest| newest.version),
            grace: newest.is_some_and(|newest| is_young(newest.since)),
            now,
        }
    }

    /// The copy at an engine, as far as it can serve.
    pub fn copy_at(
        &self,
        board: &TargetBoard,
        target: &str,
    ) -> CopyState {
        let copy = match board.adapters.get(self.adapter, target) {
            Some(copy) if copy.version < self.newest && is_of_no_use(copy.state, self.grace) => {
                CopyState::Unknown
            }
            Some(copy) => copy.state,
            None => CopyState::Unknown,
        };
        match board.links[target].view.holder {
            // Nobody is left who would tell that it is there.
            None if is_coming(copy) => CopyState::Unknown,
            _ => copy,
        }
    }

    /// True if an engine's holder should have told of the adapter by now.
    pub fn is_late_at(
        &self,
        board: &TargetBoard,
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

/// True if a copy of an old version is as good as none; `grace` says that old ones still serve.
fn is_of_no_use(
    state: CopyState,
    grace: bool,
) -> bool {
    match state {
        CopyState::Ready | CopyState::Coming { .. } => !grace,
        CopyState::Remembered => true,
        _ => false,
    }
}
