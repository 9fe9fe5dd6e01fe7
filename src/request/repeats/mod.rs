//! How often requests may arrive at targets again, over all hosts of a site: each host has a part of the
//! allowance, and hosts lend each other what they are unlikely to need. Nothing here waits or sends.

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
