//! Limits how often requests are repeated at targets, over all hosts of a site. Each host has a share of the allowance,
//! and hosts borrow unused quota from each other. No I/O.

mod borrowed;
mod budget_terms;
mod earned;
mod extra_share;
mod loan_asks;
mod paid;
mod recent_count;
mod repeat_budget;
mod usage;

pub use {
    borrowed::Borrowed,
    budget_terms::{ARRIVAL_LAG, BudgetTerms, LOAN_VALIDITY},
    paid::Paid,
    recent_count::{RecentCount, Rounding},
    repeat_budget::RepeatBudget,
    usage::RepeatUsage,
};
