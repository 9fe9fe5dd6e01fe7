use {
    crate::request::{origins::RequiredSoftware, pace::PaceEstimate},
    std::{sync::Arc, time::Duration},
};

/// Version of the adapter that a request is sent for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedVersion {
    pub version: u64,
    /// Newest known version.
    pub newest: u64,
    /// Expected wait of the request before the engine starts it.
    pub wait: Duration,
}

/// Target of a send, and the conditions on which the request may run there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    pub target: Arc<str>,
    /// Version of the adapter that the target must hold; `None` for requests without an adapter.
    pub version: Option<ExpectedVersion>,
    /// Id of the event after which the answer continues.
    pub resume_after: Option<u64>,
    /// Version of the software that the target must run.
    pub software: RequiredSoftware,
    /// Estimate by which an engine was chosen.
    pub estimate: Option<PaceEstimate>,
}

impl Destination {
    /// Returns a destination without conditions.
    pub fn of(target: &str) -> Self {
        Self {
            target: target.into(),
            version: None,
            resume_after: None,
            software: RequiredSoftware::Any,
            estimate: None,
        }
    }
}
