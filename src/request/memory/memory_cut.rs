use {super::ConnectionId, std::time::Duration};

/// How a caller is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CutKind {
    /// The connection is closed when it carries no request.
    Close,
    /// The request, whose body is incomplete, is answered with an error.
    Reject,
    /// The connection is reset, so that no part of an answer looks complete.
    Reset,
}

impl CutKind {
    /// Returns the kind in logs and figures.
    pub fn word(self) -> &'static str {
        match self {
            Self::Close => "idle",
            Self::Reject => "not_sending",
            Self::Reset => "not_reading",
        }
    }
}

/// A caller that is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryCut {
    /// Connection of the caller.
    pub connection: ConnectionId,
    /// How the caller is cut.
    pub kind: CutKind,
    /// Bytes that are held for the caller.
    pub held: u64,
    /// Time since the caller last sent or read anything.
    pub stalled: Duration,
    /// The request may have run, and may not be repeated.
    pub is_last_resort: bool,
}
