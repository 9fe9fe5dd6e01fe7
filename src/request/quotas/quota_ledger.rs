use {
    super::{BucketLimits, TokenBucket, recent_grants::RecentGrants},
    crate::clock::Instant,
    std::{collections::HashMap, time::Duration},
};

/// Maximum fraction of a bucket that one charge may prefetch, so that a host doesn't take what others need next.
const MAX_PREFETCH_FRACTION: f64 = 0.125;

/// A host's request for a customer's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge {
    /// Identifies retransmissions and refunds.
    pub id: u64,
    /// Units for the pending request.
    pub need: f64,
    /// Units for requests that are expected next.
    pub prefetch: f64,
}

/// One customer's account for one part of its limit.
#[derive(Debug)]
struct Account {
    bucket: TokenBucket,
    grants: RecentGrants,
}

/// Accounts of many customers, for the parts that this host counts.
///
/// Only one host counts a part at a time, under a lease, and starts with empty buckets. So a change of hosts or a
/// restart allows no more in a window than an undisturbed one: what the previous host granted plus what has accrued
/// since.
#[derive(Debug)]
pub struct QuotaLedger {
    accounts: HashMap<String, Account>,
    /// Buckets accrue from then on.
    started: Instant,
    /// How long grants can be refunded.
    window: Duration,
}

impl QuotaLedger {
    pub fn new(
        window: Duration,
        now: Instant,
    ) -> Self {
        Self {
            accounts: HashMap::new(),
            started: now,
            window,
        }
    }

    /// Grants a charge, or returns the time after which it could be granted.
    pub fn charge(
        &mut self,
        customer: &str,
        limits: &BucketLimits,
        charge: Charge,
        now: Instant,
    ) -> Result<f64, Duration> {
        let account = self.account(customer);
        if let Some(granted) = account.grants.get(charge.id) {
            return Ok(granted);
        }
        account.bucket.take(charge.need, limits, now)?;
        let available = account.bucket.balance(limits, now).max(0.0);
        let prefetch = charge.prefetch.min(available * MAX_PREFETCH_FRACTION);
        let prefetch = match account.bucket.take(prefetch, limits, now) {
            Ok(()) => prefetch,
            Err(_) => 0.0,
        };
        let granted = charge.need + prefetch;
        account.grants.add(charge.id, granted, now);
        Ok(granted)
    }

    /// Refunds an unused amount of a grant; only the first refund of a grant counts.
    pub fn refund(
        &mut self,
        customer: &str,
        limits: &BucketLimits,
        id: u64,
        amount: f64,
        now: Instant,
    ) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        if let Some(granted) = account.grants.remove(id, now) {
            account.bucket.refund(amount.min(granted), limits, now);
        }
    }

    /// Returns the available units of a customer's account.
    pub fn available(
        &mut self,
        customer: &str,
        limits: &BucketLimits,
        now: Instant,
    ) -> f64 {
        self.account(customer).bucket.balance(limits, now)
    }

    fn account(
        &mut self,
        customer: &str,
    ) -> &mut Account {
        if !self.accounts.contains_key(customer) {
            let account = Account {
                bucket: TokenBucket::new(self.started),
                grants: RecentGrants::new(self.window),
            };
            self.accounts.insert(customer.to_string(), account);
        }
        self.accounts.get_mut(customer).expect("inserted above")
    }
}
