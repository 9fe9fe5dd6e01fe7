//! Control-thread handling of target notices: their distribution between hosts, and permits to send to rate-limited
//! targets.

use {
    super::{ControlAction, HostControl, listed_target::ListedTarget},
    crate::{
        clock::Instant,
        connection::datagram::{
            Message, PermitAnswer, PermitAsk, PermitReport, PermitStage, TargetNews,
        },
        formats::TargetStart,
        metrics::{StateLabels, metrics},
        note,
        process::hosts::HostState,
        request::{
            notices::{NoticeRegistry, TargetNotices},
            permits::{PermitAllocator, PermitEvent, RejectionBudgets, permit_host},
        },
        timeline::Event,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Number of times a notice is broadcast, since datagrams can be lost.
const BROADCAST_COUNT: u32 = 3;

/// Time between two broadcasts of the same notice.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(300);

/// Retry delay returned by a host that does not issue the target's permits.
const WRONG_HOST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Target notices known to this host, and the permits that it issues.
#[derive(Debug, Default)]
pub(super) struct NoticeState {
    registry: NoticeRegistry,
    allocator: PermitAllocator,
    rejections: RejectionBudgets,
    /// Notices with broadcasts left.
    pending_broadcasts: Vec<NoticeBroadcast>,
}

#[derive(Debug)]
struct NoticeBroadcast {
    target: String,
    notices: TargetNotices,
    recipients: Recipients,
    remaining: u32,
    due: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Recipients {
    AllHosts,
    Host(SocketAddr),
}

impl NoticeState {
    /// Returns true if a response of the target announced that it is leaving; its list entry may lag behind.
    pub fn has_announced_leaving(
        &self,
        id: &str,
        target: &ListedTarget,
    ) -> bool {
        self.registry.is_leaving(id, target.record.started)
    }
}

impl HostControl {
    /// Handles notices from a response to a request of this host.
    pub(super) fn on_response_notices(
        &mut self,
        target: &str,
        notices: &TargetNotices,
        now: Instant,
    ) -> Vec<ControlAction> {
        if !self.merge_notices(target, notices, now) {
            return Vec::new();
        }
        match self.permit_host(target) {
            Some(permit_peer) if permit_peer != self.hosts.me().peer => {
                let update = TargetNews::of(target, notices, now);
                let message = Message::TargetNews(update);
                vec![ControlAction::Send {
                    to: permit_peer,
                    message,
                }]
            }
            _ => self.broadcast_notices(target, notices, now),
        }
    }

    /// Merges a target's notices received from another host.
    pub(super) fn on_target_notices(
        &mut self,
        update: &TargetNews,
        now: Instant,
    ) -> Vec<ControlAction> {
        let notices = update.notices(now);
        if !self.merge_notices(&update.target, &notices, now) {
            return Vec::new();
        }
        let limit = notices.limit;
        note!(
            Event::TargetNoticeTold,
            target = update.target,
            leaves = notices.leaving,
            rate = limit.map_or(-1.0, |limit| limit.rate),
            rejections = notices.borne_rejections().unwrap_or(-1.0),
            ended = limit.is_some_and(|limit| limit.ended),
            age_ms = limit.map_or(0, |limit| {
                now.saturating_duration_since(limit.reported_at).as_millis()
            }),
        );
        let mut actions = vec![ControlAction::DeliverNotices {
            target: update.target.clone(),
            notices,
        }];
        // Hosts report notices to the target's permit host, which broadcasts them.
        if self.permit_host(&update.target) == Some(self.hosts.me().peer) {
            actions.extend(self.broadcast_notices(&update.target, &notices, now));
        }
        actions
    }

    /// Answers a host's request for a permit to send one request to a target.
    pub(super) fn on_permit_request(
        &mut self,
        from: SocketAddr,
        request: &PermitAsk,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = self.on_target_notices(&request.news, now);
        let outcome = self.allocate_permit(request, now);
        let state = match &outcome {
            Ok(()) => "granted",
            Err(_) => "denied",
        };
        let labels = StateLabels { state };
        metrics().permits.get_or_create(&labels).inc();
        let retry_delay = outcome.err().unwrap_or_default();
        let answer = PermitAnswer {
            id: request.id,
            granted: outcome.is_ok(),
            ask_again_ms: u32::try_from(retry_delay.as_millis() + 1).unwrap_or(u32::MAX),
        };
        actions.push(self.send(from, Message::PermitAnswer(answer)));
        actions
    }

    /// Handles how far a request with a permit for a brittle target has got.
    pub(super) fn on_permit_report(
        &mut self,
        report: &PermitReport,
        now: Instant,
    ) {
        let start = report.start_ms.map(TargetStart::from_unix_ms);
        let stage = PermitStage::try_from(report.stage).unwrap_or(PermitStage::Ended);
        let event = match stage {
            PermitStage::Accepted => PermitEvent::Accepted,
            PermitStage::Rejected => PermitEvent::Rejected,
            PermitStage::Ended => PermitEvent::Ended,
        };
        let rejections = &mut self.notices.rejections;
        let usage = rejections.on_event(&report.target, start, report.id, event, now);
        if event == PermitEvent::Rejected {
            note!(
                Event::TargetRejections,
                target = report.target,
                rejected = usage.rejected,
                running = usage.running,
            );
        }
    }

    fn allocate_permit(
        &mut self,
        request: &PermitAsk,
        now: Instant,
    ) -> Result<(), Duration> {
        let update = &request.news;
        if self.permit_host(&update.target) != Some(self.hosts.me().peer) {
            return Err(WRONG_HOST_RETRY_DELAY);
        }
        let start = update.notices(now).start;
        if let Some(bound) = request.borne_rejections {
            let rejections = &mut self.notices.rejections;
            rejections.request(&update.target, start, request.id, bound, now)?;
        }
        let merged = self.notices.registry.get(&update.target, start);
        let limit = merged.and_then(|notices| notices.limit);
        match limit.and_then(|limit| limit.limit_at(now)) {
            Some(rate) => self
                .notices
                .allocator
                .request(&update.target, start, rate, now),
            // The limit has ended, and the requesting host does not know it yet.
            None => Ok(()),
        }
    }

    /// Sends the notices in force to a host that has come up: no answer has told it of them.
    ///
    /// The host that issued a target's permits before that one came up does so.
    pub(super) fn send_notices_in_force(
        &mut self,
        peer: SocketAddr,
        now: Instant,
    ) {
        let me = self.hosts.me().peer;
        let in_force = self.notices.registry.in_force(now);
        let mine =
            in_force.filter(|(target, _)| self.permit_host_without(target, peer) == Some(me));
        let messages: Vec<NoticeBroadcast> = mine
            .map(|(target, notices)| NoticeBroadcast {
                target: target.to_string(),
                notices: *notices,
                recipients: Recipients::Host(peer),
                remaining: BROADCAST_COUNT,
                due: now,
            })
            .collect();
        self.notices.pending_broadcasts.extend(messages);
    }

    /// Returns the host that issues permits for a target.
    pub(super) fn permit_host(
        &self,
        target: &str,
    ) -> Option<SocketAddr> {
        permit_host(target, self.permit_hosts())
    }

    /// Returns the host that would issue permits for a target without one host.
    fn permit_host_without(
        &self,
        target: &str,
        without: SocketAddr,
    ) -> Option<SocketAddr> {
        permit_host(target, self.permit_hosts().filter(|peer| *peer != without))
    }

    /// Returns all hosts that may issue permits.
    fn permit_hosts(&self) -> impl Iterator<Item = SocketAddr> {
        let others = self.hosts.hosts();
        let alive = others.filter(|host| host.state == HostState::Alive);
        let peers = alive.map(|host| host.identity.peer);
        let me = (!self.hosts.is_leaving()).then(|| self.hosts.me().peer);
        peers.chain(me)
    }

    fn merge_notices(
        &mut self,
        target: &str,
        notices: &TargetNotices,
        now: Instant,
    ) -> bool {
        if !self.notices.registry.merge(target, notices, now) {
            return false;
        }
        if notices.leaving {
            // A leaving target is removed from the published view and from the assignable engines.
            self.changed = true;
            self.engines = None;
        }
        true
    }

    /// Broadcasts a target's notices to all hosts, `BROADCAST_COUNT` times.
    fn broadcast_notices(
        &mut self,
        target: &str,
        notices: &TargetNotices,
        now: Instant,
    ) -> Vec<ControlAction> {
        let pending_broadcasts = &mut self.notices.pending_broadcasts;
        pending_broadcasts.retain(|broadcast| broadcast.target != target);
        pending_broadcasts.push(NoticeBroadcast {
            target: target.to_string(),
            notices: *notices,
            recipients: Recipients::AllHosts,
            remaining: BROADCAST_COUNT,
            due: now,
        });
        self.tick_notices(now)
    }

    /// Sends the broadcasts that are due.
    pub(super) fn tick_notices(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut pending_broadcasts = std::mem::take(&mut self.notices.pending_broadcasts);
        let mut actions = Vec::new();
        for broadcast in pending_broadcasts
            .iter_mut()
            .filter(|broadcast| broadcast.due <= now)
        {
            broadcast.remaining -= 1;
            broadcast.due = now + BROADCAST_INTERVAL;
            let update = TargetNews::of(&broadcast.target, &broadcast.notices, now);
            let recipients = match broadcast.recipients {
                Recipients::AllHosts => self.peers_up(),
                Recipients::Host(peer) => vec![peer],
            };
            actions.extend(recipients.into_iter().map(|to| ControlAction::Send {
                to,
                message: Message::TargetNews(update.clone()),
            }));
        }
        pending_broadcasts.retain(|broadcast| broadcast.remaining > 0);
        self.notices.pending_broadcasts = pending_broadcasts;
        actions
    }

    fn peers_up(&self) -> Vec<SocketAddr> {
        let up = self.hosts.hosts().filter(|host| host.state.is_up());
        up.map(|host| host.identity.peer).collect()
    }
}
