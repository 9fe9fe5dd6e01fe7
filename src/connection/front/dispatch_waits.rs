//! What the dispatcher waits for between two sends of a request.

use {
    super::{
        Dispatcher, ErrorCause,
        adapter_waiter::AdapterWaiter,
        admission::{FreshnessCheck, wait_until_fresh},
    },
    crate::{
        clock::{Instant, sleep_until},
        connection::targets::KeyStatus,
        request::direct::CallRequest,
    },
};

impl Dispatcher {
    /// Waits until all tables that a send depends on are fresh; returns false on timeout.
    pub(super) async fn wait_until_fresh(
        &self,
        request: &CallRequest,
    ) -> bool {
        let id = request.id_text();
        let has_adapter = request
            .generation
            .as_ref()
            .and_then(|g| g.adapter())
            .is_some();
        // The tables that the request was routed by may have become stale while it waited for its adapter.
        if request.credential.is_some()
            && !wait_until_fresh(&self.table, FreshnessCheck::Keys, id).await
        {
            return false;
        }
        if has_adapter && !wait_until_fresh(&self.table, FreshnessCheck::Versions, id).await {
            return false;
        }
        wait_until_fresh(&self.table, FreshnessCheck::Targets, id).await
    }

    /// Returns why a request must not be sent with its key any more: the key may have been revoked while the request
    /// waited seconds for its adapter.
    pub(super) fn key_error(
        &self,
        request: &CallRequest,
    ) -> Option<ErrorCause> {
        let credential = request.credential.as_ref()?;
        let key_status = self.table.borrow().key_status(credential, Instant::now());
        match key_status {
            KeyStatus::Valid => None,
            KeyStatus::Revoked => Some(ErrorCause::UnknownKey),
            KeyStatus::Reassigned | KeyStatus::Unconfirmed => Some(ErrorCause::StaleTables),
        }
    }

    /// Waits until a holder has reported the status of its engine, or until a time.
    pub(super) async fn wait_for_engine_reports(
        &self,
        until: Instant,
    ) {
        let update = self.table.borrow().engine_status_updates();
        tokio::select! {
            _ = update.notified() => {}
            _ = sleep_until(until) => {}
        }
    }

    /// Waits for an update on the request's adapter, or until a time.
    pub(super) async fn wait_for_adapter(
        &self,
        request: &CallRequest,
        until: Instant,
    ) {
        let Some(adapter) = request.generation.as_ref().and_then(|g| g.adapter()) else {
            sleep_until(until).await;
            return;
        };
        let waiter =
            AdapterWaiter::start(&self.table, &request.service.name, adapter, request.urgency);
        tokio::select! {
            _ = waiter.updated() => {}
            _ = sleep_until(until) => {}
        }
    }
}
