//! Customer quotas over all hosts of a site: each part of a customer's limit is counted by one host, from which the
//! others request quota. No I/O.

mod customer_quota;
mod quota_ledger;
mod quota_policy;
mod quota_shard;
mod recent_grants;
mod token_bucket;

pub use {
    customer_quota::{CustomerQuota, QuotaStep, TriedParts},
    quota_ledger::{Charge, QuotaLedger},
    quota_policy::{BucketLimits, GRANT_TTL, LIMIT_PARTS, QuotaPolicy},
    quota_shard::{QUOTA_SHARDS, shard_for, shard_lease, shard_of_lease},
    token_bucket::TokenBucket,
};
