//! Messages on what targets say of themselves, and on leave to send to those that take only so many requests.

use crate::{
    clock::Instant,
    formats::TargetStart,
    request::notices::{AnnouncedRate, TargetNotices},
};

/// A rate that a target has named.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RateNews {
    /// Per second, for all hosts together.
    #[prost(double, tag = "1")]
    pub rate: f64,
    /// Time since a host last heard of it, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub told_ago_ms: u32,
    /// What was heard then is that it is over.
    #[prost(bool, tag = "3")]
    pub ended: bool,
}

/// What a target has said of itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetNews {
    #[prost(string, tag = "1")]
    pub target: String,
    /// Which start of it, as Unix milliseconds; absent where the platform does not tell.
    #[prost(uint64, optional, tag = "2")]
    pub start_ms: Option<u64>,
    /// It leaves.
    #[prost(bool, tag = "3")]
    pub leaves: bool,
    /// Requests that it takes.
    #[prost(message, optional, tag = "4")]
    pub limit: Option<RateNews>,
    /// Rejections that it bears, if it is brittle.
    #[prost(message, optional, tag = "5")]
    pub brittle: Option<RateNews>,
}

/// Asks the host that counts what a target gets for leave to send one request there.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitAsk {
    /// Names the ask to the host that asks.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The target, and the limit as the host that asks knows it.
    #[prost(message, required, tag = "2")]
    pub news: TargetNews,
    /// Rejections a second that targets of its service bear, if they are brittle.
    #[prost(double, optional, tag = "3")]
    pub borne_rejections: Option<f64>,
}

/// How far a request with a permit for a brittle target has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum PermitStage {
    /// The target has accepted it.
    Accepted = 0,
    /// The target has turned it away.
    Rejected = 1,
    /// It has ended, or was never sent.
    Ended = 2,
}

/// Tells the host that has granted a permit how far its request has got.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitReport {
    /// As in the ask.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    #[prost(string, tag = "2")]
    pub target: String,
    /// Which start of it, as Unix milliseconds; absent where the platform does not tell.
    #[prost(uint64, optional, tag = "3")]
    pub start_ms: Option<u64>,
    #[prost(enumeration = "PermitStage", tag = "4")]
    pub stage: i32,
}

/// Answers an ask for leave.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitAnswer {
    /// As in the ask.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    #[prost(bool, tag = "2")]
    pub granted: bool,
    /// If not, the time after which to ask again, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub ask_again_ms: u32,
}

impl RateNews {
    fn of(
        known: &AnnouncedRate,
        now: Instant,
    ) -> Self {
        Self {
            rate: known.rate,
            told_ago_ms: millis_since(known.reported_at, now),
            ended: known.ended,
        }
    }

    /// What another host knows, by this host's clock; `None` if the rate makes no sense.
    fn announced(
        &self,
        now: Instant,
    ) -> Option<AnnouncedRate> {
        let known = AnnouncedRate {
            rate: self.rate,
            reported_at: before(now, self.told_ago_ms),
            ended: self.ended,
        };
        (known.rate >= 0.0).then_some(known)
    }
}

impl TargetNews {
    /// What is known of one start of a target, for another host.
    pub fn of(
        target: &str,
        notices: &TargetNotices,
        now: Instant,
    ) -> Self {
        Self {
            target: target.to_string(),
            start_ms: notices.start.map(TargetStart::unix_ms),
            leaves: notices.leaving,
            limit: notices.limit.map(|limit| RateNews::of(&limit, now)),
            brittle: notices.brittleness.map(|known| RateNews::of(&known, now)),
        }
    }

    /// What another host knows, by this host's clock.
    pub fn notices(
        &self,
        now: Instant,
    ) -> TargetNotices {
        let start = self.start_ms.map(TargetStart::from_unix_ms);
        TargetNotices {
            limit: self.limit.and_then(|limit| limit.announced(now)),
            brittleness: self.brittle.and_then(|known| known.announced(now)),
            leaving: self.leaves,
            ..TargetNotices::new(start, now)
        }
    }
}

fn millis_since(
    at: Instant,
    now: Instant,
) -> u32 {
    let passed = now.saturating_duration_since(at);
    u32::try_from(passed.as_millis()).unwrap_or(u32::MAX)
}

fn before(
    now: Instant,
    ms: u32,
) -> Instant {
    let time = std::time::Duration::from_millis(u64::from(ms));
    now.checked_sub(time).unwrap_or(now)
}
