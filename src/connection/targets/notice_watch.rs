use {
    crate::{
        clock::Instant,
        formats::TargetStart,
        metrics::{StateLabels, metrics},
        note,
        request::notices::{NoticeBook, NoticeHeaders, NoticeNews, UnreadableNotice},
        timeline::Event,
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// A header that makes no sense is told of again after this time.
const UNREADABLE_PAUSE: Duration = Duration::from_secs(60);

/// Targets whose senseless headers are remembered; beyond it each one is told of.
const MAX_UNREADABLE: usize = 1024;

/// What targets say of themselves, as the requests of this host hear it.
#[derive(Debug, Default)]
pub struct NoticeWatch {
    book: NoticeBook,
    /// Targets whose headers made no sense, and when that was told last.
    unreadable: HashMap<Arc<str>, Instant>,
}

impl NoticeWatch {
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
        let news = self.book.hear(target, start, &notice, sent, now);
        for news in &news {
            tell(target, news, now);
        }
    }

    fn tell_unreadable(
        &mut self,
        target: &Arc<str>,
        problem: &UnreadableNotice,
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
    news: &NoticeNews,
    now: Instant,
) {
    match news {
        NoticeNews::Limited { rate } => {
            count("limited");
            note!(Event::TargetLimited, target = target, rate = rate);
        }
        NoticeNews::Unlimited { rate } => {
            count("unlimited");
            note!(Event::TargetUnlimited, target = target, rate = rate);
        }
        NoticeNews::Leaves => {
            count("leaving");
            note!(Event::TargetSaidLeaving, target = target);
        }
        NoticeNews::Rests { until } => {
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
