//! HTTP/1.1 towards targets and the store: one exchange at a time over a kept connection.
//!
//! `httparse` reads heads and chunk sizes. hyper's client is not used here: an answer that belongs to
//! an earlier request may arrive where the next one is due, and must be passed over, not handed out.

mod body_decoder;
mod call_client;
mod call_headers;
mod carried_ids;
mod connection;
mod field_line;
mod head_check;
mod response_head;
mod unframed_check;

use {field_line::FieldLine, unframed_check::UnframedCheck};

pub use {
    body_decoder::{BodyDecoder, Decoded},
    call_client::{CallClient, CallEnd, CallFailure, CallLimit},
    call_headers::CallHeaders,
    carried_ids::CarriedIds,
    connection::{ExchangeError, HttpConnection, RestState},
    response_head::{BodyFraming, ResponseHead},
};
