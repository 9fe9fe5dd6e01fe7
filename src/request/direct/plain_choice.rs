use {crate::request::notices::Availability, std::time::Duration};

/// A target of a plain service, with its current state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainCandidate {
    /// Running requests of this host.
    pub in_flight: u32,
    /// Requests that the target runs concurrently.
    pub slots: u32,
    /// In the same hall as this host.
    pub same_hall: bool,
    /// Remaining backoff after failures; zero if there is none.
    pub avoided_for: Duration,
    /// This request was already sent to it and failed.
    pub tried: bool,
    /// This request may not be sent to it.
    pub excluded: bool,
    /// Availability announced by the target itself.
    pub availability: Availability,
}

/// Added to the load of a target in another hall, as a share of its slots.
const REMOTE_HALL_LOAD: f64 = 0.34;

/// Chooses the target with the lowest load and returns its index; `draw`, a random number in `0.0..1.0`, breaks ties.
///
/// A target that was already tried, is in backoff or has limited availability is used only if there is no other. A closed or
/// excluded target is never used.
pub fn choose_plain(
    candidates: &[PlainCandidate],
    draw: f64,
) -> Option<usize> {
    let count = candidates.len();
    let first = (draw * count as f64) as usize;
    let order = (0..count).map(|at| (at + first) % count.max(1));
    let is_open = |candidate: &PlainCandidate| {
        candidate.availability != Availability::Closed && !candidate.excluded
    };
    let open = order.filter(|at| is_open(&candidates[*at]));
    open.min_by(|a, b| {
        let (a, b) = (&candidates[*a], &candidates[*b]);
        let tried = a.tried.cmp(&b.tried);
        let avoided = a.avoided_for.cmp(&b.avoided_for);
        let limited = is_limited(a).cmp(&is_limited(b));
        tried
            .then(avoided)
            .then(limited)
            .then(load(a).total_cmp(&load(b)))
    })
}

fn is_limited(candidate: &PlainCandidate) -> bool {
    candidate.availability == Availability::Limited
}

fn load(candidate: &PlainCandidate) -> f64 {
    let remote_load = match candidate.same_hall {
        true => 0.0,
        false => REMOTE_HALL_LOAD,
    };
    f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1)) + remote_load
}
