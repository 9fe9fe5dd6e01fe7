//! Notices that targets send in response headers: that they are shutting down, that they need a backoff, and the
//! request rate that they accept from all hosts together. No I/O.

mod announced_limit;
mod availability;
mod brittleness;
mod notice;
mod notice_registry;
mod target_notices;

pub use {
    announced_limit::AnnouncedLimit,
    availability::Availability,
    brittleness::Brittleness,
    notice::{InvalidNoticeHeader, LimitHeader, Notice, NoticeHeaders},
    notice_registry::NoticeRegistry,
    target_notices::{NoticeChange, TargetNotices},
};
