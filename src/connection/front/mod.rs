//! The front end: accepts callers' connections, reads their requests, sends these to targets and relays the answers.

mod adapter_availability;
mod adapter_waiter;
mod admission;
mod answer_body;
mod answer_reader;
mod answer_records;
mod answer_times;
mod attempts;
mod buffer_limits;
mod choice;
mod chooser;
mod crash_probe;
mod destination;
mod dispatch_forwarding;
mod dispatch_waits;
mod dispatcher;
mod engine_estimator;
mod engine_exclusions;
mod engine_sample;
mod event_scanner;
mod event_splitter;
mod exchange;
mod failed_sends;
mod final_answers;
mod first_line;
mod forwarded_relay;
mod front_listener;
mod health_check;
mod hedge;
mod host_forwarder;
mod host_stop;
mod in_flight_request;
mod lateness;
mod local_answer;
mod memory_sweeper;
mod open_request;
mod outcome;
mod pending_request;
mod poison_check;
mod reach_check;
mod request_reader;
mod request_trace;
mod served_request;
mod silence_check;
mod silence_watch;
mod stream_relay;
mod stream_timing;
mod survival_check;
mod take_up;
mod target_answer;
mod target_connection;
mod unplaced;
mod version_watch;
mod waits;

pub use {
    answer_body::{AnswerBody, BrokenAnswer},
    answer_reader::{AnswerEnding, AnswerReader},
    attempts::Attempts,
    choice::Choice,
    chooser::Chooser,
    destination::Destination,
    dispatcher::Dispatcher,
    event_scanner::EventScanner,
    event_splitter::{BrokenStream, EventSplitter},
    front_listener::{FrontListener, RequestOrigin},
    host_stop::{HostStop, StopStage, StopWatch},
    lateness::{Lateness, TimedPart},
    local_answer::{ErrorCause, LocalAnswer},
    request_reader::{RequestReadError, RequestReader},
    stream_timing::StreamTiming,
};
