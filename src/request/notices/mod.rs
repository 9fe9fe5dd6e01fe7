//! What targets say of themselves in the heads of their answers: that they leave, that they want rest, and how many
//! requests a second they take from all hosts together. Nothing here waits or sends.

mod named_limit;
mod notice;
mod notice_book;
mod openness;
mod target_notices;

pub use {
    named_limit::NamedLimit,
    notice::{LimitWord, Notice, NoticeHeaders, UnreadableNotice},
    notice_book::NoticeBook,
    openness::Openness,
    target_notices::{NoticeNews, TargetNotices},
};
