//! Permits to send to targets whose request rate is limited over all hosts. One host counts per target; the others
//! request a permit from it before each send. No I/O.

mod permit_allocator;
mod permit_host;
mod rate_bucket;

pub use {permit_allocator::PermitAllocator, permit_host::permit_host, rate_bucket::RateBucket};
