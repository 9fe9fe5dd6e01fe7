use {
    crate::{clock::Instant, version::routing::Route},
    std::{collections::HashMap, time::Duration},
};

/// Time over which the longest answer is looked for; at most twice as long.
const WINDOW: Duration = Duration::from_secs(20);

/// The longest time that answers of each route took lately, from the request's arrival to the answer's end.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    routes: HashMap<String, RecentMax>,
}

impl AnswerTimes {
    /// Records a complete answer of a target.
    pub fn record(
        &mut self,
        route: &Route,
        time: Duration,
        now: Instant,
    ) {
        if let Some(recent) = self.routes.get_mut(&route.name) {
            return recent.record(time, now);
        }
        self.routes.retain(|_, recent| recent.value(now).is_some());
        self.routes
            .insert(route.name.clone(), RecentMax::new(time, now));
    }

    /// Returns the time that an answer may take: the longest one lately, or the route's aim if there was none.
    pub fn expected(
        &self,
        route: &Route,
        now: Instant,
    ) -> Duration {
        let recent = self.routes.get(&route.name);
        let longest = recent.and_then(|recent| recent.value(now));
        longest.unwrap_or(route.aim)
    }
}

/// Maximum over the current window and the one before.
#[derive(Debug, Clone, Copy)]
struct RecentMax {
    since: Instant,
    current: Duration,
    previous: Option<Duration>,
}

impl RecentMax {
    fn new(
        value: Duration,
        now: Instant,
    ) -> Self {
        Self {
            since: now,
            current: value,
            previous: None,
        }
    }

    fn record(
        &mut self,
        value: Duration,
        now: Instant,
    ) {
        let age = now.saturating_duration_since(self.since);
        if age < WINDOW {
            self.current = self.current.max(value);
            return;
        }
        *self = Self {
            previous: (age < 2 * WINDOW).then_some(self.current),
            ..Self::new(value, now)
        };
    }

    /// Returns the maximum; `None` if it is too old.
    fn value(
        &self,
        now: Instant,
    ) -> Option<Duration> {
        let age = now.saturating_duration_since(self.since);
        let longest = self
            .previous
            .map_or(self.current, |previous| previous.max(self.current));
        (age < 2 * WINDOW).then_some(longest)
    }
}
