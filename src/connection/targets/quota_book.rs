use {
    super::TargetBoard,
    crate::{
        connection::datagram::{ChargeAnswer, ChargeAsk},
        metrics::{StateLabels, metrics},
        request::quotas::{Charge, CustomerUse, slot_for},
    },
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        rc::Rc,
    },
    tokio::sync::oneshot,
};

/// Customers' use as this host's requests ask for it, and the asks that were not answered yet.
#[derive(Debug, Default)]
pub struct QuotaBook {
    customers: BTreeMap<String, CustomerUse>,
    open: HashMap<u64, oneshot::Sender<ChargeAnswer>>,
}

impl QuotaBook {
    /// What is known here of a customer's use.
    pub fn of(
        &mut self,
        customer: &str,
    ) -> &mut CustomerUse {
        if !self.customers.contains_key(customer) {
            let first_part = rand::random::<u32>() as usize;
            let known = CustomerUse::new(first_part);
            self.customers.insert(customer.to_string(), known);
        }
        self.customers
            .get_mut(customer)
            .expect("it was just put there")
    }

    /// The host that counts a part of a customer's use has answered. One that nobody waits for any more is passed over:
    /// what it granted is lost to the customer, no more.
    pub fn on_answer(
        &mut self,
        answer: ChargeAnswer,
    ) {
        if let Some(waiting) = self.open.remove(&answer.id) {
            let _ = waiting.send(answer);
        } else {
            count("late");
        }
    }
}

/// An ask that is under way; forgotten when dropped.
pub struct AskGuard {
    board: Rc<RefCell<TargetBoard>>,
    id: u64,
    answer: oneshot::Receiver<ChargeAnswer>,
}

impl AskGuard {
    /// Asks the host that counts a part of a customer's use; `None` if nobody is known to.
    pub fn start(
        board: &Rc<RefCell<TargetBoard>>,
        customer: &str,
        part: usize,
        charge: Charge,
    ) -> Option<Self> {
        let (waiting, answer) = oneshot::channel();
        let id = charge.id;
        let ask = ChargeAsk {
            slot: slot_for(customer, part) as u32,
            customer: customer.to_string(),
            id,
            need: charge.need.ceil() as u32,
            ahead: charge.ahead.floor() as u32,
        };
        let mut borrowed = board.borrow_mut();
        if !borrowed.ask_charge(ask) {
            count("nobody");
            return None;
        }
        count("asked");
        borrowed.quotas.open.insert(id, waiting);
        drop(borrowed);
        Some(Self {
            board: board.clone(),
            id,
            answer,
        })
    }

    /// The answer; `None` if it can't come any more.
    pub async fn answer(&mut self) -> Option<ChargeAnswer> {
        (&mut self.answer).await.ok()
    }
}

impl Drop for AskGuard {
    fn drop(&mut self) {
        self.board.borrow_mut().quotas.open.remove(&self.id);
    }
}

fn count(state: &'static str) {
    let labels = StateLabels { state };
    metrics().quota_asks.get_or_create(&labels).inc();
}
