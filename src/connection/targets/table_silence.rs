//! Which targets are silent, and whether that is for reasons of their own.

use {
    super::{TargetIncarnation, TargetLink, TargetTable},
    crate::clock::Instant,
    std::time::Duration,
};

/// A target with requests in flight that sends nothing for this long counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Targets that fall silent together do so within this time.
const EVIDENCE_DELAY: Duration = Duration::from_millis(300);

/// Backoff of a silent target.
const SILENCE_BACKOFF: Duration = Duration::from_millis(200);

/// What this host knows of the silence of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetSilence {
    /// Time for which the target has sent nothing; `None` if it is gone.
    pub lasted: Option<Duration>,
    /// Targets of its service.
    pub targets: usize,
    /// Those of them that are as silent.
    pub silent: usize,
    /// Time since any other of them sent something.
    pub others_heard: Option<Duration>,
}

/// What can be concluded of a target on which a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceVerdict {
    /// It sends data, or answers over a new connection.
    Talking,
    /// It is silent. Nothing shows that another target would do better.
    Unconfirmed,
    /// It is silent and does not answer over a new connection either, while other targets of its service are heard.
    Isolated,
    /// It is not listed any more.
    Unlisted,
    /// It has started anew: what it ran has ended.
    Restarted,
}

impl TargetTable {
    /// Returns the link to a target, unless it is gone or has a new incarnation.
    pub fn link_of(
        &mut self,
        incarnation: &TargetIncarnation,
    ) -> Option<&mut TargetLink> {
        let (target, started) = incarnation;
        let link = self.links.get_mut(target)?;
        (link.view.record.started == *started).then_some(link)
    }

    /// Returns what can be concluded of a target that may have sent nothing for `time`.
    pub fn silence_verdict(
        &self,
        incarnation: &TargetIncarnation,
        time: Duration,
        now: Instant,
    ) -> SilenceVerdict {
        let (target, started) = incarnation;
        let Some(link) = self.links.get(target) else {
            return SilenceVerdict::Unlisted;
        };
        if link.view.record.started != *started {
            return SilenceVerdict::Restarted;
        }
        if !link.is_silent(time, now) || link.check.is_answered_since(link.silent_since(), now) {
            return SilenceVerdict::Talking;
        }
        match link.check.is_isolated() {
            true => SilenceVerdict::Isolated,
            false => SilenceVerdict::Unconfirmed,
        }
    }

    /// Returns true if a target has sent or answered anything later than `since`.
    pub fn is_heard_since(
        &self,
        incarnation: &TargetIncarnation,
        since: Instant,
    ) -> bool {
        let (target, started) = incarnation;
        let link = self.links.get(target);
        let link = link.filter(|link| link.view.record.started == *started);
        link.is_some_and(|link| link.last_received.max(link.check.answered_at()) > Some(since))
    }

    /// Returns true if another target of the service has sent or answered anything at `since` or later.
    pub fn hears_others(
        &self,
        service: &str,
        target: &str,
        since: Instant,
    ) -> bool {
        let reach = self.reach.get(service);
        let answered_at = reach.and_then(|reach| reach.answered_at());
        let heard_at = self.others_heard(service, target).max(answered_at);
        heard_at.is_some_and(|at| at >= since)
    }

    /// Returns what is known of the silence of a service's target that has sent nothing for `time`.
    pub fn silence_of(
        &self,
        service: &str,
        target: &str,
        time: Duration,
        now: Instant,
    ) -> TargetSilence {
        let targets = self.targets_of(service);
        let age = |at: Instant| now.saturating_duration_since(at);
        let links = targets.iter().map(|target| &self.links[&target.id]);
        let link = self.links.get(target);
        TargetSilence {
            lasted: link.and_then(TargetLink::silent_since).map(age),
            targets: targets.len(),
            silent: links.filter(|link| link.is_silent(time, now)).count(),
            others_heard: self.others_heard(service, target).map(age),
        }
    }

    /// Returns the remaining backoff of a target after failures, or while it is silent and others of its service are not; zero if
    /// there is none.
    ///
    /// Where no target is heard, silence is no reason to prefer any of them, nor to use none.
    pub fn remaining_backoff(
        &self,
        service: &str,
        target: &str,
        now: Instant,
    ) -> Duration {
        let link = &self.links[target];
        let after_failures = link.health.remaining_backoff(now);
        match self.is_silent_alone(service, target, now) {
            true => after_failures.max(SILENCE_BACKOFF),
            false => after_failures,
        }
    }

    /// Returns true if a target is silent, and others of its service have been heard meanwhile.
    fn is_silent_alone(
        &self,
        service: &str,
        target: &str,
        now: Instant,
    ) -> bool {
        let link = &self.links[target];
        if link.check.is_unanswered() {
            return link.check.is_isolated();
        }
        if link.check.is_answered_since(link.silent_since(), now) {
            return false;
        }
        let meanwhile = link.silent_since().map(|since| since + EVIDENCE_DELAY);
        link.is_silent(SILENCE_TIMEOUT, now)
            && meanwhile.is_some_and(|since| self.hears_others(service, target, since))
    }

    /// Returns when a target of the service other than this one last sent anything.
    fn others_heard(
        &self,
        service: &str,
        target: &str,
    ) -> Option<Instant> {
        let targets = self.targets_of(service).iter();
        let others = targets.filter(|other| *other.id != *target);
        let heard = others.filter_map(|other| self.links[&other.id].last_received);
        heard.max()
    }
}
