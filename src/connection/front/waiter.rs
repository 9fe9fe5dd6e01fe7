use {
    crate::connection::targets::TargetTable,
    std::{cell::RefCell, rc::Rc},
    tokio::sync::Notify,
};

/// Counts a request as waiting for an adapter until dropped.
pub struct Waiter {
    board: Rc<RefCell<TargetTable>>,
    adapter: String,
    news: Rc<Notify>,
}

impl Waiter {
    pub fn start(
        board: &Rc<RefCell<TargetTable>>,
        adapter: &str,
        priority: u8,
    ) -> Self {
        Self {
            news: board.borrow_mut().start_waiting(adapter, priority),
            board: board.clone(),
            adapter: adapter.to_string(),
        }
    }

    /// Waits for news of the adapter.
    pub async fn news(&self) {
        self.news.notified().await;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.board.borrow_mut().stop_waiting(&self.adapter);
    }
}
