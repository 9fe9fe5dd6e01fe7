use {
    crate::{
        clock::Instant,
        formats::TargetStart,
        request::poison::{Fingerprint, PoisonStatus},
    },
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Targets that broke answers off within this time of one another may have ended by the same cause, such as a loss
/// of power.
const SAME_TIME: Duration = Duration::from_millis(300);

/// Lost answers that are remembered: those of a whole hall within the time above on a small host.
const MAX_LOSSES: usize = 256;

/// Requests that are accused of one target's end, at the most: its whole batch.
const MAX_ACCUSED: usize = 64;

/// Targets that are looked at, at the most. When more end at once through one host, hardly a request did it; and each end is told
/// to all hosts: were 800 targets of a site with 300 hosts lost at once, each host would get 1,200 messages, not 10,000.
const MAX_LOOKED_AT: usize = 4;

/// A start of a target.
pub type TargetRun = (Arc<str>, Option<TargetStart>);

/// A request that a target may have ended under.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accused {
    pub fingerprint: Fingerprint,
    /// As its caller named it, for logs.
    pub id: String,
    /// It had begun there, as far as can be told.
    pub begun: bool,
}

/// What this host's requests have seen of targets that end, and how requests stand that end them.
#[derive(Debug, Default)]
pub struct CrashWatch {
    standings: HashMap<Fingerprint, PoisonStatus>,
    /// Targets that broke an answer off, the last one at the end.
    losses: VecDeque<(Instant, Arc<str>)>,
    /// Requests that had just begun at targets that are looked at.
    accused: HashMap<TargetRun, Vec<Accused>>,
}

impl CrashWatch {
    /// True if nothing speaks against any request: none need be looked up.
    pub fn is_quiet(&self) -> bool {
        self.standings.is_empty() && self.accused.is_empty()
    }

    /// True if targets have ended under a request, or may have a moment ago.
    pub fn is_suspected(
        &self,
        fingerprint: &Fingerprint,
    ) -> bool {
        let is_it = |accused: &Accused| accused.fingerprint == *fingerprint;
        let mut accused = self.accused.values().flatten();
        self.standings.contains_key(fingerprint) || accused.any(is_it)
    }

    /// What is thought of a request; `None` if nothing speaks against it.
    pub fn standing(
        &self,
        fingerprint: &Fingerprint,
    ) -> Option<PoisonStatus> {
        self.standings.get(fingerprint).copied()
    }

    /// A request stands otherwise from now on.
    pub fn set_standing(
        &mut self,
        fingerprint: Fingerprint,
        standing: Option<PoisonStatus>,
    ) {
        match standing {
            Some(standing) => self.standings.insert(fingerprint, standing),
            None => self.standings.remove(&fingerprint),
        };
    }

    /// A target broke an answer off.
    pub fn on_loss(
        &mut self,
        target: &Arc<str>,
        now: Instant,
    ) {
        if self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back((now, target.clone()));
    }

    /// A request was lost as a target had just begun it; true if the target must be looked at.
    pub fn accuse(
        &mut self,
        run: &TargetRun,
        accused: Accused,
    ) -> bool {
        if let Some(others) = self.accused.get_mut(run) {
            if others.len() < MAX_ACCUSED {
                others.push(accused);
            }
            return false;
        }
        if self.accused.len() >= MAX_LOOKED_AT {
            return false;
        }
        self.accused.insert(run.clone(), vec![accused]);
        true
    }

    /// The look at a target is over; gives the requests that had just begun there.
    pub fn take_accused(
        &mut self,
        run: &TargetRun,
    ) -> Vec<Accused> {
        self.accused.remove(run).unwrap_or_default()
    }

    /// True if no other target broke answers off at about this time.
    pub fn was_alone(
        &self,
        target: &str,
        lost: Instant,
    ) -> bool {
        let near = |at: Instant| at.max(lost).saturating_duration_since(at.min(lost)) <= SAME_TIME;
        let mut near = self.losses.iter().filter(|(at, _)| near(*at));
        !near.any(|(_, other)| **other != *target)
    }
}
