use {
    crate::connection::targets::TargetTable,
    std::{cell::RefCell, rc::Rc},
    tokio::sync::Notify,
};

/// Counts a request as waiting for an adapter until dropped.
pub struct AdapterWaiter {
    board: Rc<RefCell<TargetTable>>,
    adapter: String,
    update: Rc<Notify>,
}

impl AdapterWaiter {
    pub fn start(
        board: &Rc<RefCell<TargetTable>>,
        adapter: &str,
        priority: u8,
    ) -> Self {
        Self {
            update: board.borrow_mut().start_waiting(adapter, priority),
            board: board.clone(),
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
        self.board.borrow_mut().stop_waiting(&self.adapter);
    }
}
