//! Leave to send to targets that take only so many requests a second from all hosts together. One host counts for each
//! target; the others ask it before each send. Nothing here waits or sends.

mod permit_desk;
mod permit_giver;
mod rate_bucket;

pub use {permit_desk::PermitDesk, permit_giver::permit_giver, rate_bucket::RateBucket};
