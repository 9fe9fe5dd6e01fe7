/// Action requested by an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    Load,
    Unload,
}

impl OrderKind {
    /// Name of the kind in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// A command to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    pub kind: OrderKind,
    pub model: String,
    /// `None` if the order is for the base model itself.
    pub adapter: Option<String>,
    /// Version of the adapter to load; `None` for the newest.
    pub version: Option<u64>,
    /// Number of orders that the engine must have accepted before this one; checked by the engine.
    pub expected_sequence: Option<u64>,
    /// Name of the host that sends the order.
    pub holder: String,
    /// Fencing token: increases each time another host takes control of the engine.
    pub fence: u64,
}

impl OrderReply {
    /// Name of the reply in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Rejected => "refused",
            Self::OtherTarget => "other_target",
        }
    }
}

/// An engine's reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The order is in progress.
    Accepted,
    /// The requested state is reached.
    Done,
    /// Another order is in progress, or the sequence does not match.
    Conflict,
    /// The engine has seen a newer fence.
    Fenced,
    /// The order is invalid.
    Rejected,
    /// Another target listens at the address.
    OtherTarget,
}
