use {
    crate::connection::targets::TargetTable,
    std::{cell::RefCell, rc::Rc},
    tokio::sync::Notify,
};

/// Counts a request as waiting for an adapter until dropped.
pub struct AdapterWaiter {
    table: Rc<RefCell<TargetTable>>,
    adapter: String,
    update: Rc<Notify>,
}

impl AdapterWaiter {
    pub fn start(
        table: &Rc<RefCell<TargetTable>>,
        adapter: &str,
        priority: u8,
    ) -> Self {
        Self {
            update: table.borrow_mut().start_waiting(adapter, priority),
            table: table.clone(),
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
        self.table.borrow_mut().stop_waiting(&self.adapter);
    }
}
