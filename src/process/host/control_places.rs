//! The control thread's part for places at the targets of plain services: this host gives them out for the services
//! whose slot it holds.

use {
    super::{ControlAction, HostControl},
    crate::{
        clock::Instant,
        connection::datagram::{Message, PlaceEnded, PlaceGiven, PlaceWanted},
        metrics::{StateLabels, metrics},
        request::{
            places::{ServiceSlots, SlotRequest, SlotResponse},
            quotas::{shard_for, shard_lease},
        },
    },
    std::{net::SocketAddr, time::Duration},
};

/// Time between two looks at which targets a service has. One that leaves is given out for so much longer at the most,
/// which is little beside the bound of seconds, and hosts look at the list themselves before they send; thousands of targets
/// are not gone through for each ask.
const TARGETS_PAUSE: Duration = Duration::from_millis(50);

/// The places of a service that are given out here.
#[derive(Debug, Default)]
pub(super) struct GivenPlaces {
    places: ServiceSlots,
    /// When its targets were last looked at.
    looked: Option<Instant>,
}

impl GivenPlaces {
    fn is_due(
        &self,
        now: Instant,
    ) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= TARGETS_PAUSE;
        self.looked.is_none_or(is_old)
    }
}

impl HostControl {
    /// A host asks for a place.
    pub(super) fn on_place_wanted(
        &mut self,
        from: SocketAddr,
        wanted: &PlaceWanted,
        now: Instant,
    ) -> ControlAction {
        let mut given = PlaceGiven {
            id: wanted.id,
            ..PlaceGiven::default()
        };
        let state = match self.give_place(wanted, now) {
            SlotResponse::Granted { target } => {
                given.target = target.to_string();
                "granted"
            }
            SlotResponse::Full { retry_after } => {
                given.come_back_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
                "full"
            }
            SlotResponse::NoTarget => {
                given.unknown = true;
                "nowhere"
            }
        };
        let labels = StateLabels { state };
        metrics().places.get_or_create(&labels).inc();
        self.send(from, Message::PlaceGiven(given))
    }

    /// A place is free again.
    pub(super) fn on_place_ended(
        &mut self,
        ended: &PlaceEnded,
    ) {
        if let Some(given) = self.places.get_mut(&ended.service) {
            given.places.release(&ended.target, ended.id, ended.end());
        }
    }

    fn give_place(
        &mut self,
        wanted: &PlaceWanted,
        now: Instant,
    ) -> SlotResponse {
        let slot = shard_lease(shard_for(&wanted.service, 0));
        if self.holding.held_engine(&slot, now).is_none() {
            return SlotResponse::NoTarget;
        }
        let given = self.places.entry(wanted.service.clone()).or_default();
        if given.is_due(now) {
            given.looked = Some(now);
            let targets = self.targets.iter();
            let targets = targets
                .filter(|(_, target)| target.record.service == wanted.service)
                .filter(|(id, target)| {
                    target.is_usable() && !self.notices.has_announced_leaving(id, target)
                })
                .map(|(id, target)| (id.as_str(), target.record.slots));
            given.places.set_targets(targets);
        }
        let ask = SlotRequest {
            id: wanted.id,
            excluded: &wanted.passed_over,
            latency_goal: Duration::from_millis(u64::from(wanted.aim_ms)),
            time_left: Duration::from_millis(u64::from(wanted.left_ms)),
        };
        given.places.acquire(&ask, now)
    }
}
