use {
    crate::clock::Instant,
    std::{collections::BTreeMap, time::Duration},
};

/// The store's era as known to this host, and the engines that this host has to record in it anew.
///
/// A restoration loses rows: of renewals, which others must not take for lapses, and of takeovers, after which a row names a
/// former holder or none. Whoever held an engine before goes on until its lease from before ends, and records itself again.
#[derive(Debug, Default)]
pub(super) struct StoreEra {
    /// `None` before the first answer of the store.
    number: Option<u32>,
    /// When this host learned that rows of earlier eras may be missing or outdated; `None` if no restoration is known.
    restored_at: Option<Instant>,
    /// Engines held since before the restoration that are not recorded again, each with the time at which it is lost.
    unrecorded: BTreeMap<String, Instant>,
}

impl StoreEra {
    /// Returns the era of the newest answer.
    pub fn number(&self) -> u32 {
        self.number.unwrap_or_default()
    }

    /// Returns true if an answer of this era shows that the store was restored.
    pub fn is_restored_in(
        &self,
        era: u32,
    ) -> bool {
        self.number.is_some_and(|number| number < era)
    }

    /// Begins with the era of the first answer.
    pub fn begin(
        &mut self,
        era: u32,
    ) {
        self.number.get_or_insert(era);
    }

    /// Enters a later era with the engines that are held, until `held_until` unless they are recorded again.
    pub fn enter(
        &mut self,
        era: u32,
        held: impl Iterator<Item = String>,
        held_until: Instant,
        now: Instant,
    ) {
        self.number = Some(era);
        self.restored_at = Some(now);
        let earlier = std::mem::take(&mut self.unrecorded);
        self.unrecorded = held
            .map(|target| {
                let until = earlier.get(&target).copied().unwrap_or(held_until);
                (target, until)
            })
            .collect();
    }

    /// Records that the store holds rows of an earlier era, so that others may have been lost.
    pub fn on_earlier_row(
        &mut self,
        now: Instant,
    ) {
        self.restored_at.get_or_insert(now);
    }

    /// Returns true once `delay` has passed since the restoration: whoever held an engine before has recorded itself again, or
    /// gives no more orders.
    pub fn has_settled(
        &self,
        delay: Duration,
        now: Instant,
    ) -> bool {
        self.restored_at
            .is_none_or(|at| now.saturating_duration_since(at) >= delay)
    }

    /// Returns the newest era in which `has_settled` was true.
    pub fn settled_number(
        &self,
        delay: Duration,
        now: Instant,
    ) -> u32 {
        match self.has_settled(delay, now) {
            true => self.number(),
            false => self.number().saturating_sub(1),
        }
    }

    /// Returns true unless the engine was held before the restoration, and its time has ended.
    pub fn may_hold(
        &self,
        target: &str,
        now: Instant,
    ) -> bool {
        self.unrecorded.get(target).is_none_or(|until| now < *until)
    }

    /// Returns true if the engine is held since before the restoration, and not recorded again.
    pub fn is_unrecorded(
        &self,
        target: &str,
    ) -> bool {
        self.unrecorded.contains_key(target)
    }

    pub fn has_unrecorded(&self) -> bool {
        !self.unrecorded.is_empty()
    }

    pub fn on_recorded(
        &mut self,
        target: &str,
    ) {
        self.unrecorded.remove(target);
    }

    /// Forgets the unrecorded engines that are no longer held.
    pub fn retain(
        &mut self,
        is_held: impl Fn(&str) -> bool,
    ) {
        self.unrecorded.retain(|target, _| is_held(target));
    }
}
