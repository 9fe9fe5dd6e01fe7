use {
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::sync::oneshot,
};

/// Replies that are awaited from other hosts, by request id; cheap to clone.
#[derive(Debug)]
pub struct PendingReplies<A> {
    waiting: Rc<RefCell<HashMap<u64, oneshot::Sender<A>>>>,
}

impl<A> Default for PendingReplies<A> {
    fn default() -> Self {
        Self {
            waiting: Rc::default(),
        }
    }
}

impl<A> PendingReplies<A> {
    /// Registers a request whose reply is awaited.
    pub fn register(
        &self,
        id: u64,
    ) -> PendingReply<A> {
        let (waiting, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, waiting);
        PendingReply {
            id,
            answer,
            all: self.waiting.clone(),
        }
    }

    /// Delivers a reply; returns false if it is no longer awaited.
    pub fn on_answer(
        &self,
        id: u64,
        answer: A,
    ) -> bool {
        let waiting = self.waiting.borrow_mut().remove(&id);
        waiting.is_some_and(|waiting| waiting.send(answer).is_ok())
    }
}

/// A reply that is awaited; unregistered when dropped.
pub struct PendingReply<A> {
    id: u64,
    answer: oneshot::Receiver<A>,
    all: Rc<RefCell<HashMap<u64, oneshot::Sender<A>>>>,
}

impl<A> PendingReply<A> {
    /// Returns the reply; `None` if it can no longer arrive.
    pub async fn answer(&mut self) -> Option<A> {
        (&mut self.answer).await.ok()
    }
}

impl<A> Drop for PendingReply<A> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}
