use {
    super::{BucketTerms, TokenBucket, recent_grants::RecentGrants},
    crate::clock::Instant,
    std::{collections::HashMap, time::Duration},
};

/// Part of what a bucket holds that one ask gets ahead of its need, so that no host takes what others need a moment
/// later.
const AHEAD_PART: f64 = 0.125;

/// What a host asks for on behalf of a customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge {
    /// Names the ask to whoever answers it.
    pub id: u64,
    /// For the request that waits.
    pub need: f64,
    /// For those that are likely to follow at once.
    pub ahead: f64,
}

/// One part of a customer's limit, as the host counts it that holds this part.
#[derive(Debug)]
struct Account {
    bucket: TokenBucket,
    grants: RecentGrants,
}

/// Counts the use of many customers, each by a part of its limit.
///
/// Only one host does so at a time for each part, as it does give orders to an engine; it begins with empty
/// buckets. So a window that spans a change of hosts, or a start of one anew, brings no more than one without: what
/// the host before let be spent, and what came in since.
#[derive(Debug)]
pub struct QuotaLedger {
    accounts: HashMap<String, Account>,
    /// Buckets fill since then.
    started: Instant,
    /// For how long unused grants may come back.
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

    /// Grants what a host asks for, or tells after which time it could.
    pub fn charge(
        &mut self,
        customer: &str,
        terms: &BucketTerms,
        charge: Charge,
        now: Instant,
    ) -> Result<f64, Duration> {
        let account = self.account(customer);
        if let Some(granted) = account.grants.get(charge.id) {
            return Ok(granted);
        }
        account.bucket.take(charge.need, terms, now)?;
        let left = account.bucket.balance(terms, now).max(0.0);
        let ahead = charge.ahead.min(left * AHEAD_PART);
        let ahead = match account.bucket.take(ahead, terms, now) {
            Ok(()) => ahead,
            Err(_) => 0.0,
        };
        let granted = charge.need + ahead;
        account.grants.add(charge.id, granted, now);
        Ok(granted)
    }

    /// So much of what an ask was granted is not used after all.
    pub fn refund(
        &mut self,
        customer: &str,
        terms: &BucketTerms,
        id: u64,
        amount: f64,
        now: Instant,
    ) {
        let Some(account) = self.accounts.get_mut(customer) else {
            return;
        };
        if let Some(granted) = account.grants.take(id, now) {
            account.bucket.put_back(amount.min(granted), terms, now);
        }
    }

    /// What is left of a customer's part.
    pub fn left(
        &mut self,
        customer: &str,
        terms: &BucketTerms,
        now: Instant,
    ) -> f64 {
        self.account(customer).bucket.balance(terms, now)
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
        self.accounts
            .get_mut(customer)
            .expect("it was just put there")
    }
}
