//! Allocates concurrency slots at the targets of the plain services whose hash slot this host holds.

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

/// Interval at which the targets of a service are refreshed, so that not every request scans all targets.
const TARGETS_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// The concurrency slots of a service that are allocated here.
#[derive(Debug, Default)]
pub(super) struct AllocatedSlots {
    slots: ServiceSlots,
    /// When the targets were last refreshed.
    refreshed_at: Option<Instant>,
}

impl AllocatedSlots {
    fn is_refresh_due(
        &self,
        now: Instant,
    ) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= TARGETS_REFRESH_INTERVAL;
        self.refreshed_at.is_none_or(is_old)
    }
}

impl HostControl {
    /// Handles a host's request for a concurrency slot.
    pub(super) fn on_slot_request(
        &mut self,
        from: SocketAddr,
        request: &PlaceWanted,
        now: Instant,
    ) -> ControlAction {
        let mut response = PlaceGiven {
            id: request.id,
            ..PlaceGiven::default()
        };
        let state = match self.allocate_slot(request, now) {
            SlotResponse::Granted { target } => {
                response.target = target.to_string();
                "granted"
            }
            SlotResponse::Full { retry_after } => {
                response.come_back_ms = u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX);
                "full"
            }
            SlotResponse::NoTarget => {
                response.unknown = true;
                "nowhere"
            }
        };
        let labels = StateLabels { state };
        metrics().places.get_or_create(&labels).inc();
        self.send(from, Message::PlaceGiven(response))
    }

    /// Releases a concurrency slot.
    pub(super) fn on_slot_release(
        &mut self,
        ended: &PlaceEnded,
    ) {
        if let Some(allocated) = self.allocated_slots.get_mut(&ended.service) {
            allocated
                .slots
                .release(&ended.target, ended.id, ended.end());
        }
    }

    fn allocate_slot(
        &mut self,
        request: &PlaceWanted,
        now: Instant,
    ) -> SlotResponse {
        let hash_slot = shard_lease(shard_for(&request.service, 0));
        if self.assignment.held_engine(&hash_slot, now).is_none() {
            return SlotResponse::NoTarget;
        }
        let allocated = self
            .allocated_slots
            .entry(request.service.clone())
            .or_default();
        if allocated.is_refresh_due(now) {
            allocated.refreshed_at = Some(now);
            let targets = self.targets.iter();
            let targets = targets
                .filter(|(_, target)| target.record.service == request.service)
                .filter(|(id, target)| {
                    target.is_usable() && !self.notices.has_announced_leaving(id, target)
                })
                .map(|(id, target)| (id.as_str(), target.record.slots));
            allocated.slots.set_targets(targets);
        }
        let slot_request = SlotRequest {
            id: request.id,
            excluded: &request.passed_over,
            latency_goal: Duration::from_millis(u64::from(request.aim_ms)),
            time_left: Duration::from_millis(u64::from(request.left_ms)),
        };
        allocated.slots.acquire(&slot_request, now)
    }
}
