//! Figures of one host, for its metrics page.

mod host_metrics;
mod labels;

pub use {
    host_metrics::{HostMetrics, metrics},
    labels::{
        CallLabels, CopyLabels, FramingLabels, KindLabels, LatenessLabels, OrderLabels,
        OutcomeLabels, PoisonLabels, StateLabels, TransferLabels, WaitLabels,
    },
};
