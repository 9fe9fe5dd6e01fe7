use {
    super::{AnswerStart, AnswerStarts, SurvivalMemory},
    crate::{
        clock::Instant,
        formats::TargetStart,
        request::poison::{
            Accusation, CrashEvidence, Fingerprint, IncarnationId, PoisonKey, PoisonReport,
            PoisonStatus, PoisonVerdict,
        },
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// Targets that broke off answers within this time of one another may have failed for a shared cause, such as a loss
/// of power.
const CORRELATION_WINDOW: Duration = Duration::from_millis(300);

/// Losses of answers of one target within this time are recorded as one.
const LOSS_MERGE_WINDOW: Duration = Duration::from_millis(50);

/// Maximum retained losses of answers.
const MAX_LOSSES: usize = 256;

/// Maximum suspect requests for the crash of one target: what one may run and queue.
const MAX_SUSPECTS: usize = 256;

/// Maximum targets that are probed at a time: when more fail at once, a request is hardly the cause, and each crash is
/// reported to all hosts.
const MAX_PROBED_TARGETS: usize = 4;

/// Maximum survivals that are known to be reported.
const MAX_REPORTED: usize = 4096;

/// One incarnation of a target.
pub type TargetIncarnation = (Arc<str>, Option<TargetStart>);

/// A request that may have crashed a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRequest {
    /// `None` for a request whose answer was complete: that clears the request itself, but not its parts.
    pub fingerprint: Option<Fingerprint>,
    /// Keys of the parts that its prompt may share with others.
    pub parts: Vec<PoisonKey>,
    /// Request id set by the caller, for logs.
    pub id: String,
    /// The customer's name, for logs.
    pub customer: Option<Arc<str>>,
    /// The target had probably begun to process it.
    pub begun: bool,
}

impl SuspectRequest {
    fn keys(&self) -> impl Iterator<Item = PoisonKey> {
        let request = self.fingerprint.map(PoisonKey::Request);
        request.into_iter().chain(self.parts.iter().copied())
    }
}

/// Tracks targets that crash, and the requests that may have crashed them.
#[derive(Debug, Default)]
pub struct CrashTracker {
    verdicts: HashMap<PoisonKey, PoisonVerdict>,
    /// Targets that broke off an answer, oldest first.
    losses: VecDeque<(Instant, Arc<str>)>,
    /// Suspect requests of the targets that are being probed.
    suspects: HashMap<TargetIncarnation, Vec<SuspectRequest>>,
    /// When a target was last not probed, as too many were.
    probe_refused_at: Option<Instant>,
    starts: AnswerStarts,
    memory: SurvivalMemory,
    /// Survivals that the control thread has been told of.
    reported: HashSet<(PoisonKey, IncarnationId)>,
    /// Incarnations that are checked for survival.
    survival_checks: HashSet<TargetIncarnation>,
}

impl CrashTracker {
    /// Returns true if no request is suspected, so that none need be looked up.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty() && self.suspects.is_empty()
    }

    /// Returns true if a request has crashed targets, or is suspected of it.
    pub fn is_suspected(
        &self,
        fingerprint: Fingerprint,
    ) -> bool {
        let is_it = |suspect: &SuspectRequest| suspect.fingerprint == Some(fingerprint);
        let mut suspects = self.suspects.values().flatten();
        self.status(&PoisonKey::Request(fingerprint)).is_some() || suspects.any(is_it)
    }

    /// Returns the status of a key; `None` if no target has crashed under it.
    pub fn status(
        &self,
        key: &PoisonKey,
    ) -> Option<PoisonStatus> {
        self.verdicts.get(key).map(|verdict| verdict.status)
    }

    /// Returns the key for which a request with these keys is rejected.
    pub fn rejected_key(
        &self,
        keys: &[PoisonKey],
    ) -> Option<PoisonKey> {
        let verdict = |key: &PoisonKey| self.verdicts.get(key);
        let rejects = |key: &&PoisonKey| verdict(key).is_some_and(|verdict| verdict.rejects(keys));
        keys.iter().find(rejects).copied()
    }

    pub fn set_verdict(
        &mut self,
        key: PoisonKey,
        verdict: Option<PoisonVerdict>,
    ) {
        // With more crashes, more survivors matter.
        self.reported.retain(|(reported, _)| *reported != key);
        match verdict {
            Some(verdict) => drop(self.verdicts.insert(key, verdict)),
            None => drop(self.verdicts.remove(&key)),
        }
    }

    /// Records that a target broke off an answer.
    pub fn on_loss(
        &mut self,
        target: &Arc<str>,
        now: Instant,
    ) {
        let is_known = |(at, known): &&(Instant, Arc<str>)| {
            known == target && now.saturating_duration_since(*at) < LOSS_MERGE_WINDOW
        };
        if self.losses.iter().rev().any(|loss| is_known(&loss)) {
            return;
        }
        if self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back((now, target.clone()));
    }

    /// Forgets that a target broke off answers, as it has not crashed.
    pub fn on_alive(
        &mut self,
        target: &str,
    ) {
        self.losses.retain(|(_, known)| **known != *target);
    }

    /// Records that a target has begun to answer a request.
    pub fn on_answer_start(
        &mut self,
        start: AnswerStart,
    ) {
        if !start.parts.is_empty() {
            self.starts.add(start);
        }
    }

    /// Begins to check whether an incarnation survives an answer with these parts; returns false if it is being checked, or if that
    /// does not matter: no target has crashed under one of them, or the incarnation is known to have survived it.
    pub fn begin_survival_check(
        &mut self,
        parts: &[PoisonKey],
        incarnation: &TargetIncarnation,
    ) -> bool {
        if self.verdicts.is_empty() {
            return false;
        }
        let id = IncarnationId::of(&incarnation.0, incarnation.1);
        let is_open = |part: &PoisonKey| {
            self.verdicts.contains_key(part) && !self.reported.contains(&(*part, id))
        };
        parts.iter().any(is_open) && self.survival_checks.insert(incarnation.clone())
    }

    /// Ends a check. `survived` is when the check began that the incarnation answered; `None` if it has shown nothing.
    pub fn end_survival_check(
        &mut self,
        incarnation: &TargetIncarnation,
        survived: Option<Instant>,
    ) {
        self.survival_checks.remove(incarnation);
        if let Some(at) = survived {
            self.starts.on_alive(incarnation, at);
        }
    }

    /// Returns true if a target has just begun an answer, so that its crash may be due to it.
    pub fn has_recent_start(
        &self,
        incarnation: &TargetIncarnation,
        now: Instant,
    ) -> bool {
        self.starts.before_loss(incarnation, now).next().is_some()
    }

    /// Begins the probe of a target; returns false if it is being probed, or too many are.
    pub fn begin_probe(
        &mut self,
        incarnation: &TargetIncarnation,
        now: Instant,
    ) -> bool {
        if self.suspects.contains_key(incarnation) {
            return false;
        }
        if self.suspects.len() >= MAX_PROBED_TARGETS {
            self.probe_refused_at = Some(now);
            return false;
        }
        self.suspects.insert(incarnation.clone(), Vec::new());
        true
    }

    /// Adds a suspect that was lost at a target which is being probed.
    pub fn add_suspect(
        &mut self,
        incarnation: &TargetIncarnation,
        suspect: SuspectRequest,
    ) {
        if let Some(others) = self.suspects.get_mut(incarnation)
            && others.len() < MAX_SUSPECTS
        {
            others.push(suspect);
        }
    }

    /// Ends the probe of a target that has not crashed; returns the number of its suspects.
    pub fn drop_suspects(
        &mut self,
        incarnation: &TargetIncarnation,
    ) -> usize {
        let suspects = self.suspects.remove(incarnation);
        suspects.map_or(0, |suspects| suspects.len())
    }

    /// Ends the probe of a target that has crashed. Returns the requests that were lost there as they had just begun, and
    /// those with shared parts that it had just begun to answer.
    pub fn take_suspects(
        &mut self,
        incarnation: &TargetIncarnation,
        lost_at: Instant,
    ) -> Vec<SuspectRequest> {
        let mut suspects = self.suspects.remove(incarnation).unwrap_or_default();
        let lost: HashSet<String> = suspects.iter().map(|suspect| suspect.id.clone()).collect();
        let answered = self.starts.before_loss(incarnation, lost_at);
        let answered = answered.filter(|start| !lost.contains(&start.id));
        suspects.extend(answered.map(|start| SuspectRequest {
            fingerprint: None,
            parts: start.parts.clone(),
            id: start.id.clone(),
            customer: start.customer.clone(),
            begun: true,
        }));
        self.starts.remove(incarnation);
        suspects
    }

    /// Returns what the crash of a target at `lost_at` says of the keys of its suspects. Parts are left out if many targets
    /// were lost at the time: nothing that requests share is a likely cause then.
    pub fn accusations(
        &self,
        suspects: &[SuspectRequest],
        crashed: &TargetIncarnation,
        lost_at: Instant,
        now: Instant,
    ) -> Vec<Accusation> {
        let is_mass_loss = self.is_mass_loss(lost_at);
        let mut begun: BTreeMap<PoisonKey, bool> = BTreeMap::new();
        for suspect in suspects {
            for key in suspect
                .keys()
                .filter(|key| !(is_mass_loss && key.is_part()))
            {
                *begun.entry(key).or_default() |= suspect.begun;
            }
        }
        let end = IncarnationId::of(&crashed.0, crashed.1);
        let alone = self.is_isolated_loss(&crashed.0, lost_at);
        let age = now.saturating_duration_since(lost_at);
        let accusation = |(key, begun)| Accusation {
            key,
            evidence: CrashEvidence {
                end,
                begun,
                alone,
                age,
            },
            survivors: self.memory.recent(&key, now),
        };
        begun.into_iter().map(accusation).collect()
    }

    /// Returns true if no other target broke off answers at about this time.
    pub fn is_isolated_loss(
        &self,
        target: &str,
        lost: Instant,
    ) -> bool {
        let mut near = self.losses.iter().filter(|(at, _)| is_near(*at, lost));
        !near.any(|(_, other)| **other != *target)
    }

    /// Returns true if more targets broke off answers at about this time than could be probed.
    pub fn is_mass_loss(
        &self,
        lost: Instant,
    ) -> bool {
        self.probe_refused_at.is_some_and(|at| is_near(at, lost))
    }

    /// Takes the targets that have survived the start of answers, and returns reports of those that concern suspected parts;
    /// `last_received` returns when an incarnation last sent anything.
    pub fn take_survivals(
        &mut self,
        now: Instant,
        last_received: impl Fn(&TargetIncarnation) -> Option<Instant>,
    ) -> Vec<PoisonReport> {
        let mut reports = Vec::new();
        for start in self.starts.take_survived(now, last_received) {
            let incarnation = IncarnationId::of(&start.incarnation.0, start.incarnation.1);
            for part in &start.parts {
                self.memory.add(*part, incarnation, now);
            }
            let mut parts = start.parts;
            parts.retain(|part| self.must_report(*part, incarnation));
            if !parts.is_empty() {
                reports.push(PoisonReport::Survived { parts, incarnation });
            }
        }
        reports
    }

    /// Returns true if a survival concerns a suspected part and has not been reported.
    fn must_report(
        &mut self,
        part: PoisonKey,
        incarnation: IncarnationId,
    ) -> bool {
        if !self.verdicts.contains_key(&part) {
            return false;
        }
        if self.reported.len() >= MAX_REPORTED {
            self.reported.clear();
        }
        self.reported.insert((part, incarnation))
    }
}

/// Returns true if two losses may have a shared cause.
fn is_near(
    one: Instant,
    other: Instant,
) -> bool {
    one.max(other).saturating_duration_since(one.min(other)) <= CORRELATION_WINDOW
}
