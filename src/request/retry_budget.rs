use std::{collections::HashMap, sync::Mutex};

/// Maximum retry credit of a service, in requests.
const MAX_CREDIT: f64 = 10.0;

/// Limits the retries of each service to a share of its first attempts, to avoid retry storms.
#[derive(Debug, Default)]
pub struct RetryBudget {
    credit: Mutex<HashMap<String, f64>>,
}

impl RetryBudget {
    /// Adds `max_targets` of a retry to the credit of a service, for a first attempt.
    pub fn deposit(
        &self,
        service: &str,
        share: f64,
    ) {
        let mut credit = self.credit.lock().expect("no holder panics");
        match credit.get_mut(service) {
            Some(credit) => *credit = (*credit + share).min(MAX_CREDIT),
            None => drop(credit.insert(service.to_string(), MAX_CREDIT)),
        }
    }

    /// Takes one retry from the credit of a service. Returns false if there is too little.
    pub fn withdraw(
        &self,
        service: &str,
    ) -> bool {
        let mut credit = self.credit.lock().expect("no holder panics");
        match credit.get_mut(service) {
            Some(credit) if *credit >= 1.0 => {
                *credit -= 1.0;
                true
            }
            _ => false,
        }
    }
}
