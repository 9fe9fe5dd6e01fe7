//! Targets: model engines and plain services, and the protocol spoken to them.

mod answer_check;
mod engine_protocol;
mod sse_reader;
mod target_client;

pub use {
    answer_check::{AnswerCheck, CheckedEvent},
    engine_protocol::{
        AdapterReport, AdapterState, CacheEvent, EngineOrder, EngineReport, FENCE_HEADER,
        KEY_HEADER, KvExport, NOT_RUN_HEADER, OrderRequest, PRIORITY_HEADER, REQUEST_ID_HEADER,
        SERVED_MODEL_HEADER,
    },
    sse_reader::SseReader,
    target_client::{TargetAnswer, TargetCall, TargetClient},
};
