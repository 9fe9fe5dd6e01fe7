//! Admission control: the checks that a request passes before it is sent to a target.
//!
//! Once per request: the configuration is fresh enough to route by (`freshness_gate`), the key is valid (`key_check`)
//! and the customer has quota left (`quota_gate`). Before each send: keys, versions and the list of targets are fresh
//! enough (`freshness_gate`), a target of a plain service has a free slot (`slot_gate`), a rate-limited or
//! brittle target grants a permit (`permit_gate`), and a repeat is covered by the budget of its service (`repeat_gate`).

mod freshness_gate;
mod held_permit;
mod key_check;
mod permit_gate;
mod quota_gate;
mod repeat_gate;
mod slot_gate;

pub use {
    freshness_gate::{FreshnessCheck, STALE_RETRY_AFTER, wait_until_fresh},
    held_permit::HeldPermit,
    key_check::identify,
    permit_gate::{Permit, acquire_permit},
    quota_gate::{QuotaCharge, charge},
    repeat_gate::{charge_repeat, wait_for_budget},
    slot_gate::{HeldSlot, SlotAcquisition, acquire_slot},
};
