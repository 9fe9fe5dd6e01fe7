use std::fmt::{self, Display, Formatter};

/// Bits of the number in the form in which a version is sent and stored. They last for decades at a thousand writes a second; the
/// era has the 24 bits above.
const NUMBER_BITS: u32 = 40;

const NUMBER_MASK: u64 = (1 << NUMBER_BITS) - 1;

/// A state of the store, or of one of its rows.
///
/// A store that comes back from an older copy gives version numbers out again, and its era rises by one. A number alone
/// therefore names no state; of two versions, the one of the later era is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreVersion {
    pub era: u32,
    /// Rises with each change of any row within an era; 0 for a row that does not exist.
    pub number: u64,
}

impl StoreVersion {
    pub fn new(
        era: u32,
        number: u64,
    ) -> Self {
        Self { era, number }
    }

    /// Returns true for the version of a row that does not exist.
    pub fn is_absent(self) -> bool {
        self.number == 0
    }

    /// Returns the version as one number, which has the same order.
    pub fn to_bits(self) -> u64 {
        u64::from(self.era) << NUMBER_BITS | self.number & NUMBER_MASK
    }

    /// Returns the version that `to_bits` was called on.
    pub fn from_bits(bits: u64) -> Self {
        Self {
            era: (bits >> NUMBER_BITS) as u32,
            number: bits & NUMBER_MASK,
        }
    }
}

impl From<u64> for StoreVersion {
    /// Returns a version of a store that was never restored.
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl Display for StoreVersion {
    fn fmt(
        &self,
        formatter: &mut Formatter<'_>,
    ) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}
