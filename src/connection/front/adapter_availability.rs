use {
    super::{
        engine_sample::is_pending,
        waits::{CHOICE_RETRY_INTERVAL, HOLDER_TIMEOUT},
    },
    crate::{
        clock::Instant,
        connection::targets::{AdapterCopy, TargetTable},
        request::direct::AdapterCopyState,
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
        table: &TargetTable,
        adapter: &'a str,
        now: Instant,
    ) -> Self {
        Self {
            adapter,
            newest: table.newest_version(adapter),
            now,
        }
    }

    /// Returns the state of the copy at an engine, for a request that is expected to start there after `wait`.
    pub fn copy_at(
        &self,
        table: &TargetTable,
        target: &str,
        wait: Duration,
    ) -> AdapterCopyState {
        if self.version_at(table, target, wait).is_some() {
            return AdapterCopyState::Ready;
        }
        let copy = table.adapters.get(self.adapter, target);
        let copy = copy.map_or(AdapterCopyState::Unknown, |copy| {
            self.unavailable_state(table, copy, wait)
        });
        match table.links[target].view.holder {
            // Without a holder no host would report that the copy is ready.
            None if is_pending(copy) => AdapterCopyState::Unknown,
            _ => copy,
        }
    }

    /// Returns the version that an engine holds, if it may serve a request that is expected to start there after
    /// `wait`.
    pub fn version_at(
        &self,
        table: &TargetTable,
        target: &str,
        wait: Duration,
    ) -> Option<u64> {
        let held = table.adapters.get(self.adapter, target)?.held()?;
        let serves = table.version_deadline(self.adapter, held);
        serves.can_begin(wait, self.now).then_some(held)
    }

    /// Returns the state of a copy that can't serve now.
    fn unavailable_state(
        &self,
        table: &TargetTable,
        copy: &AdapterCopy,
        wait: Duration,
    ) -> AdapterCopyState {
        let serves = table.version_deadline(self.adapter, copy.version);
        let is_old = copy.version < self.newest;
        match copy.state {
            // The request would wait longer than a version may serve if it were replaced meanwhile.
            AdapterCopyState::Ready if !is_old => AdapterCopyState::Full {
                until: self.now + CHOICE_RETRY_INTERVAL,
            },
            AdapterCopyState::Loading { due }
                if is_old && !serves.can_begin(wait, due.max(self.now)) =>
            {
                AdapterCopyState::Unknown
            }
            AdapterCopyState::Ready | AdapterCopyState::Cached if is_old => {
                AdapterCopyState::Unknown
            }
            state => state,
        }
    }

    /// Returns true if the report of an engine's holder on the adapter is overdue.
    pub fn is_overdue_at(
        &self,
        table: &TargetTable,
        target: &str,
    ) -> bool {
        let copy = table.adapters.get(self.adapter, target);
        copy.is_some_and(|copy| is_overdue(copy.state, self.now))
    }
}

fn is_overdue(
    state: AdapterCopyState,
    now: Instant,
) -> bool {
    match state {
        AdapterCopyState::Requested => true,
        AdapterCopyState::Loading { due } => due + HOLDER_TIMEOUT <= now,
        _ => false,
    }
}
