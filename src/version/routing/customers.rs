use {
    super::{Customer, KeyDigest},
    std::{collections::HashMap, sync::Arc},
};

/// The customers of one configuration, found by their keys.
#[derive(Debug, Clone, Default)]
pub struct Customers {
    by_key: HashMap<KeyDigest, Arc<Customer>>,
    by_name: HashMap<String, Arc<Customer>>,
    /// Keys that stand at more than one customer.
    shared_keys: usize,
}

impl Customers {
    /// Takes a customer in, with the digests of its keys. A key that stands at another one already stays there.
    pub fn add(
        &mut self,
        customer: Customer,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) {
        let customer = Arc::new(customer);
        for key in keys {
            let known = self.by_key.entry(key).or_insert_with(|| customer.clone());
            if !Arc::ptr_eq(known, &customer) {
                self.shared_keys += 1;
            }
        }
        self.by_name.insert(customer.name.clone(), customer);
    }

    /// True if there are none, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// True if one of them has a limit.
    pub fn any_limited(&self) -> bool {
        self.iter().any(|customer| customer.limit.is_some())
    }

    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }

    /// The customer that a key belongs to.
    pub fn of_key(
        &self,
        key: &KeyDigest,
    ) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }

    /// The customer of this name.
    pub fn named(
        &self,
        name: &str,
    ) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Keys, over all customers.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Keys that stand at more than one customer: an operators' mistake.
    pub fn shared_key_count(&self) -> usize {
        self.shared_keys
    }
}
