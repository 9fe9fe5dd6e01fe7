//! Permits to send to targets whose request rate is limited over all hosts. One host counts per target; the others
//! request a permit from it before each send. No I/O.

mod permit_allocator;
mod permit_host;
mod rate_bucket;
mod rejection_budget;

pub use {
    permit_allocator::PermitAllocator,
    permit_host::permit_host,
    rate_bucket::RateBucket,
    rejection_budget::{BudgetUsage, PermitEvent, RejectionBudgets},
};
