use {
    crate::connection::datagram::OriginAnswer,
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::sync::mpsc,
};

/// An answer in the search for the origin of a stream.
#[derive(Debug, Clone, PartialEq)]
pub enum OriginReply {
    /// This host's own, and how many others it has asked.
    Own {
        answer: OriginAnswer,
        asked: u32,
    },
    Other(OriginAnswer),
}

impl OriginReply {
    fn id(&self) -> u64 {
        match self {
            Self::Own { answer, .. } | Self::Other(answer) => answer.id,
        }
    }
}

type Senders = Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<OriginReply>>>>;

/// Searches for origins of streams that await replies, by the id of the search.
#[derive(Debug, Default)]
pub struct OriginReplies {
    senders: Senders,
}

impl OriginReplies {
    /// Registers a search.
    pub fn register(
        &self,
        id: u64,
    ) -> PendingOrigin {
        let (sender, replies) = mpsc::unbounded_channel();
        self.senders.borrow_mut().insert(id, sender);
        PendingOrigin {
            id,
            replies,
            senders: self.senders.clone(),
        }
    }

    /// Delivers a reply, unless it is no longer awaited.
    pub fn on_reply(
        &self,
        reply: OriginReply,
    ) {
        if let Some(sender) = self.senders.borrow().get(&reply.id()) {
            let _ = sender.send(reply);
        }
    }
}

/// A search that awaits replies; unregistered when dropped.
pub struct PendingOrigin {
    id: u64,
    replies: mpsc::UnboundedReceiver<OriginReply>,
    senders: Senders,
}

impl PendingOrigin {
    /// Returns the next reply; `None` if none can come any more.
    pub async fn next(&mut self) -> Option<OriginReply> {
        self.replies.recv().await
    }
}

impl Drop for PendingOrigin {
    fn drop(&mut self) {
        self.senders.borrow_mut().remove(&self.id);
    }
}
