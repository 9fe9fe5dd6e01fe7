//! Numbered events: what happened, for logs and for people who ask later.

mod event;
mod event_log;
mod line_gate;
mod line_writer;
mod quoted;

pub use {
    event::Event,
    event_log::{EventLog, LoggedEvent},
    line_gate::{admits, take_held_back},
    line_writer::{LineHead, LineWriter},
    quoted::quoted,
};

/// Notes an event with its details, as one line of `name=value` pairs.
///
/// The values are not looked at if the line is held back.
#[macro_export]
macro_rules! note {
    ($event:expr $(, $name:ident = $value:expr)* $(,)?) => {{
        let event: $crate::timeline::Event = $event;
        if $crate::timeline::admits(event) {
            log::log!(
                event.level(),
                concat!("event={} name={}" $(, " ", stringify!($name), "={}")*),
                event.number(),
                event.word()
                $(, $value)*
            );
        }
    }};
}
