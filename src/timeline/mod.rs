//! Numbered events: what happened, for logs and for people who ask later.

mod event;
mod event_log;

pub use {
    event::Event,
    event_log::{EventLog, LoggedEvent},
};
