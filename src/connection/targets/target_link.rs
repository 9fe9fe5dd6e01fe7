use {
    super::{TargetHealth, TargetView},
    crate::{clock::Instant, connection::http1::HttpConnection},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// An idle connection is not used so shortly before the target would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Kept idle when the target does not say how long it keeps a connection.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Idle connections kept to one target.
const MAX_IDLE: usize = 64;

/// A target that has requests and sends nothing for so long is avoided.
const SILENCE: Duration = Duration::from_millis(1200);

/// Counts as the time for which a silent target is avoided.
const SILENCE_PAUSE: Duration = Duration::from_millis(200);

/// How long loads take counts for so long: some of them later the weight store's queue is another.
const LOAD_TIME_FRESH: Duration = Duration::from_millis(400);

/// Times that a change of use is told to the holder.
const REPORTS: u8 = 2;

/// While requests run the holder is told of them at least this often.
const REPORT_AGAIN: Duration = Duration::from_secs(1);

/// A connection that rests.
#[derive(Debug)]
pub struct IdleConnection {
    pub connection: HttpConnection,
    until: Instant,
}

/// Tokens that a request takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestTokens {
    /// Of the prompt and, at the most, of the answer.
    pub all: u64,
    pub prompt: u64,
}

/// How much one adapter is used through this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UseCount {
    pub in_flight: u32,
    /// Requests sent since the holder was told last.
    pub started: u32,
}

/// One target: its connections and what runs there.
#[derive(Debug)]
pub struct TargetLink {
    pub view: Arc<TargetView>,
    pub health: TargetHealth,
    /// Requests of this host that run there, and their tokens.
    pub in_flight: u32,
    pub tokens: u64,
    /// Tokens of the prompts among them that have brought no event yet.
    pub unread_tokens: u64,
    /// The same of other hosts, as the holder last told.
    pub others_in_flight: u32,
    pub others_tokens: u64,
    pub others_unread_tokens: u64,
    /// When the holder last told.
    pub others_told: Option<Instant>,
    /// Time that a load there takes, and when its holder told that.
    load_told: Option<(Duration, Instant)>,
    /// When anything last came from it.
    pub heard: Option<Instant>,
    /// When the oldest of the requests that run there now can't have been sent before.
    busy_since: Option<Instant>,
    /// Use of adapters, for the holder.
    pub uses: HashMap<String, UseCount>,
    /// Times that the holder is still to be told of the use, since reports may be lost.
    pub reports_due: u8,
    /// When a holder was last told of the use.
    told: Option<Instant>,
    idle: Vec<IdleConnection>,
}

impl TargetLink {
    pub fn new(view: Arc<TargetView>) -> Self {
        Self {
            view,
            health: TargetHealth::default(),
            in_flight: 0,
            tokens: 0,
            unread_tokens: 0,
            others_in_flight: 0,
            others_tokens: 0,
            others_unread_tokens: 0,
            others_told: None,
            load_told: None,
            heard: None,
            busy_since: None,
            uses: HashMap::new(),
            reports_due: 0,
            told: None,
            idle: Vec::new(),
        }
    }

    /// The link to a target that has started anew. Its holder is to hear that nothing of this host runs there any
    /// more: what ran at the earlier start would else count as running for as long as nothing is sent there.
    pub fn new_start(view: Arc<TargetView>) -> Self {
        Self {
            reports_due: REPORTS,
            ..Self::new(view)
        }
    }

