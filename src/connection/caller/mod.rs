//! Callers: the listener, the addresses they call, and how answers are written.

mod answer_body;
mod caller_front;
mod error_answer;
mod http_listener;

pub use {
    caller_front::{CallerFront, FrontContext},
    error_answer::{ErrorAnswer, Outcome},
    http_listener::{DropConnection, HttpListener, ListenerLimits},
};
