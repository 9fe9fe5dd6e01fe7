//! What targets say of themselves, and leave to send to those that take only so many requests.

use {
    super::{Closing, ControlRequest, TargetBoard},
    crate::{clock::Instant, connection::datagram::PermitAsk, request::notices::Availability},
    std::sync::Arc,
};

impl TargetBoard {
    /// Whether a target may get a request of this host now, by what it says of itself.
    pub fn openness(
        &self,
        target: &str,
        now: Instant,
    ) -> Availability {
        match self.notices.is_quiet() {
            true => Availability::Open,
            false => self.notices.openness(target, self.started(target), now),
        }
    }

    /// True if a target has said that this host must not send there now, whatever leave it has.
    pub fn forbids(
        &self,
        target: &str,
        now: Instant,
    ) -> bool {
        !self.notices.is_quiet() && self.notices.forbids(target, self.started(target), now)
    }

    /// When the first of these targets opens, if all of them are closed to this host now and one will open.
    pub fn first_opening<'a>(
        &self,
        targets: impl Iterator<Item = &'a Arc<str>>,
        now: Instant,
    ) -> Option<Instant> {
        let closing = |target: &Arc<str>| {
            let start = self.started(target);
            self.notices.closing(target, start, now)
        };
        let closings: Option<Vec<Closing>> = targets.map(closing).collect();
        let opening = |closing| match closing {
            Closing::Until(until) => Some(until),
            Closing::ForGood => None,
        };
        closings?.into_iter().filter_map(opening).min()
    }

    /// A target is left alone until then.
    pub fn close(
        &mut self,
        target: &Arc<str>,
        until: Instant,
    ) {
        let start = self.started(target);
        self.notices.close(target, start, until);
    }

    /// Asks the host that counts what a target gets for leave to send one request there.
    pub fn ask_permit(
        &self,
        id: u64,
        target: &str,
        now: Instant,
    ) {
        let start = self.started(target);
        if let Some(news) = self.notices.news_of(target, start, now) {
            let ask = PermitAsk { id, news };
            let _ = self.control.send(ControlRequest::WantPermit(ask));
        }
    }
}
