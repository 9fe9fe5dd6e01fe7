//! Poison requests, which crash the targets that process them: their identification, the evidence against them, and its
//! exchange between hosts. No I/O.

mod fingerprint;
mod poison_ledger;
mod poison_record;
mod poison_report;
mod standing;
mod strike;
mod told_poison;

pub use {
    fingerprint::Fingerprint,
    poison_ledger::{MAX_REFUSED, MAX_SUSPECTED, PoisonLedger},
    poison_record::{KEEP_REFUSED, KEEP_SUSPECTED, PoisonRecord},
    poison_report::PoisonReport,
    standing::Standing,
    strike::{Strike, TargetEnd},
    told_poison::ToldPoison,
};
