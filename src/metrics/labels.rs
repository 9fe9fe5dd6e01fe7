//! Labels are words of fixed lists: none grows with adapters, callers or targets.

use prometheus_client::encoding::EncodeLabelSet;

/// Kind of a request, and how it ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OutcomeLabels {
    pub kind: &'static str,
    pub outcome: &'static str,
}

/// Kind of an answer, and which objectives it missed.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct LatenessLabels {
    pub kind: &'static str,
    pub late: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct KindLabels {
    pub kind: &'static str,
}

/// How the end of an answer was told.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct FramingLabels {
    pub framing: &'static str,
}

/// A call to the store, and how it ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CallLabels {
    pub call: &'static str,
    pub result: &'static str,
}

/// An order to an engine, and its reply.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct OrderLabels {
    pub order: &'static str,
    pub reply: &'static str,
}

/// What a request waited for.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct WaitLabels {
    pub cause: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct StateLabels {
    pub state: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct CopyLabels {
    pub table: &'static str,
}

/// A copy of a table from the store or from a host, and how its transfer ended.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct TransferLabels {
    pub table: &'static str,
    pub source: &'static str,
    pub result: &'static str,
}

/// Under what targets are known to crash: one `request`, or a `part` of prompts.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct PoisonLabels {
    pub key: &'static str,
}
