use std::{collections::HashMap, sync::Mutex};

/// Resends that a quiet service may make at once.
const RESERVE: f64 = 10.0;

/// Lets each service resend a share of what it first sends, so that retries cannot pile up.
#[derive(Debug, Default)]
pub struct RetryBudget {
    credit: Mutex<HashMap<String, f64>>,
}

impl RetryBudget {
    /// A first send earns the service's share of a resend.
    pub fn earn(
        &self,
        service: &str,
        share: f64,
    ) {
        let mut credit = self.credit.lock().expect("no holder panics");
        match credit.get_mut(service) {
            Some(credit) => *credit = (*credit + share).min(RESERVE),
            None => drop(credit.insert(service.to_string(), RESERVE)),
        }
    }

    /// Takes one resend; false when the service has used up its share.
    pub fn spend(
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
