use {
    super::{Customer, KeyDigest},
    std::{collections::HashMap, sync::Arc},
};

/// The customers of one configuration, indexed by key and by name.
#[derive(Debug, Clone, Default)]
pub struct Customers {
    by_key: HashMap<KeyDigest, Arc<Customer>>,
    by_name: HashMap<String, Arc<Customer>>,
    /// Number of times that a key was listed for a second customer.
    duplicate_keys: usize,
}

impl Customers {
    /// Adds a customer with the digests of its keys; a key that another customer has already stays with that one.
    pub fn add(
        &mut self,
        customer: Customer,
        keys: impl IntoIterator<Item = KeyDigest>,
    ) {
        let customer = Arc::new(customer);
        for key in keys {
            let owner = self.by_key.entry(key).or_insert_with(|| customer.clone());
            if !Arc::ptr_eq(owner, &customer) {
                self.duplicate_keys += 1;
            }
        }
        self.by_name.insert(customer.name.clone(), customer);
    }

    /// Returns true if there are no customers, in which case requests need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns true if any customer has a limit.
    pub fn has_limits(&self) -> bool {
        self.iter().any(|customer| customer.limit.is_some())
    }

    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }

    /// Returns the customer that a key belongs to.
    pub fn find_by_key(
        &self,
        key: &KeyDigest,
    ) -> Option<&Arc<Customer>> {
        self.by_key.get(key)
    }

    pub fn find_by_name(
        &self,
        name: &str,
    ) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// Returns the number of distinct keys of all customers.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns how often a key was listed for a second customer, which is a configuration error.
    pub fn duplicate_key_count(&self) -> usize {
        self.duplicate_keys
    }
}
