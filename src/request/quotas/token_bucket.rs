use {super::BucketTerms, crate::clock::Instant, std::time::Duration};

/// A token bucket that begins empty: whoever counted before may have let all of it be spent a moment ago.
#[derive(Debug)]
pub struct TokenBucket {
    balance: f64,
    at: Instant,
}

impl TokenBucket {
    pub fn new(now: Instant) -> Self {
        Self {
            balance: 0.0,
            at: now,
        }
    }

    /// What it holds now; below zero after a request that cost more than it can hold.
    pub fn balance(
        &mut self,
        terms: &BucketTerms,
        now: Instant,
    ) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.balance = (self.balance + passed * terms.rate).min(terms.capacity);
        self.at = self.at.max(now);
        self.balance
    }

    /// Takes an amount out, or tells after which time it could. One that the bucket can't hold is taken out of a
    /// full one: its customer must be able to send it at all.
    pub fn take(
        &mut self,
        amount: f64,
        terms: &BucketTerms,
        now: Instant,
    ) -> Result<(), Duration> {
        let missing = amount.min(terms.capacity) - self.balance(terms, now);
        if missing > 0.0 {
            return Err(time_for(missing, terms.rate));
        }
        self.balance -= amount;
        Ok(())
    }

    /// Puts back what was taken out and not used.
    pub fn put_back(
        &mut self,
        amount: f64,
        terms: &BucketTerms,
        now: Instant,
    ) {
        self.balance = (self.balance(terms, now) + amount).min(terms.capacity);
    }
}

/// Time in which an amount comes in.
fn time_for(
    amount: f64,
    rate: f64,
) -> Duration {
    Duration::try_from_secs_f64(amount / rate).unwrap_or(Duration::MAX)
}
