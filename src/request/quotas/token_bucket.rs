use {super::BucketLimits, crate::clock::Instant, std::time::Duration};

/// A token bucket that starts empty, since a previous host may just have granted all of it.
#[derive(Debug)]
pub struct TokenBucket {
    balance: f64,
    updated_at: Instant,
}

impl TokenBucket {
    pub fn new(now: Instant) -> Self {
        Self {
            balance: 0.0,
            updated_at: now,
        }
    }

    /// Returns the current balance; negative after a request that cost more than the capacity.
    pub fn balance(
        &mut self,
        limits: &BucketLimits,
        now: Instant,
    ) -> f64 {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.balance = (self.balance + passed * limits.rate).min(limits.capacity);
        self.updated_at = self.updated_at.max(now);
        self.balance
    }

    /// Takes an amount, or returns the time after which it could be taken. An amount above the capacity is taken from a
    /// full bucket; otherwise it could never be granted.
    pub fn take(
        &mut self,
        amount: f64,
        limits: &BucketLimits,
        now: Instant,
    ) -> Result<(), Duration> {
        let missing = amount.min(limits.capacity) - self.balance(limits, now);
        if missing > 0.0 {
            return Err(time_to_accrue(missing, limits.rate));
        }
        self.balance -= amount;
        Ok(())
    }

    /// Returns an unused amount to the bucket.
    pub fn refund(
        &mut self,
        amount: f64,
        limits: &BucketLimits,
        now: Instant,
    ) {
        self.balance = (self.balance(limits, now) + amount).min(limits.capacity);
    }
}

/// Returns the time in which an amount accrues.
fn time_to_accrue(
    amount: f64,
    rate: f64,
) -> Duration {
    Duration::try_from_secs_f64(amount / rate).unwrap_or(Duration::MAX)
}
