use {
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::sync::oneshot,
};

/// Replies that are awaited from other hosts, by request id; cheap to clone.
#[derive(Debug)]
pub struct PendingReplies<A> {
    senders: Rc<RefCell<HashMap<u64, oneshot::Sender<A>>>>,
}

impl<A> Default for PendingReplies<A> {
    fn default() -> Self {
        Self {
            senders: Rc::default(),
        }
    }
}

impl<A> PendingReplies<A> {
    /// Registers a request whose reply is awaited.
    pub fn register(
        &self,
        id: u64,
    ) -> PendingReply<A> {
        let (sender, reply) = oneshot::channel();
        self.senders.borrow_mut().insert(id, sender);
        PendingReply {
            id,
            reply,
            senders: self.senders.clone(),
        }
    }

    /// Delivers a reply; returns false if it is no longer awaited.
    pub fn on_answer(
        &self,
        id: u64,
        reply: A,
    ) -> bool {
        let sender = self.senders.borrow_mut().remove(&id);
        sender.is_some_and(|sender| sender.send(reply).is_ok())
    }
}

/// A reply that is awaited; unregistered when dropped.
pub struct PendingReply<A> {
    id: u64,
    reply: oneshot::Receiver<A>,
    senders: Rc<RefCell<HashMap<u64, oneshot::Sender<A>>>>,
}

impl<A> PendingReply<A> {
    /// Returns the reply; `None` if it can no longer arrive.
    pub async fn answer(&mut self) -> Option<A> {
        (&mut self.reply).await.ok()
    }
}

impl<A> Drop for PendingReply<A> {
    fn drop(&mut self) {
        self.senders.borrow_mut().remove(&self.id);
    }
}
