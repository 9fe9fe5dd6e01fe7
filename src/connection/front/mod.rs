//! The front end: accepts callers' connections, reads their requests, sends these to targets and relays the answers.

mod adapter_availability;
mod adapter_waiter;
mod admission;
mod answer_body;
mod attempts;
mod chooser;
mod crash_probe;
mod dispatcher;
mod engine_estimator;
mod engine_exclusions;
mod engine_sample;
mod event_splitter;
mod exchange;
mod front_listener;
mod local_answer;
mod memory_sweeper;
mod request_reader;
mod request_trace;
mod stream_relay;
mod waits;

pub use {
    answer_body::{AnswerBody, BrokenAnswer},
    dispatcher::Dispatcher,
    event_splitter::{BrokenStream, EventSplitter},
    front_listener::{FrontListener, StopStage},
    local_answer::{ErrorCause, LocalAnswer},
    request_reader::{RequestReadError, RequestReader},
};
