use {crate::request::notices::Availability, std::time::Duration};

/// A target of a plain service, as it stands at this moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainCandidate {
    /// Requests of this host that run there.
    pub in_flight: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It stands in this host's hall.
    pub near: bool,
    /// Time for which it is avoided after failures; zero if it is trusted.
    pub avoided_for: Duration,
    /// This request was sent there before.
    pub tried: bool,
    /// Whether it may get a request now, by what it says of itself.
    pub openness: Availability,
}

/// A distant target counts as so much fuller.
const DISTANCE_COST: f64 = 0.34;

/// Chooses the trusted target with the most room; ties fall to `draw`, a number from 0 to below 1.
///
/// A target that is avoided, that takes only so many requests, or that had this request before, is used only if there is no
/// other; one that is closed is not.
pub fn choose_plain(
    candidates: &[PlainCandidate],
    draw: f64,
) -> Option<usize> {
    let count = candidates.len();
    let first = (draw * count as f64) as usize;
    let order = (0..count).map(|at| (at + first) % count.max(1));
    let open = order.filter(|at| candidates[*at].openness != Availability::Closed);
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
    candidate.openness == Availability::Limited
}

fn load(candidate: &PlainCandidate) -> f64 {
    let distance = match candidate.near {
        true => 0.0,
        false => DISTANCE_COST,
    };
    f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1)) + distance
}
