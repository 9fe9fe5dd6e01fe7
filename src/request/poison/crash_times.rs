use {
    super::IncarnationId,
    crate::clock::Instant,
    std::{collections::BTreeMap, time::Duration},
};

/// Targets that crash within this time of one another may have failed for a shared cause, such as a loss of power. Wide, as
/// an idle target's crash shows only with its next request.
const CORRELATION_WINDOW: Duration = Duration::from_millis(750);

/// A crash counts from this time after it was heard of, as those beside it are heard of a moment later.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// How much a crash under the same key counts as one of the same failure.
const SAME_KEY_SHARE: f64 = 0.25;

#[derive(Debug, Clone, Copy)]
struct CrashTime {
    at: Instant,
    heard_at: Instant,
    /// Number of other targets that crashed at about the same time.
    beside: u32,
}

/// When targets crashed, whatever is held responsible.
#[derive(Debug, Default)]
pub struct CrashTimes {
    crashes: BTreeMap<IncarnationId, CrashTime>,
    /// Crashes that were heard of later do not count yet.
    settled_until: Option<Instant>,
    last_heard: Option<Instant>,
}

impl CrashTimes {
    /// Records a crash; its first known time stands.
    pub fn add(
        &mut self,
        end: IncarnationId,
        at: Instant,
        now: Instant,
    ) {
        if self.crashes.contains_key(&end) {
            return;
        }
        let mut beside = 0;
        for crash in self.crashes.values_mut() {
            if is_near(crash.at, at) {
                crash.beside += 1;
                beside += 1;
            }
        }
        let crash = CrashTime {
            at,
            heard_at: now,
            beside,
        };
        self.crashes.insert(end, crash);
        self.last_heard = Some(now);
    }

    /// Lets the crashes count that were heard of some time ago; returns true if some may not have counted before.
    pub fn settle(
        &mut self,
        now: Instant,
    ) -> bool {
        let before = self.settled_until.replace(now - SETTLE_TIME);
        self.last_heard
            .is_some_and(|heard| before.is_none_or(|before| heard > before))
    }

    fn is_settled(
        &self,
        crash: &CrashTime,
    ) -> bool {
        self.settled_until
            .is_some_and(|until| crash.heard_at <= until)
    }

    /// Returns when a target crashed.
    pub fn get(
        &self,
        end: IncarnationId,
    ) -> Option<Instant> {
        self.crashes.get(&end).map(|crash| crash.at)
    }

    /// Returns how much one of the crashes that speak against a key counts, from 0 to 1.
    ///
    /// It is the crash's share of what may have been one failure of several targets. Those of them that crashed without the
    /// key count in full, as they show that something else was the cause; the others may just be requests in quick succession.
    pub fn weight(
        &self,
        end: IncarnationId,
        of_key: &[IncarnationId],
    ) -> f64 {
        let Some(crash) = self.crashes.get(&end) else {
            return 1.0;
        };
        if !self.is_settled(crash) {
            return 0.0;
        }
        let near = |other: &&IncarnationId| {
            **other != end && self.get(**other).is_some_and(|at| is_near(at, crash.at))
        };
        let with_key = of_key.iter().filter(near).count() as f64;
        let without_key = (f64::from(crash.beside) - with_key).max(0.0);
        1.0 / (1.0 + without_key + SAME_KEY_SHARE * with_key)
    }

    /// Forgets the crashes that no record names.
    pub fn retain(
        &mut self,
        is_named: impl Fn(&IncarnationId) -> bool,
    ) {
        self.crashes.retain(|end, _| is_named(end));
    }
}

fn is_near(
    one: Instant,
    other: Instant,
) -> bool {
    one.max(other).saturating_duration_since(one.min(other)) <= CORRELATION_WINDOW
}
