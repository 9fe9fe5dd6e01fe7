//! SWIM-style membership of the site's hosts, from probes, rumors and the platform's host list.

mod member;
mod membership;
mod rumor_queue;

pub use {
    member::{Liveness, Member},
    membership::{Heartbeat, ListingChange, LivenessChange, Membership, MembershipAction},
    rumor_queue::{Rumor, RumorQueue},
};
