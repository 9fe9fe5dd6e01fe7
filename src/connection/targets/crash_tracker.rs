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

/// Targets that broke off answers within this time of one another may have failed for a shared cause, such as a loss
/// of power.
const CORRELATION_WINDOW: Duration = Duration::from_millis(300);

/// Maximum retained losses of answers.
const MAX_LOSSES: usize = 256;

/// Maximum suspect requests for the crash of one target.
const MAX_SUSPECTS: usize = 64;

/// Maximum targets that are probed at a time: when more fail at once, a request is hardly the cause, and each crash is
/// reported to all hosts.
const MAX_PROBED_TARGETS: usize = 4;

/// One incarnation of a target.
pub type TargetIncarnation = (Arc<str>, Option<TargetStart>);

/// A request that may have crashed a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRequest {
    pub fingerprint: Fingerprint,
    /// Request id set by the caller, for logs.
    pub id: String,
    /// Ids of the parts that its prompt may share with others.
    pub parts: Vec<u64>,
    /// The target had probably begun to process it.
    pub begun: bool,
}

/// Tracks targets that crash, and the requests that may have crashed them.
#[derive(Debug, Default)]
pub struct CrashTracker {
    statuses: HashMap<Fingerprint, PoisonStatus>,
    /// Targets that broke off an answer, oldest first.
    losses: VecDeque<(Instant, Arc<str>)>,
    /// Suspect requests of the targets that are being probed.
    suspects: HashMap<TargetIncarnation, Vec<SuspectRequest>>,
}

impl CrashTracker {
    /// Returns true if no request is suspected, so that none need be looked up.
    pub fn is_empty(&self) -> bool {
        self.statuses.is_empty() && self.suspects.is_empty()
    }

    /// Returns true if a request has crashed targets, or is suspected of it.
    pub fn is_suspected(
        &self,
        fingerprint: &Fingerprint,
    ) -> bool {
        let is_it = |suspect: &SuspectRequest| suspect.fingerprint == *fingerprint;
        let mut suspects = self.suspects.values().flatten();
        self.statuses.contains_key(fingerprint) || suspects.any(is_it)
    }

    /// Returns the status of a request; `None` if it has crashed no target.
    pub fn status(
        &self,
        fingerprint: &Fingerprint,
    ) -> Option<PoisonStatus> {
        self.statuses.get(fingerprint).copied()
    }

    pub fn set_status(
        &mut self,
        fingerprint: Fingerprint,
        status: Option<PoisonStatus>,
    ) {
        match status {
            Some(status) => self.statuses.insert(fingerprint, status),
            None => self.statuses.remove(&fingerprint),
        };
    }

    /// Records that a target broke off an answer.
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

    /// Adds a suspect that was lost at a target; returns true if the caller must probe the target.
    pub fn add_suspect(
        &mut self,
        incarnation: &TargetIncarnation,
        suspect: SuspectRequest,
    ) -> bool {
        if let Some(others) = self.suspects.get_mut(incarnation) {
            if others.len() < MAX_SUSPECTS {
                others.push(suspect);
            }
            return false;
        }
        if self.suspects.len() >= MAX_PROBED_TARGETS {
            return false;
        }
        self.suspects.insert(incarnation.clone(), vec![suspect]);
        true
    }

    /// Ends the probe of a target and returns its suspects.
    pub fn take_suspects(
        &mut self,
        incarnation: &TargetIncarnation,
    ) -> Vec<SuspectRequest> {
        self.suspects.remove(incarnation).unwrap_or_default()
    }

    /// Returns true if no other target broke off answers at about this time.
    pub fn is_isolated_loss(
        &self,
        target: &str,
        lost: Instant,
    ) -> bool {
        let is_near = |at: Instant| {
            at.max(lost).saturating_duration_since(at.min(lost)) <= CORRELATION_WINDOW
        };
        let mut near = self.losses.iter().filter(|(at, _)| is_near(*at));
        !near.any(|(_, other)| **other != *target)
    }
}