    /// A connection that rests and can be used, the one used last first.
    pub fn take_idle(
        &mut self,
        now: Instant,
    ) -> Option<HttpConnection> {
        while let Some(idle) = self.idle.pop() {
            if idle.until > now && idle.connection.is_quiet() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange is over.
    pub fn put_idle(
        &mut self,
        mut connection: HttpConnection,
        idle_limit: Option<Duration>,
        now: Instant,
    ) {
        let limit = idle_limit.map_or(IDLE_DEFAULT, |limit| limit.saturating_sub(IDLE_MARGIN));
        if limit.is_zero() || self.idle.len() >= MAX_IDLE {
            return;
        }
        connection.rest();
        self.idle.push(IdleConnection {
            connection,
            until: now + limit,
        });
    }

    /// A request is sent there.
    pub fn start(
        &mut self,
        adapter: Option<&str>,
        tokens: RequestTokens,
    ) {
        if self.in_flight == 0 {
            self.busy_since = Some(Instant::now());
        }
        self.in_flight += 1;
        self.tokens += tokens.all;
        self.unread_tokens += tokens.prompt;
        self.reports_due = REPORTS;
        if let Some(adapter) = adapter {
            let count = match self.uses.get_mut(adapter) {
                Some(count) => count,
                None => self.uses.entry(adapter.to_string()).or_default(),
            };
            count.in_flight += 1;
            count.started += 1;
        }
    }

    /// A request that was sent there has brought its first event, or has ended without one.
    pub fn on_prompt_read(
        &mut self,
        tokens: RequestTokens,
    ) {
        self.unread_tokens = self.unread_tokens.saturating_sub(tokens.prompt);
        self.reports_due = REPORTS;
    }

    /// A request that was sent there ended.
    pub fn end(
        &mut self,
        adapter: Option<&str>,
        tokens: RequestTokens,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens.all);
        self.reports_due = REPORTS;
        if let Some(count) = adapter.and_then(|adapter| self.uses.get_mut(adapter)) {
            count.in_flight = count.in_flight.saturating_sub(1);
        }
    }

    /// True if the target has not started anew since this link was made.
    pub fn is_same_start(
        &self,
        view: &TargetView,
    ) -> bool {
        self.view.record.started == view.record.started
    }

    /// Takes over what is known of the target; another holder does not know what runs there.
    pub fn set_view(
        &mut self,
        view: Arc<TargetView>,
    ) {
        if view.holder != self.view.holder {
            self.reports_due = REPORTS;
        }
        self.view = view;
    }

    /// True if the holder must be told of the use now: after a change, and again and again while
    /// requests run, as a holder that starts anew knows of none.
    pub fn takes_report(
        &mut self,
        now: Instant,
    ) -> bool {
        let since = |told| now.saturating_duration_since(told);
        let old = self.told.is_none_or(|told| since(told) >= REPORT_AGAIN);
        if self.reports_due == 0 && !(old && self.in_flight > 0) {
            return false;
        }
        self.reports_due = self.reports_due.saturating_sub(1);
        true
    }

    /// A holder was told of the use.
    pub fn on_told(
        &mut self,
        now: Instant,
    ) {
        self.told = Some(now);
    }

    /// Its holder told how long a load that is asked for now would take.
    pub fn on_load_time(
        &mut self,
        time: Duration,
        now: Instant,
    ) {
        self.load_told = Some((time, now));
    }

    /// Time that a load would take, if its holder told that a moment ago.
    pub fn load_time(
        &self,
        now: Instant,
    ) -> Option<Duration> {
        let is_fresh = |told: Instant| now.saturating_duration_since(told) < LOAD_TIME_FRESH;
        self.load_told
            .filter(|(_, told)| is_fresh(*told))
            .map(|(time, _)| time)
    }

    /// True if its holder has told since then what other hosts send there.
    pub fn told_since(
        &self,
        since: Instant,
    ) -> bool {
        self.others_told.is_some_and(|told| told >= since)
    }

    /// True if requests run there and nothing has come for so long.
    pub fn is_silent(
        &self,
        time: Duration,
        now: Instant,
    ) -> bool {
        let since = self.heard.max(self.busy_since);
        let quiet = since.is_some_and(|since| now.saturating_duration_since(since) >= time);
        self.in_flight > 0 && quiet
    }

    /// Time for which the target is avoided: after failures, and while it is silent.
    pub fn avoided_for(
        &self,
        now: Instant,
    ) -> Duration {
        let after_failures = self.health.avoided_for(now);
        match self.is_silent(SILENCE, now) {
            true => after_failures.max(SILENCE_PAUSE),
            false => after_failures,
        }
    }

    /// Requests of all hosts that run there.
    pub fn running(&self) -> u32 {
        self.in_flight + self.others_in_flight
    }

    /// Tokens of the requests of all hosts that run there.
    pub fn running_tokens(&self) -> u64 {
        self.tokens + self.others_tokens
    }

    /// Tokens of prompts that wait to be read there, of all hosts.
    pub fn backlog_tokens(&self) -> u64 {
        self.unread_tokens + self.others_unread_tokens
    }
}
