//! SWIM-style membership of the site's hosts, from probes, rumors and the platform's host list.

mod member;
mod membership;
mod rumor_queue;

pub use {
    member::{Liveness, Member},
    membership::{Heartbeat, Membership, MembershipAction, MembershipNews},
    rumor_queue::{Rumor, RumorQueue},
};
