/// What an engine is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderKind {
    Load,
    Unload,
}

impl OrderKind {
    /// The kind in logs and figures.
    pub fn word(self) -> &'static str {
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
    /// None concerns the base model itself.
    pub adapter: Option<String>,
    /// Version of the adapter to load; none takes the newest.
    pub version: Option<u64>,
    /// Orders that the engine must have taken so far; checked when it carries this one out.
    pub expected_sequence: Option<u64>,
    /// Name of the host that gives the order.
    pub holder: String,
    /// Grows each time that another host begins to give orders to this engine.
    pub fence: u64,
}

impl OrderReply {
    /// The reply in logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Fenced => "fenced",
            Self::Refused => "refused",
            Self::OtherTarget => "other_target",
        }
    }
}

/// What an engine says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It is under way.
    Accepted,
    /// It holds already, or is done.
    Done,
    /// Another order is under way, or the sequence does not match.
    Conflict,
    /// A newer fence was seen.
    Fenced,
    /// The order makes no sense to it.
    Refused,
    /// Another target is at that address.
    OtherTarget,
}
