//! Ownership of targets by hosts: session leases, ownership rows and the assignment of targets.

mod assignment;
mod owner_row;
mod ownership;
mod session_lease;
mod session_watch;

pub use {
    assignment::{assign, rank},
    owner_row::{
        OWNER_PREFIX, OwnerRow, SESSION_PREFIX, SessionRow, era_of, owner_key, session_key,
    },
    ownership::{OwnedTarget, OwnerChange, Ownership, OwnershipAction},
    session_lease::SessionLease,
    session_watch::SessionWatch,
};
