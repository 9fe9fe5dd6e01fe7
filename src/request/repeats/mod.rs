//! Limits how often requests are repeated at targets, over all hosts of a site. Each host has a share of the allowance,
//! and hosts borrow unused quota from each other. No I/O.

mod accrued_quota;
mod borrow_requests;
mod expiring_balance;
mod host_share;
mod repeat_budget;
mod repeat_charge;
mod repeat_policy;
mod sliding_sum;
mod usage;

pub use {
    expiring_balance::ExpiringBalance,
    repeat_budget::RepeatBudget,
    repeat_charge::RepeatCharge,
    repeat_policy::{BORROWED_TTL, MAX_ARRIVAL_DELAY, RepeatPolicy},
    sliding_sum::{Rounding, SlidingSum},
    usage::RepeatUsage,
};
