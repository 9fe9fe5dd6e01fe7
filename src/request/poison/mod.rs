//! Poison: requests, and parts of prompts, under which the targets crash that process them; the evidence on them, and what
//! hosts exchange of it. No I/O.

mod crash_evidence;
mod crash_times;
mod fingerprint;
mod incarnation_id;
mod poison_key;
mod poison_ledger;
mod poison_record;
mod poison_report;
mod poison_status;
mod poison_update;
mod poison_verdict;

pub use {
    crash_evidence::CrashEvidence,
    crash_times::CrashTimes,
    fingerprint::Fingerprint,
    incarnation_id::IncarnationId,
    poison_key::{InvalidPoisonKey, PoisonKey},
    poison_ledger::{MAX_REJECTED, MAX_SUSPECTED, PoisonLedger},
    poison_record::{PoisonRecord, REJECTED_TTL, SUSPECTED_TTL},
    poison_report::{Accusation, PoisonReport},
    poison_status::PoisonStatus,
    poison_update::PoisonUpdate,
    poison_verdict::PoisonVerdict,
};
