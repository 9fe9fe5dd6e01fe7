//! Availability of targets by their own notices, and permits for rate-limited targets.

use {
    super::{ControlRequest, TargetTable, Unavailability},
    crate::{
        clock::Instant,
        connection::datagram::{PermitAsk, PermitReport, TargetNews},
        formats::TargetStart,
        request::notices::{Availability, NoticeHeaders, TargetNotices},
    },
    std::sync::Arc,
};

impl TargetTable {
    /// Returns a target's availability to this host by its notices.
    pub fn availability(
        &self,
        target: &str,
        now: Instant,
    ) -> Availability {
        let availability = match self.notices.is_empty() {
            true => Availability::Open,
            false => self
                .notices
                .availability(target, self.incarnation(target), now),
        };
        match availability {
            Availability::Open if self.borne_rejections(target, now).is_some() => {
                Availability::Limited
            }
            availability => availability,
        }
    }

    /// Handles the notices in an answer's head, and what they say of the target's service; `sent` is when the request was sent.
    pub fn on_answer_notices(
        &mut self,
        target: &Arc<str>,
        incarnation: Option<TargetStart>,
        head: &NoticeHeaders,
        sent: Instant,
        now: Instant,
    ) {
        self.notices.on_answer(target, incarnation, head, sent, now);
        self.record_brittleness(target, incarnation, now);
    }

    /// Merges notices of a target that another host received.
    pub fn on_peer_notices(
        &mut self,
        target: &str,
        notices: &TargetNotices,
        now: Instant,
    ) {
        self.notices.on_peer_notices(target, notices, now);
        self.record_brittleness(&target.into(), notices.start, now);
    }

    /// Records that a brittle target of a service has rejected a request.
    pub fn on_brittle_rejection(
        &mut self,
        service: &str,
        now: Instant,
    ) {
        self.brittle.on_rejected(service, now);
    }

    /// Returns true if a target of a service may fall over for its rejections now.
    pub fn is_at_risk(
        &self,
        service: &str,
        now: Instant,
    ) -> bool {
        self.brittle.is_at_risk(service, now)
    }

    /// Returns the rejections per second that a target bears by its service's statements; `None` if that is not brittle.
    fn borne_rejections(
        &self,
        target: &str,
        now: Instant,
    ) -> Option<f64> {
        if self.brittle.is_empty() {
            return None;
        }
        let link = self.links.get(target)?;
        self.brittle.bound(&link.view.record.service, now)
    }

    /// Records whether a target says that it is brittle, for its whole service.
    pub(super) fn record_brittleness(
        &mut self,
        target: &Arc<str>,
        incarnation: Option<TargetStart>,
        now: Instant,
    ) {
        let rejections = self.notices.borne_rejections(target, incarnation);
        if rejections.is_none() && self.brittle.is_empty() {
            return;
        }
        if let Some(link) = self.links.get(target) {
            let service = &link.view.record.service;
            self.brittle.record(service, target, rejections, now);
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
        let known = self.notices.message_for_peer(target, incarnation, now);
        let news = known
            .unwrap_or_else(|| TargetNews::of(target, &TargetNotices::new(incarnation, now), now));
        let request = PermitAsk {
            id,
            news,
            borne_rejections: self.borne_rejections(target, now),
        };
        let _ = self.control.send(ControlRequest::RequestPermit(request));
    }

    /// Returns true if a permit for this target is held until its request has ended.
    pub fn holds_permits(
        &self,
        target: &str,
        now: Instant,
    ) -> bool {
        self.borne_rejections(target, now).is_some()
    }

    /// Tells the host that has granted a permit how far its request has got.
    pub fn report_permit(
        &self,
        report: PermitReport,
    ) {
        let _ = self.control.send(ControlRequest::ReportPermit(report));
    }
}
