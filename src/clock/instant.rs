use {
    nix::time::{ClockId, clock_gettime},
    std::{
        ops::{Add, AddAssign, Sub, SubAssign},
        time::Duration,
    },
};

/// A moment on the clock that counts from the machine's start, `CLOCK_BOOTTIME`.
///
/// It never jumps and never goes back, like `std::time::Instant`, but it also counts the time for which the
/// machine was suspended. By the standard library's clock a host that was suspended past its lease would go on as
/// the holder of engines that others hold by now, for as long as it was suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(Duration);

impl Instant {
    /// The present.
    ///
    /// # Panics
    ///
    /// On a kernel without this clock, which is older than any that the product runs on.
    pub fn now() -> Self {
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot clock");
        Self(now.into())
    }

    /// Time since then; none if it lies ahead.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from an earlier moment to this one; none if that one is later.
    pub fn saturating_duration_since(
        &self,
        earlier: Self,
    ) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Time from an earlier moment to this one; none if that one is later.
    pub fn duration_since(
        &self,
        earlier: Self,
    ) -> Duration {
        self.saturating_duration_since(earlier)
    }

    /// Time from an earlier moment to this one; `None` if that one is later.
    pub fn checked_duration_since(
        &self,
        earlier: Self,
    ) -> Option<Duration> {
        self.0.checked_sub(earlier.0)
    }

    /// The moment so much later, unless it can't be told.
    pub fn checked_add(
        &self,
        time: Duration,
    ) -> Option<Self> {
        self.0.checked_add(time).map(Self)
    }

    /// The moment so much earlier; `None` if that was before the machine's start.
    pub fn checked_sub(
        &self,
        time: Duration,
    ) -> Option<Self> {
        self.0.checked_sub(time).map(Self)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(
        self,
        time: Duration,
    ) -> Self {
        Self(self.0 + time)
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(
        &mut self,
        time: Duration,
    ) {
        self.0 += time;
    }
}

/// Moments before the machine's start are told as the start itself.
impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(
        self,
        time: Duration,
    ) -> Self {
        Self(self.0.saturating_sub(time))
    }
}

impl SubAssign<Duration> for Instant {
    fn sub_assign(
        &mut self,
        time: Duration,
    ) {
        *self = *self - time;
    }
}

impl Sub for Instant {
    type Output = Duration;

    fn sub(
        self,
        earlier: Self,
    ) -> Duration {
        self.saturating_duration_since(earlier)
    }
}
