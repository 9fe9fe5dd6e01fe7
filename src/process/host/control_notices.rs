//! The control thread's part for what targets say of themselves: news of it between hosts, and leave to send to those that
//! take only so many requests a second.

use {
    super::{ControlAction, HostControl, listed_target::ListedTarget},
    crate::{
        clock::Instant,
        connection::datagram::{Message, PermitAnswer, PermitAsk, TargetNews},
        metrics::{StateLabels, metrics},
        note,
        process::hosts::HostState,
        request::{
            notices::{NoticeRegistry, TargetNotices},
            permits::{PermitAllocator, permit_host},
        },
        timeline::Event,
    },
    std::{net::SocketAddr, time::Duration},
};

/// News of a target is told to all so many times, since messages are lost.
const TELLINGS: u32 = 3;

/// Time between two of them.
const TELLING_PAUSE: Duration = Duration::from_millis(300);

/// A host that is not the one to count says so, and is not asked again for so long: by then all know the same hosts.
const NOT_COUNTED_PAUSE: Duration = Duration::from_millis(100);

/// What targets have said of themselves, as this host knows it, and what it counts for the others.
#[derive(Debug, Default)]
pub(super) struct KnownNotices {
    book: NoticeRegistry,
    desk: PermitAllocator,
    /// News that all hosts are still to be told of.
    untold: Vec<Telling>,
}

#[derive(Debug)]
struct Telling {
    target: String,
    notices: TargetNotices,
    left: u32,
    due: Instant,
}

impl KnownNotices {
    /// True if a target has said in an answer that it leaves; the list may say so much later, or still tell otherwise.
    pub fn says_leaving(
        &self,
        id: &str,
        target: &ListedTarget,
    ) -> bool {
        self.book.is_leaving(id, target.record.started)
    }
}

impl HostControl {
    /// An answer to a request of this host says something new of its target.
    pub(super) fn on_notice_heard(
        &mut self,
        target: &str,
        notices: &TargetNotices,
        now: Instant,
    ) -> Vec<ControlAction> {
        if !self.take_notices(target, notices, now) {
            return Vec::new();
        }
        match self.permit_host(target) {
            Some(counting_host) if counting_host != self.hosts.me().peer => {
                let news = TargetNews::of(target, notices, now);
                let message = Message::TargetNews(news);
                vec![ControlAction::Send {
                    to: counting_host,
                    message,
                }]
            }
            _ => self.tell_notices(target, notices, now),
        }
    }

    /// Another host tells of a target.
    pub(super) fn on_target_news(
        &mut self,
        news: &TargetNews,
        now: Instant,
    ) -> Vec<ControlAction> {
        let notices = news.notices(now);
        if !self.take_notices(&news.target, &notices, now) {
            return Vec::new();
        }
        let limit = notices.limit;
        note!(
            Event::TargetNoticeTold,
            target = news.target,
            leaves = notices.leaving,
            rate = limit.map_or(-1.0, |limit| limit.rate),
            ended = limit.is_some_and(|limit| limit.ended),
            age_ms = limit.map_or(0, |limit| {
                now.saturating_duration_since(limit.reported_at).as_millis()
            }),
        );
        let mut actions = vec![ControlAction::DeliverNotices {
            target: news.target.clone(),
            notices,
        }];
        // Whoever hears of a target tells the host that counts for it, and that one all others.
        if self.permit_host(&news.target) == Some(self.hosts.me().peer) {
            actions.extend(self.tell_notices(&news.target, &notices, now));
        }
        actions
    }

    /// A host asks for leave to send one request to a target.
    pub(super) fn on_permit_ask(
        &mut self,
        from: SocketAddr,
        ask: &PermitAsk,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = self.on_target_news(&ask.news, now);
        let outcome = self.permit(&ask.news, now);
        let state = match &outcome {
            Ok(()) => "granted",
            Err(_) => "denied",
        };
        let labels = StateLabels { state };
        metrics().permits.get_or_create(&labels).inc();
        let pause = outcome.err().unwrap_or_default();
        let answer = PermitAnswer {
            id: ask.id,
            granted: outcome.is_ok(),
            ask_again_ms: u32::try_from(pause.as_millis() + 1).unwrap_or(u32::MAX),
        };
        actions.push(self.send(from, Message::PermitAnswer(answer)));
        actions
    }

    fn permit(
        &mut self,
        news: &TargetNews,
        now: Instant,
    ) -> Result<(), Duration> {
        if self.permit_host(&news.target) != Some(self.hosts.me().peer) {
            return Err(NOT_COUNTED_PAUSE);
        }
        let start = news.notices(now).start;
        let known = self.notices.book.get(&news.target, start);
        let limit = known.and_then(|known| known.limit);
        match limit.and_then(|limit| limit.rate_at(now)) {
            Some(rate) => self.notices.desk.request(&news.target, start, rate, now),
            // The limit is over; whoever asks has not heard of it.
            None => Ok(()),
        }
    }

    /// Where this host asks for leave to send to a target.
    pub(super) fn permit_host(
        &self,
        target: &str,
    ) -> Option<SocketAddr> {
        let others = self.hosts.hosts();
        let alive = others.filter(|host| host.state == HostState::Alive);
        let peers = alive.map(|host| host.identity.peer);
        let me = (!self.hosts.is_leaving()).then(|| self.hosts.me().peer);
        permit_host(target, peers.chain(me))
    }

    fn take_notices(
        &mut self,
        target: &str,
        notices: &TargetNotices,
        now: Instant,
    ) -> bool {
        if !self.notices.book.merge(target, notices, now) {
            return false;
        }
        if notices.leaving {
            // It is no longer seen by requests, and gets no orders.
            self.changed = true;
            self.engines = None;
        }
        true
    }

    /// Tells all hosts of a target, a few times.
    fn tell_notices(
        &mut self,
        target: &str,
        notices: &TargetNotices,
        now: Instant,
    ) -> Vec<ControlAction> {
        let untold = &mut self.notices.untold;
        untold.retain(|telling| telling.target != target);
        untold.push(Telling {
            target: target.to_string(),
            notices: *notices,
            left: TELLINGS,
            due: now,
        });
        self.tick_notices(now)
    }

    /// Tells what is due to be told.
    pub(super) fn tick_notices(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut untold = std::mem::take(&mut self.notices.untold);
        let mut actions = Vec::new();
        for telling in untold.iter_mut().filter(|telling| telling.due <= now) {
            telling.left -= 1;
            telling.due = now + TELLING_PAUSE;
            let news = TargetNews::of(&telling.target, &telling.notices, now);
            let up = self.hosts.hosts().filter(|host| host.state.is_up());
            actions.extend(up.map(|host| ControlAction::Send {
                to: host.identity.peer,
                message: Message::TargetNews(news.clone()),
            }));
        }
        untold.retain(|telling| telling.left > 0);
        self.notices.untold = untold;
        actions
    }
}
