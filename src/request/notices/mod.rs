//! Notices that targets send in response headers: that they are shutting down, that they need a backoff, the request rate
//! that they accept from all hosts together, and the rate of rejections at which they fall over. No I/O.

mod announced_rate;
mod availability;
mod notice;
mod notice_registry;
mod target_notices;

pub use {
    announced_rate::AnnouncedRate,
    availability::Availability,
    notice::{InvalidNoticeHeader, Notice, NoticeHeaders, RateHeader},
    notice_registry::NoticeRegistry,
    target_notices::{NoticeChange, TargetNotices},
};
