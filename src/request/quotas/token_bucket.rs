use {super::BucketLimits, crate::clock::Instant, std::time::Duration};

/// A token bucket that starts empty, since a previous host may just have granted all of it.
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

    /// Returns the current balance; negative after a request that cost more than the capacity.
    pub fn balance(
        &mut self,
        terms: &BucketLimits,
        now: Instant,
    ) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.balance = (self.balance + passed * terms.rate).min(terms.capacity);
        self.at = self.at.max(now);
        self.balance
    }

    /// Takes an amount, or returns the time after which it could be taken. An amount above the capacity is taken from a
    /// full bucket; otherwise it could never be granted.
    pub fn take(
        &mut self,
        amount: f64,
        terms: &BucketLimits,
        now: Instant,
    ) -> Result<(), Duration> {
        let missing = amount.min(terms.capacity) - self.balance(terms, now);
        if missing > 0.0 {
            return Err(time_for(missing, terms.rate));
        }
        self.balance -= amount;
        Ok(())
    }

    /// Returns an unused amount to the bucket.
    pub fn put_back(
        &mut self,
        amount: f64,
        terms: &BucketLimits,
        now: Instant,
    ) {
        self.balance = (self.balance(terms, now) + amount).min(terms.capacity);
    }
}

/// Returns the time in which an amount accrues.
fn time_for(
    amount: f64,
    rate: f64,
) -> Duration {
    Duration::try_from_secs_f64(amount / rate).unwrap_or(Duration::MAX)
}
