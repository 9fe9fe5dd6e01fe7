//! Handling of a request: parsing, routing, attempts and outcome.

mod answer_part;
mod attempt_history;
mod attempt_ledger;
mod caller_request;
mod claim_store;
pub mod direct;
mod entry_end;
mod entry_progress;
mod entry_service;
mod forwarder;
pub mod memory;
pub mod notices;
pub mod origins;
mod owner_service;
pub mod pace;
mod passed_headers;
pub mod permits;
pub mod places;
pub mod poison;
pub mod quotas;
mod rate_limits;
mod refusal;
mod refusal_code;
pub mod repeats;
mod request_parser;
mod retry_budget;
mod route;
mod run_permit;
mod target_run;

pub use {
    answer_part::{AnswerHead, AnswerPart, PartSender},
    attempt_ledger::{AttemptLedger, AttemptRecord, AttemptState, CachedAnswer},
    caller_request::CallerRequest,
    claim_store::{Claim, ClaimState, ClaimStore},
    entry_end::EntryEnd,
    entry_service::EntryService,
    forwarder::Forwarder,
    owner_service::{OwnerContext, OwnerService},
    passed_headers::{headers_from_wire, headers_to_wire, passed_headers},
    rate_limits::RateLimits,
    refusal::Refusal,
    refusal_code::RefusalCode,
    request_parser::{
        HEADER_ATTEMPT, HEADER_DEADLINE, HEADER_KIND, HEADER_OUTCOME, HEADER_OUTFITTER,
        HEADER_REPEATABLE, HEADER_REQUEST_ID, HEADER_SERVICE, RequestHead, RequestParser,
    },
    retry_budget::RetryBudget,
    route::{engine_candidates, plain_candidates},
    run_permit::RunPermit,
    target_run::{RunEnd, TargetRun},
};
