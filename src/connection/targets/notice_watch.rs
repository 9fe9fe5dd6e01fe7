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

/// A header that makes no sense is told of again after this time.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(60);

/// Targets whose senseless headers are remembered; beyond it each one is told of.
const MAX_UNREADABLE: usize = 1024;

/// For how long a target takes no request of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closing {
    Until(Instant),
    ForGood,
}

/// What targets say of themselves, as the requests of this host hear it.
pub struct NoticeWatch {
    book: NoticeRegistry,
    /// Targets that this host leaves alone for a moment, until when, and of which start that holds.
    closed: HashMap<Arc<str>, (Option<TargetStart>, Instant)>,
    control: flume::Sender<ControlRequest>,
    /// Targets whose headers made no sense, and when that was told last.
    unreadable: HashMap<Arc<str>, Instant>,
}

impl NoticeWatch {
    pub fn new(control: flume::Sender<ControlRequest>) -> Self {
        Self {
            book: NoticeRegistry::default(),
            closed: HashMap::new(),
            control,
            unreadable: HashMap::new(),
        }
    }

    /// True while no target is in need.
    pub fn is_quiet(&self) -> bool {
        self.book.is_empty()
    }

    /// Whether a target may get a request of this host now.
    pub fn openness(
        &self,
        target: &str,
        start: Option<TargetStart>,
        now: Instant,
    ) -> Availability {
        if self.closing(target, start, now).is_some() {
            return Availability::Closed;
        }
        let said = self.book.get(target, start);
        match said.is_some_and(|said| said.is_limited(now)) {
            true => Availability::Limited,
            false => Availability::Open,
        }
    }

    /// True if a target has said that this host must not send there now.
    pub fn forbids(
        &self,
        target: &str,
        start: Option<TargetStart>,
        now: Instant,
    ) -> bool {
        let said = self.book.get(target, start);
        said.is_some_and(|said| said.leaving || said.active_backoff(now).is_some())
    }

    /// Until when a target is closed to this host, if it is.
    pub fn closing(
        &self,
        target: &str,
        start: Option<TargetStart>,
        now: Instant,
    ) -> Option<Closing> {
        let said = self.book.get(target, start);
        if said.is_some_and(|said| said.leaving) {
            return Some(Closing::ForGood);
        }
        let rests = said.and_then(|said| said.active_backoff(now));
        let closed = self.closed.get(target);
        let closed = closed.filter(|(of, _)| *of == start);
        let until = closed.map(|(_, until)| *until);
        let closed = until.filter(|until| now < *until);
        rests.max(closed).map(Closing::Until)
    }

    /// A target is left alone until then.
    pub fn close(
        &mut self,
        target: &Arc<str>,
        start: Option<TargetStart>,
        until: Instant,
    ) {
        let now = Instant::now();
        self.closed.retain(|_, (_, until)| now < *until);
        self.closed.insert(target.clone(), (start, until));
    }

    /// What is known of a start of a target, for another host; `None` if that is nothing.
    pub fn news_of(
        &self,
        target: &str,
        start: Option<TargetStart>,
        now: Instant,
    ) -> Option<TargetNews> {
        let said = self.book.get(target, start)?;
        Some(TargetNews::of(target, said, now))
    }

    /// Another host has heard what a target says.
    pub fn take(
        &mut self,
        target: &str,
        notices: &TargetNotices,
        now: Instant,
    ) {
        self.book.merge(target, notices, now);
    }

    /// Reads what the head of an answer says of its target; the request was sent at `sent`.
    pub fn on_answer(
        &mut self,
        target: &Arc<str>,
        start: Option<TargetStart>,
        head: &NoticeHeaders,
        sent: Instant,
        now: Instant,
    ) {
        let (notice, unreadable) = head.read();
        for problem in &unreadable {
            self.tell_unreadable(target, problem, now);
        }
        let news = self.book.record(target, start, &notice, sent, now);
        for news in &news {
            tell(target, news, now);
        }
        if news.iter().any(NoticeChange::is_site_wide)
            && let Some(notices) = self.book.get(target, start)
        {
            let _ = self.control.send(ControlRequest::Heard {
                target: target.to_string(),
                notices: *notices,
            });
        }
    }

    fn tell_unreadable(
        &mut self,
        target: &Arc<str>,
        problem: &InvalidNoticeHeader,
        now: Instant,
    ) {
        count("unreadable");
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < UNREADABLE_PAUSE;
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

/// Tells what a target says that it did not say before.
fn tell(
    target: &str,
    news: &NoticeChange,
    now: Instant,
) {
    match news {
        NoticeChange::Limited { rate } => {
            count("limited");
            note!(Event::TargetLimited, target = target, rate = rate);
        }
        NoticeChange::Unlimited { rate } => {
            count("unlimited");
            note!(Event::TargetUnlimited, target = target, rate = rate);
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
