//! Poison requests, which crash the targets that process them: their identification, the evidence against them, and its
//! exchange between hosts. No I/O.

mod crash_evidence;
mod fingerprint;
mod incarnation_id;
mod poison_ledger;
mod poison_record;
mod poison_report;
mod poison_status;
mod poison_update;

pub use {
    crash_evidence::CrashEvidence,
    fingerprint::Fingerprint,
    incarnation_id::IncarnationId,
    poison_ledger::{MAX_REJECTED, MAX_SUSPECTED, PoisonLedger},
    poison_record::{PoisonRecord, REJECTED_TTL, SUSPECTED_TTL},
    poison_report::PoisonReport,
    poison_status::PoisonStatus,
    poison_update::PoisonUpdate,
};
