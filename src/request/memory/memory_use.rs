/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// Buffers of a caller's connection.
    Connection,
    /// A request body of at most [`MemoryUse::MAX_SMALL_BODY`].
    SmallBody,
    /// A longer request body.
    LargeBody,
    /// An answer of a target that is, or was, read completely.
    Answer,
    /// The same of a server error, which another answer may replace.
    Failure,
    /// A piece of an answer that is still being sent.
    Piece,
}

impl MemoryUse {
    /// Largest small body, in bytes: prompts of some ten thousand tokens are below it.
    pub const MAX_SMALL_BODY: usize = 64 * 1024;

    /// All uses.
    pub const ALL: [Self; 6] = [
        Self::Connection,
        Self::SmallBody,
        Self::LargeBody,
        Self::Answer,
        Self::Failure,
        Self::Piece,
    ];

    /// Returns the use of a body of this size.
    pub fn of_body(bytes: usize) -> Self {
        match bytes <= Self::MAX_SMALL_BODY {
            true => Self::SmallBody,
            false => Self::LargeBody,
        }
    }

    /// Returns the use in figures.
    pub fn word(self) -> &'static str {
        match self {
            Self::Connection => "connections",
            Self::SmallBody => "small_bodies",
            Self::LargeBody => "large_bodies",
            Self::Answer => "answers",
            Self::Failure => "failures",
            Self::Piece => "pieces",
        }
    }

    /// Returns true if the caller frees the memory by reading. A failure may never be sent to the caller.
    pub fn is_read_by_caller(self) -> bool {
        matches!(self, Self::Answer | Self::Piece)
    }
}
