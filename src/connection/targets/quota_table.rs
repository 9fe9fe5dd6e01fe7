use {
    super::PendingReplies,
    crate::{
        connection::datagram::ChargeAnswer,
        metrics::{StateLabels, metrics},
        request::quotas::CustomerQuota,
    },
    std::collections::BTreeMap,
};

/// Customers' quota usage through this host, and the charges it awaits from other hosts.
#[derive(Debug, Default)]
pub struct QuotaTable {
    customers: BTreeMap<String, CustomerQuota>,
    pub pending_charges: PendingReplies<ChargeAnswer>,
}

impl QuotaTable {
    /// Returns the usage of a customer.
    pub fn of(
        &mut self,
        customer: &str,
    ) -> &mut CustomerQuota {
        if !self.customers.contains_key(customer) {
            let first_part = rand::random::<u32>() as usize;
            let usage = CustomerQuota::new(first_part);
            self.customers.insert(customer.to_string(), usage);
        }
        self.customers.get_mut(customer).expect("inserted above")
    }

    /// Delivers the answer to a charge; a late one is dropped, and what it granted is lost to the customer.
    pub fn on_answer(
        &self,
        answer: ChargeAnswer,
    ) {
        if !self.pending_charges.on_answer(answer.id, answer) {
            count_charge_request("late");
        }
    }
}

/// Counts a charge request by its outcome.
pub fn count_charge_request(state: &'static str) {
    let labels = StateLabels { state };
    metrics().quota_asks.get_or_create(&labels).inc();
}
