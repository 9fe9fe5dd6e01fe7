use {
    super::AdapterSlot,
    crate::{clock::Instant, version::AdapterVersion},
    std::collections::BTreeMap,
};

/// The idle adapter that is missed least: the lowest aged frequency, then the least recent use.
///
/// `is_wanted` names adapters that requests wait for; those are never chosen.
pub fn choose_drop(
    slots: &BTreeMap<AdapterVersion, AdapterSlot>,
    is_wanted: impl Fn(&AdapterVersion) -> bool,
    now: Instant,
) -> Option<AdapterVersion> {
    slots
        .iter()
        .filter(|(model, slot)| slot.is_idle() && !is_wanted(model))
        .min_by(|(_, a), (_, b)| {
            let by_use = a.score(now).total_cmp(&b.score(now));
            by_use.then(a.last_used.cmp(&b.last_used))
        })
        .map(|(model, _)| model.clone())
}
