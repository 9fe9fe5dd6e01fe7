//! What a request passes before it is sent to a target, in this order: that the configuration is young enough to route
//! it by (`belief_gate`), whose it is (`key_check`), whether that customer may use more (`quota_gate`); then before each
//! send whether keys, versions and the list of targets are young enough (`belief_gate`), for plain services, at which
//! target there is a place (`place_gate`), and whether a target that takes only so many requests takes this one
//! (`permit_gate`).

mod belief_gate;
mod key_check;
mod permit_gate;
mod place_gate;
mod quota_gate;

pub use {
    belief_gate::{Belief, HELD_COME_BACK, wait_until_confirmed},
    key_check::identify,
    permit_gate::take_permit,
    place_gate::{HeldPlace, PlaceFound, find_place},
    quota_gate::{Charged, charge},
};
