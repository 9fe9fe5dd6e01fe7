//! Watches the adapter version that a request was sent for, until its target begins to run it.

use {
    super::{
        destination::{Destination, ExpectedVersion},
        request_trace::millis,
    },
    crate::{
        clock::{Instant, timeout_at},
        connection::targets::TargetTable,
        metrics::metrics,
        note,
        request::direct::CallRequest,
        timeline::Event,
    },
    std::{cell::RefCell, future::pending, rc::Rc},
};

/// The request has not begun, and its version may no longer serve soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct VersionExpired;

/// Watches the version of one send.
pub(super) struct VersionWatch<'a> {
    table: &'a Rc<RefCell<TargetTable>>,
    request: &'a CallRequest,
    target: &'a str,
    /// `None` for requests without an adapter, and for those that may run on any version.
    sent: Option<(&'a str, ExpectedVersion)>,
    sent_at: Instant,
}

impl<'a> VersionWatch<'a> {
    pub fn new(
        table: &'a Rc<RefCell<TargetTable>>,
        request: &'a CallRequest,
        destination: &'a Destination,
        sent_at: Instant,
    ) -> Self {
        let generation = request.generation.as_ref();
        let adapter = generation.and_then(|generation| generation.adapter());
        Self {
            table,
            request,
            target: &destination.target,
            sent: adapter.zip(destination.version),
            sent_at,
        }
    }

    /// Awaits what shows that the request has begun, unless it has to be cancelled before that.
    pub async fn before_expiry<T>(
        &self,
        begun: impl Future<Output = T>,
    ) -> Result<T, VersionExpired> {
        tokio::select! {
            biased;
            begun = begun => Ok(begun),
            () = self.until_expired() => {
                self.log_cancelled();
                Err(VersionExpired)
            }
        }
    }

    /// Waits until the request has to be cancelled; forever while no newer version is known.
    async fn until_expired(&self) {
        let Some((adapter, sent)) = self.sent else {
            return pending().await;
        };
        let updates = self.table.borrow().version_updates();
        loop {
            let changed = updates.notified();
            let cancelled_at =
                self.table
                    .borrow()
                    .cancellation_time(adapter, sent.version, Instant::now());
            match cancelled_at {
                None => changed.await,
                Some(at) if timeout_at(at, changed).await.is_err() => return,
                Some(_) => {}
            }
        }
    }

    fn log_cancelled(&self) {
        let Some((adapter, sent)) = self.sent else {
            return;
        };
        let now = Instant::now();
        let table = self.table.borrow();
        let deadline = table.version_deadline(adapter, sent.version);
        metrics().cancelled_sends.inc();
        note!(
            Event::RequestCancelled,
            id = self.request.id_text(),
            target = self.target,
            adapter = adapter,
            version = sent.version,
            newest = table.newest_version(adapter),
            newest_at_send = sent.newest,
            version_left_ms = deadline.remaining(now),
            expected_ms = millis(sent.wait),
            waited_ms = millis(now.saturating_duration_since(self.sent_at)),
        );
    }
}
