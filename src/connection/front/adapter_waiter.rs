use {
    crate::connection::targets::TargetTable,
    std::{cell::RefCell, rc::Rc},
    tokio::sync::Notify,
};

/// Counts a request as waiting for an adapter until dropped.
pub struct AdapterWaiter {
    table: Rc<RefCell<TargetTable>>,
    service: String,
    adapter: String,
    update: Rc<Notify>,
}

impl AdapterWaiter {
    pub fn start(
        table: &Rc<RefCell<TargetTable>>,
        service: &str,
        adapter: &str,
        priority: u8,
    ) -> Self {
        let mut targets = table.borrow_mut();
        targets.unplaced(service).on_wait();
        Self {
            update: targets.start_waiting(adapter, priority),
            table: table.clone(),
            service: service.to_string(),
            adapter: adapter.to_string(),
        }
    }

    /// Waits for an update on the adapter.
    pub async fn updated(&self) {
        self.update.notified().await;
    }
}

impl Drop for AdapterWaiter {
    fn drop(&mut self) {
        let mut table = self.table.borrow_mut();
        table.unplaced(&self.service).on_wait_over();
        table.stop_waiting(&self.adapter);
    }
}
