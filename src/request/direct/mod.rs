//! Routing decisions for a request that this host sends directly to its target. Pure functions without I/O.

mod attempt_end;
mod call_request;
mod engine_choice;
mod generation;
mod next_step;
mod patience;
mod plain_choice;
mod policy;

pub use {
    attempt_end::AttemptEnd,
    call_request::{CallRequest, Credential},
    engine_choice::{
        AdapterCopyState, ChoiceTerms, EngineCandidate, EngineChoice, USUAL_LOAD, choose_engine,
    },
    generation::{Generation, PromptPart, token_counts},
    next_step::{NextStep, RequestHistory, next_step},
    patience::{Patience, RequestTime, wait_or_refuse},
    plain_choice::{PlainCandidate, choose_plain},
    policy::Policy,
};
