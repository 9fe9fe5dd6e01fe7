//! A caller: follows entry answers, sends requests and checks what comes back.

mod call_result;
mod call_spec;
mod caller_client;

pub use {
    call_result::{CallResult, SeenOutcome},
    call_spec::{CallKind, CallSpec},
    caller_client::CallerClient,
};
