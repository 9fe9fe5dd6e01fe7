use crate::formats::SoftwareId;

/// Version of the targets' software at which a request may run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequiredSoftware {
    #[default]
    Any,
    /// Any that is not withheld: for streams that begin, as callers may take them up after a loss of all hosts.
    Introduced,
    /// The version that began the stream.
    Exactly(SoftwareId),
}
