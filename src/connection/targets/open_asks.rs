use {
    std::{cell::RefCell, collections::HashMap, rc::Rc},
    tokio::sync::oneshot,
};

/// Asks to other hosts that were not answered yet, by their ids; cheap to clone.
#[derive(Debug)]
pub struct OpenAsks<A> {
    waiting: Rc<RefCell<HashMap<u64, oneshot::Sender<A>>>>,
}

impl<A> Default for OpenAsks<A> {
    fn default() -> Self {
        Self {
            waiting: Rc::default(),
        }
    }
}

impl<A> OpenAsks<A> {
    /// Begins to wait for the answer to an ask.
    pub fn start(
        &self,
        id: u64,
    ) -> OpenAsk<A> {
        let (waiting, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, waiting);
        OpenAsk {
            id,
            answer,
            all: self.waiting.clone(),
        }
    }

    /// An answer has come; false if nobody waits for it any more.
    pub fn on_answer(
        &self,
        id: u64,
        answer: A,
    ) -> bool {
        let waiting = self.waiting.borrow_mut().remove(&id);
        waiting.is_some_and(|waiting| waiting.send(answer).is_ok())
    }
}

/// An ask that is under way; forgotten when dropped.
pub struct OpenAsk<A> {
    id: u64,
    answer: oneshot::Receiver<A>,
    all: Rc<RefCell<HashMap<u64, oneshot::Sender<A>>>>,
}

impl<A> OpenAsk<A> {
    /// The answer; `None` if it can't come any more.
    pub async fn answer(&mut self) -> Option<A> {
        (&mut self.answer).await.ok()
    }
}

impl<A> Drop for OpenAsk<A> {
    fn drop(&mut self) {
        self.all.borrow_mut().remove(&self.id);
    }
}
