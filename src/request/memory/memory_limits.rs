use {super::MemoryUse, std::time::Duration};

/// Memory of the process itself, in bytes: 15 MB of tables at 300 hosts and 3,000 targets, two configurations of 15 MB
/// while one replaces the other, and code and threads.
const PROCESS_BYTES: u64 = 48_000_000;

/// Smallest part of the limit that is left for callers, as a divisor.
const MIN_CALLER_DIVISOR: u64 = 4;

/// Part of the rest that may be held; the remainder is for freed blocks that the allocator keeps between those in use.
const COUNTED_NUMERATOR: u64 = 3;
const COUNTED_DENOMINATOR: u64 = 4;

/// Time without progress after which a caller may be cut under pressure.
const PRESSED_STALL_LIMIT: Duration = Duration::from_secs(2);

/// The same when there is no room for new requests.
const FULL_STALL_LIMIT: Duration = Duration::from_secs(1);

/// How scarce memory is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pressure {
    /// Below the level from which callers without progress are cut.
    None,
    /// Large bodies are, or will soon be, rejected.
    Pressed,
    /// There is no room for any new body.
    Full,
}

impl Pressure {
    /// Returns the level in logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Pressed => "pressed",
            Self::Full => "full",
        }
    }

    /// Returns the time without progress after which callers may be cut, or `None` if none is to be cut.
    pub fn stall_limit(self) -> Option<Duration> {
        match self {
            Self::None => None,
            Self::Pressed => Some(PRESSED_STALL_LIMIT),
            Self::Full => Some(FULL_STALL_LIMIT),
        }
    }
}

/// What may be held for callers and targets together, in bytes.
///
/// Each use may fill the budget up to a bound of its own, in the order of what is lost when there is no room: a large
/// body can go to another host at once, an answer can't.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Largest number of bytes that may be held for all uses together.
    pub capacity: u64,
}

impl MemoryLimits {
    /// Returns the limits in a process that may use `limit` bytes.
    pub fn of_process(limit: u64) -> Self {
        let rest = limit.saturating_sub(PROCESS_BYTES);
        let counted = rest / COUNTED_DENOMINATOR * COUNTED_NUMERATOR;
        Self {
            capacity: counted.max(limit / MIN_CALLER_DIVISOR),
        }
    }

    /// Returns the bytes up to which all uses together may grow for this one.
    pub fn bound(
        self,
        purpose: MemoryUse,
    ) -> u64 {
        match purpose {
            MemoryUse::LargeBody => self.capacity / 2,
            MemoryUse::SmallBody => self.full_from(),
            MemoryUse::Connection => self.capacity / 8 * 7,
            MemoryUse::Answer | MemoryUse::Failure | MemoryUse::Piece => self.capacity,
        }
    }

    /// Returns the pressure when `held` bytes are held.
    pub fn pressure(
        self,
        held: u64,
    ) -> Pressure {
        if held >= self.full_from() {
            Pressure::Full
        } else if held >= self.pressed_from() {
            Pressure::Pressed
        } else {
            Pressure::None
        }
    }

    /// Returns the bytes from which callers without progress are cut: below the bound of large bodies, so that these
    /// find room again.
    pub fn pressed_from(self) -> u64 {
        self.capacity / 5 * 2
    }

    fn full_from(self) -> u64 {
        self.capacity / 4 * 3
    }
}
