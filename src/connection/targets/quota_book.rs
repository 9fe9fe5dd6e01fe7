use {
    super::OpenAsks,
    crate::{
        connection::datagram::ChargeAnswer,
        metrics::{StateLabels, metrics},
        request::quotas::CustomerQuota,
    },
    std::collections::BTreeMap,
};

/// Customers' use as this host's requests ask for it.
#[derive(Debug, Default)]
pub struct QuotaBook {
    customers: BTreeMap<String, CustomerQuota>,
    pub asks: OpenAsks<ChargeAnswer>,
}

impl QuotaBook {
    /// What is known here of a customer's use.
    pub fn of(
        &mut self,
        customer: &str,
    ) -> &mut CustomerQuota {
        if !self.customers.contains_key(customer) {
            let first_part = rand::random::<u32>() as usize;
            let known = CustomerQuota::new(first_part);
            self.customers.insert(customer.to_string(), known);
        }
        self.customers
            .get_mut(customer)
            .expect("it was just put there")
    }

    /// The host that counts a part of a customer's use has answered. One that nobody waits for any more is passed over:
    /// what it granted is lost to the customer, no more.
    pub fn on_answer(
        &self,
        answer: ChargeAnswer,
    ) {
        if !self.asks.on_answer(answer.id, answer) {
            count_ask("late");
        }
    }
}

/// Counts an ask whether a customer may use more, by what became of it.
pub fn count_ask(state: &'static str) {
    let labels = StateLabels { state };
    metrics().quota_asks.get_or_create(&labels).inc();
}
