//! Customer quotas over all hosts of a site: each part of a customer's limit is counted by one host, from which the
//! others request quota. No I/O.

mod customer_quota;
mod quota_ledger;
mod quota_slot;
mod quota_terms;
mod recent_grants;
mod token_bucket;

pub use {
    customer_quota::{AskedParts, CustomerQuota, QuotaStep},
    quota_ledger::{Charge, QuotaLedger},
    quota_slot::{SLOTS, slot_for, slot_name, slot_of},
    quota_terms::{BucketTerms, GRANT_VALIDITY, PARTS, QuotaTerms},
    token_bucket::TokenBucket,
};
