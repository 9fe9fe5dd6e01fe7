//! Availability of targets by their own notices, and permits for rate-limited targets.

use {
    super::{ControlRequest, TargetTable, Unavailability},
    crate::{clock::Instant, connection::datagram::PermitAsk, request::notices::Availability},
    std::sync::Arc,
};

impl TargetTable {
    /// Returns a target's availability to this host by its notices.
    pub fn availability(
        &self,
        target: &str,
        now: Instant,
    ) -> Availability {
        match self.notices.is_empty() {
            true => Availability::Open,
            false => self
                .notices
                .availability(target, self.incarnation(target), now),
        }
    }

    /// Returns true if a target's notices forbid requests now, even with a permit.
    pub fn is_rejecting_requests(
        &self,
        target: &str,
        now: Instant,
    ) -> bool {
        !self.notices.is_empty()
            && self
                .notices
                .is_rejecting_requests(target, self.incarnation(target), now)
    }

    /// Returns when the first of these targets becomes available; `None` if one is available now or none will be.
    pub fn earliest_availability<'a>(
        &self,
        targets: impl Iterator<Item = &'a Arc<str>>,
        now: Instant,
    ) -> Option<Instant> {
        let unavailability = |target: &Arc<str>| {
            let incarnation = self.incarnation(target);
            self.notices.unavailability(target, incarnation, now)
        };
        let unavailabilities: Option<Vec<Unavailability>> = targets.map(unavailability).collect();
        let available_at = |unavailability| match unavailability {
            Unavailability::Until(until) => Some(until),
            Unavailability::Permanent => None,
        };
        unavailabilities?.into_iter().filter_map(available_at).min()
    }

    /// Marks a target as unavailable to this host until a time.
    pub fn mark_unavailable(
        &mut self,
        target: &Arc<str>,
        until: Instant,
    ) {
        let incarnation = self.incarnation(target);
        self.notices.mark_unavailable(target, incarnation, until);
    }

    /// Requests a permit to send one request to a target from the host that allocates its permits.
    pub fn request_permit(
        &self,
        id: u64,
        target: &str,
        now: Instant,
    ) {
        let incarnation = self.incarnation(target);
        if let Some(update) = self.notices.message_for_peer(target, incarnation, now) {
            let request = PermitAsk { id, news: update };
            let _ = self.control.send(ControlRequest::RequestPermit(request));
        }
    }
}
