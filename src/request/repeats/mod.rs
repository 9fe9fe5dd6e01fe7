//! Limits how often requests are repeated at targets, over all hosts of a site. Each host has a share of the allowance,
//! and hosts borrow unused quota from each other. No I/O.

mod borrowed;
mod earned;
mod extra_share;
mod loan_asks;
mod paid;
mod recent_count;
mod repeat_budget;
mod repeat_policy;
mod usage;

pub use {
    borrowed::Borrowed,
    paid::Paid,
    recent_count::{RecentCount, Rounding},
    repeat_budget::RepeatBudget,
    repeat_policy::{ARRIVAL_LAG, LOAN_VALIDITY, RepeatPolicy},
    usage::RepeatUsage,
};
