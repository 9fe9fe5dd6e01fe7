//! What the product needs to know of the formats that an outside platform speaks.
//!
//! An adapter crate implements [`Formats`]; nothing here or above knows a platform's own names.

mod formats;
mod header_names;
mod http_call;
mod order;
mod rows;
mod software_version;
mod store_version;
mod target_record;
mod target_report;
mod target_start;

pub use {
    formats::{Declared, FormatError, Formats, PublicCall},
    header_names::HeaderNames,
    http_call::{HttpCall, HttpReply},
    order::{Order, OrderKind, OrderReply},
    rows::{
        Commit, Expectation, Row, RowBatch, RowKey, RowWrite, RowsReply, Transaction, bytes_of,
    },
    software_version::{SoftwareId, SoftwareVersion},
    store_version::StoreVersion,
    target_record::{HeldAdapter, HeldModel, TargetRecord, TargetState},
    target_report::TargetReport,
    target_start::TargetStart,
};
