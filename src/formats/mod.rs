//! Data formats of an external platform, as far as coveproxy uses them.
//!
//! An adapter crate implements [`Formats`]; platform-specific names stay in that crate.

mod formats;
mod header_names;
mod http_call;
mod order;
mod rows;
mod target_record;
mod target_report;
mod target_start;

pub use {
    formats::{DeclaredRow, FormatError, Formats, PublicCall},
    header_names::HeaderNames,
    http_call::{HttpCall, HttpReply},
    order::{Order, OrderKind, OrderReply},
    rows::{
        Commit, Expectation, Row, RowBatch, RowKey, RowWrite, RowsReply, Transaction,
        total_value_bytes,
    },
    target_record::{LoadedAdapter, LoadedModel, TargetRecord, TargetState},
    target_report::TargetReport,
    target_start::TargetStart,
};
