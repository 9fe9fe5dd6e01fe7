use {crate::clock::Instant, std::collections::VecDeque};

#[derive(Debug)]
struct Entry {
    amount: f64,
    expires_at: Instant,
}

/// Amounts that each expire at a time of their own.
#[derive(Debug, Default)]
pub struct ExpiringBalance {
    entries: VecDeque<Entry>,
}

impl ExpiringBalance {
    pub fn add(
        &mut self,
        amount: f64,
        expires_at: Instant,
    ) {
        let index = self
            .entries
            .partition_point(|entry| entry.expires_at <= expires_at);
        self.entries.insert(index, Entry { amount, expires_at });
    }

    pub fn available(
        &mut self,
        now: Instant,
    ) -> f64 {
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.expires_at <= now)
        {
            self.entries.pop_front();
        }
        // Not `sum`, which returns -0.0 for an empty iterator.
        self.entries
            .iter()
            .fold(0.0, |sum, entry| sum + entry.amount)
    }

    /// Spends up to this amount, earliest expiry first; returns the amount spent.
    pub fn spend(
        &mut self,
        amount: f64,
        now: Instant,
    ) -> f64 {
        self.available(now);
        let mut spent = 0.0;
        while let Some(entry) = self.entries.front_mut() {
            let part = entry.amount.min(amount - spent);
            entry.amount -= part;
            spent += part;
            if entry.amount > 0.0 {
                break;
            }
            self.entries.pop_front();
        }
        spent
    }
}
