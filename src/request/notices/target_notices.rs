use {
    super::{LimitWord, NamedLimit, Notice},
    crate::{clock::Instant, formats::TargetStart},
};

/// What is new of a target, for lines and for other hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoticeNews {
    /// It names this limit, in requests a second, or another one than before.
    Limited { rate: f64 },
    /// It names no limit any more.
    Unlimited { rate: f64 },
    /// It leaves.
    Leaves,
    /// It wants nothing from this host until then.
    Rests { until: Instant },
}

impl NoticeNews {
    /// True for what all hosts must know; a rest is for the one that is told of it.
    pub fn concerns_all_hosts(&self) -> bool {
        !matches!(self, Self::Rests { .. })
    }
}

/// What one start of a target has said of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetNotices {
    /// Which start said it; `None` where the platform does not tell.
    pub start: Option<TargetStart>,
    pub limit: Option<NamedLimit>,
    /// It leaves; that is never taken back.
    pub leaves: bool,
    /// It wants nothing from this host until then.
    pub rest_until: Option<Instant>,
    /// When anything of it was last heard.
    pub heard: Instant,
}

impl TargetNotices {
    pub fn new(
        start: Option<TargetStart>,
        now: Instant,
    ) -> Self {
        Self {
            start,
            limit: None,
            leaves: false,
            rest_until: None,
            heard: now,
        }
    }

    /// Takes in what an answer says to a request that was sent at `sent`; gives what is new.
    pub fn hear(
        &mut self,
        notice: &Notice,
        sent: Instant,
        now: Instant,
    ) -> Vec<NoticeNews> {
        self.heard = now;
        let mut news = Vec::new();
        news.extend(self.hear_limit(notice.limit, sent, now));
        if notice.leaves && !self.leaves {
            self.leaves = true;
            news.push(NoticeNews::Leaves);
        }
        if let Some(rest) = notice.rest {
            let until = now + rest;
            if self.rest_until.is_none_or(|known| known < until) {
                self.rest_until = Some(until);
                news.push(NoticeNews::Rests { until });
            }
        }
        news
    }

    fn hear_limit(
        &mut self,
        word: LimitWord,
        sent: Instant,
        now: Instant,
    ) -> Option<NoticeNews> {
        let known = self.limit.filter(|limit| limit.rate_at(now).is_some());
        match word {
            LimitWord::Rate(rate) => {
                let told = NamedLimit {
                    rate,
                    told: now,
                    ended: false,
                };
                self.limit = Some(told);
                let same = known.is_some_and(|known| !known.ended && known.rate == rate);
                (!same).then_some(NoticeNews::Limited { rate })
            }
            // An answer to a request from before the limit was named says nothing of it.
            LimitWord::Absent => {
                let known = known.filter(|known| !known.ended && known.told < sent)?;
                self.limit = Some(NamedLimit {
                    told: now,
                    ended: true,
                    ..known
                });
                Some(NoticeNews::Unlimited { rate: known.rate })
            }
            LimitWord::Unknown => None,
        }
    }

    /// Until when the target wants nothing from this host, if it rests now.
    pub fn rests(
        &self,
        now: Instant,
    ) -> Option<Instant> {
        self.rest_until.filter(|until| now < *until)
    }

    /// True if the target takes only so many requests a second now.
    pub fn is_limited(
        &self,
        now: Instant,
    ) -> bool {
        let limit = self.limit.as_ref();
        limit.is_some_and(|limit| limit.rate_at(now).is_some())
    }

    /// Takes in what another host knows of the same start; true if the target says something else than was known. That it says
    /// the same still is no news: each answer does. Rests are each host's own.
    pub fn join(
        &mut self,
        other: &Self,
    ) -> bool {
        let before = self.said_to_all();
        self.leaves |= other.leaves;
        self.limit = match (self.limit, other.limit) {
            (Some(known), Some(told)) => Some(known.join(told)),
            (known, told) => known.or(told),
        };
        self.heard = self.heard.max(other.heard);
        before != self.said_to_all()
    }

    /// What it says to all hosts.
    fn said_to_all(&self) -> (Option<(f64, bool)>, bool) {
        let limit = self.limit.map(|limit| (limit.rate, limit.ended));
        (limit, self.leaves)
    }
}
