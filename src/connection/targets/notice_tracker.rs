use {
    super::ControlRequest,
    crate::{
        clock::Instant,
        connection::datagram::TargetNews,
        formats::TargetStart,
        metrics::{StateLabels, metrics},
        note,
        request::notices::{
            Availability, InvalidNoticeHeader, NoticeChange, NoticeHeaders, NoticeRegistry,
            TargetNotices,
        },
        timeline::Event,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Minimum time between log lines about unreadable headers of one target.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// Targets for which these log lines are rate-limited; beyond it each unreadable header is logged.
const MAX_UNREADABLE: usize = 1024;

/// How long a target is unavailable to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailability {
    Until(Instant),
    Permanent,
}

/// Tracks the notices of targets in the answers to this host's requests.
pub struct NoticeTracker {
    registry: NoticeRegistry,
    /// Targets that this host avoids: the incarnation and the end of the backoff.
    backoffs: HashMap<Arc<str>, (Option<TargetStart>, Instant)>,
    control: flume::Sender<ControlRequest>,
    /// Targets with unreadable headers, and when that was last logged.
    unreadable: HashMap<Arc<str>, Instant>,
}

impl NoticeTracker {
    pub fn new(control: flume::Sender<ControlRequest>) -> Self {
        Self {
            registry: NoticeRegistry::default(),
            backoffs: HashMap::new(),
            control,
            unreadable: HashMap::new(),
        }
    }

    /// Returns true if no target has notices.
    pub fn is_empty(&self) -> bool {
        self.registry.is_empty()
    }

    /// Returns the availability of a target to this host.
    pub fn availability(
        &self,
        target: &str,
        incarnation: Option<TargetStart>,
        now: Instant,
    ) -> Availability {
        if self.unavailability(target, incarnation, now).is_some() {
            return Availability::Closed;
        }
        let notices = self.registry.get(target, incarnation);
        match notices.is_some_and(|notices| notices.is_limited(now)) {
            true => Availability::Limited,
            false => Availability::Open,
        }
    }

    /// Returns true if a target's notices forbid requests now.
    pub fn is_rejecting_requests(
        &self,
        target: &str,
        incarnation: Option<TargetStart>,
        now: Instant,
    ) -> bool {
        let notices = self.registry.get(target, incarnation);
        notices.is_some_and(|notices| notices.leaving || notices.active_backoff(now).is_some())
    }

    /// Returns how long a target is unavailable to this host; `None` if it is available.
    pub fn unavailability(
        &self,
        target: &str,
        incarnation: Option<TargetStart>,
        now: Instant,
    ) -> Option<Unavailability> {
        let notices = self.registry.get(target, incarnation);
        if notices.is_some_and(|notices| notices.leaving) {
            return Some(Unavailability::Permanent);
        }
        let notice_until = notices.and_then(|notices| notices.active_backoff(now));
        let backoff = self.backoffs.get(target);
        let backoff = backoff.filter(|(of, _)| *of == incarnation);
        let until = backoff.map(|(_, until)| *until);
        let backoff_until = until.filter(|until| now < *until);
        notice_until.max(backoff_until).map(Unavailability::Until)
    }

    /// Marks a target as unavailable to this host until a time.
    pub fn mark_unavailable(
        &mut self,
        target: &Arc<str>,
        incarnation: Option<TargetStart>,
        until: Instant,
    ) {
        let now = Instant::now();
        self.backoffs.retain(|_, (_, until)| now < *until);
        self.backoffs.insert(target.clone(), (incarnation, until));
    }

    /// Returns the notices of a target's incarnation as a message to another host; `None` if there are none.
    pub fn message_for_peer(
        &self,
        target: &str,
        incarnation: Option<TargetStart>,
        now: Instant,
    ) -> Option<TargetNews> {
        let notices = self.registry.get(target, incarnation)?;
        Some(TargetNews::of(target, notices, now))
    }

    /// Returns the rejections per second that a target bears; `None` if it does not say that it is brittle.
    pub fn borne_rejections(
        &self,
        target: &str,
        incarnation: Option<TargetStart>,
    ) -> Option<f64> {
        self.registry.get(target, incarnation)?.borne_rejections()
    }

    /// Merges notices of a target that another host received.
    pub fn on_peer_notices(
        &mut self,
        target: &str,
        notices: &TargetNotices,
        now: Instant,
    ) {
        self.registry.merge(target, notices, now);
    }

    /// Reads the notices in an answer's head; `sent` is when the request was sent.
    pub fn on_answer(
        &mut self,
        target: &Arc<str>,
        incarnation: Option<TargetStart>,
        head: &NoticeHeaders,
        sent: Instant,
        now: Instant,
    ) {
        let (notice, unreadable) = head.read();
        for problem in &unreadable {
            self.log_unreadable(target, problem, now);
        }
        let changes = self
            .registry
            .record(target, incarnation, &notice, sent, now);
        for change in &changes {
            log_change(target, change, now);
        }
        if changes.iter().any(NoticeChange::is_site_wide)
            && let Some(notices) = self.registry.get(target, incarnation)
        {
            let _ = self.control.send(ControlRequest::PublishNotices {
                target: target.to_string(),
                notices: *notices,
            });
        }
    }

    fn log_unreadable(
        &mut self,
        target: &Arc<str>,
        problem: &InvalidNoticeHeader,
        now: Instant,
    ) {
        count("unreadable");
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < UNREADABLE_LOG_INTERVAL;
        if self.unreadable.get(target).is_some_and(is_recent) {
            return;
        }
        self.unreadable.retain(|_, at| is_recent(at));
        if self.unreadable.len() < MAX_UNREADABLE {
            self.unreadable.insert(target.clone(), now);
        }
        note!(
            Event::TargetNoticeUnreadable,
            target = target,
            header = problem.header,
        );
    }
}

/// Logs and counts a changed notice.
fn log_change(
    target: &str,
    change: &NoticeChange,
    now: Instant,
) {
    match change {
        NoticeChange::Limited { rate } => {
            count("limited");
            note!(Event::TargetLimited, target = target, rate = rate);
        }
        NoticeChange::Unlimited { rate } => {
            count("unlimited");
            note!(Event::TargetUnlimited, target = target, rate = rate);
        }
        NoticeChange::Brittle { rejections } => {
            count("brittle");
            note!(
                Event::TargetBrittle,
                target = target,
                rejections = rejections
            );
        }
        NoticeChange::NoLongerBrittle => {
            count("not_brittle");
            note!(Event::TargetNoLongerBrittle, target = target);
        }
        NoticeChange::Leaving => {
            count("leaving");
            note!(Event::TargetSaidLeaving, target = target);
        }
        NoticeChange::BackingOff { until } => {
            count("rests");
            let rest = until.saturating_duration_since(now);
            note!(
                Event::TargetRests,
                target = target,
                rest_ms = rest.as_millis()
            );
        }
    }
}

fn count(state: &'static str) {
    let labels = StateLabels { state };
    metrics().target_notices.get_or_create(&labels).inc();
}
