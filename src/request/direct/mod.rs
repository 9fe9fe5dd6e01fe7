//! Routing decisions for a request that this host sends directly to its target. Pure functions without I/O.

mod attempt_end;
mod bounded_wait;
mod call_request;
mod engine_choice;
mod engine_outlook;
mod generation;
mod next_step;
mod plain_choice;
mod policy;
mod prompt_chain;
mod prompt_rank;
mod retry_spread;
mod shared_parts;
mod wait_decision;

pub use {
    attempt_end::AttemptEnd,
    bounded_wait::{
        BoundedWait, DEFAULT_RETRY_AFTER, RejectReason, bounded_wait, unconfirmed_limit,
    },
    call_request::{CallRequest, Credential},
    engine_choice::{
        AdapterCopyState, ChoiceContext, DEFAULT_LOAD_TIME, EngineCandidate, EngineChoice,
        choose_engine,
    },
    engine_outlook::{Awaited, EngineOutlook, outlook_of},
    generation::{Generation, PromptPart, token_counts},
    next_step::{NextStep, RequestHistory, next_step},
    plain_choice::{PlainCandidate, choose_plain},
    policy::Policy,
    prompt_chain::PromptChain,
    prompt_rank::{first_by_prompt, prompt_affinity},
    retry_spread::RetrySpread,
    shared_parts::shared_parts,
    wait_decision::{RequestTiming, WaitDecision, wait_or_reject},
};
