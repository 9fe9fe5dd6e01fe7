use {
    super::{CachedPrompts, SentPrompts, TargetCheck, TargetHealth, TargetView},
    crate::{
        clock::Instant,
        connection::{datagram::EngineLoad, http1::HttpConnection},
        request::pace::{EnginePace, PaceSamples},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// An idle connection is dropped this long before the target would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Lifetime of an idle connection when the target announces no keep-alive timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum idle connections to one target.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// How long a reported load time is used: the queue at the weight store changes quickly.
const LOAD_TIME_TTL: Duration = Duration::from_millis(400);

/// How long the reported reading time is used: the engine may have run out of prompts since the report.
const READING_TTL: Duration = Duration::from_millis(400);

/// Number of reports sent to the holder after a change of usage, as reports may be lost.
const REPORTS_PER_CHANGE: u8 = 2;

/// Maximum time between reports to the holder while requests run.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// An idle connection and when it expires.
#[derive(Debug)]
pub struct IdleConnection {
    pub connection: HttpConnection,
    expires_at: Instant,
}

/// Token counts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestTokens {
    /// Prompt tokens and maximum answer tokens.
    pub all: u64,
    /// Prompt tokens that the target has to read, without those that it keeps from earlier prompts.
    pub prompt: u64,
}

/// Usage of one adapter on an engine through this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdapterUseCount {
    pub in_flight: u32,
    /// Requests sent since the last report to the holder.
    pub started: u32,
}

/// One target's connections and requests in flight.
#[derive(Debug)]
pub struct TargetLink {
    pub view: Arc<TargetView>,
    pub health: TargetHealth,
    /// Requests of this host that run there.
    pub in_flight: u32,
    /// Tokens of these requests.
    pub tokens: u64,
    /// Tokens of the prompts that are queued or in prefill, so that no event has come yet.
    pub unread_tokens: u64,
    /// The same for other hosts, as last reported by the holder.
    pub others_in_flight: u32,
    pub others_tokens: u64,
    pub others_unread_tokens: u64,
    /// When the holder last reported.
    pub others_reported_at: Option<Instant>,
    /// Pace of the engine, as last reported by the holder.
    pub pace: Option<EnginePace>,
    /// Time for which the engine had been reading prompts without a break at the holder's last report.
    reading_time: Duration,
    /// Samples that are still to be reported to the holder.
    pub pace_samples: PaceSamples,
    /// Time that an adapter load takes, and when the holder reported it.
    reported_load_time: Option<(Duration, Instant)>,
    /// When data last came from the target.
    pub last_received: Option<Instant>,
    /// Whether it answers over a new connection while it is silent.
    pub check: TargetCheck,
    /// Lower bound of the send time of the oldest request that runs there: when the target last became busy.
    busy_since: Option<Instant>,
    /// Usage by adapter, for reports to the holder.
    pub adapter_usage: HashMap<String, AdapterUseCount>,
    /// Reports of the last change that are still to be sent.
    pub due_reports: u8,
    /// Prompts sent there that are still to be reported to the holder.
    pub sent_prompts: SentPrompts,
    /// What the engine keeps of prompts, by its holder's answers.
    pub cached_prompts: CachedPrompts,
    /// When usage was last reported to a holder.
    reported_at: Option<Instant>,
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
            others_reported_at: None,
            pace: None,
            reading_time: Duration::ZERO,
            pace_samples: PaceSamples::default(),
            reported_load_time: None,
            last_received: None,
            check: TargetCheck::default(),
            busy_since: None,
            adapter_usage: HashMap::new(),
            due_reports: 0,
            sent_prompts: SentPrompts::default(),
            cached_prompts: CachedPrompts::default(),
            reported_at: None,
            idle: Vec::new(),
        }
    }

    /// Creates the link to a new incarnation of a target. A report is due, so that the holder does not go on counting
    /// the requests of the previous incarnation.
    pub fn new_incarnation(view: Arc<TargetView>) -> Self {
        Self {
            due_reports: REPORTS_PER_CHANGE,
            ..Self::new(view)
        }
    }

    /// Returns a usable idle connection for a request, the most recently used first. One that has carried the request before
    /// may still bring a second answer to it.
    pub fn take_idle(
        &mut self,
        request_id: &[u8],
        now: Instant,
    ) -> Option<HttpConnection> {
        let mut at = self.idle.len();
        while at > 0 {
            at -= 1;
            if self.idle[at].connection.carried.contains(request_id) {
                continue;
            }
            let idle = self.idle.remove(at);
            if idle.expires_at > now && idle.connection.is_quiet() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Retains a connection whose exchange is over.
    pub fn put_idle(
        &mut self,
        mut connection: HttpConnection,
        idle_limit: Option<Duration>,
        now: Instant,
    ) {
        let limit = idle_limit.map_or(DEFAULT_IDLE_TIMEOUT, |limit| {
            limit.saturating_sub(IDLE_MARGIN)
        });
        let is_used_up = limit.is_zero() || connection.carried.is_full();
        if is_used_up || self.idle.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        connection.rest();
        self.idle.push(IdleConnection {
            connection,
            expires_at: now + limit,
        });
    }

    /// Closes all idle connections.
    pub fn drop_idle(&mut self) {
        self.idle.clear();
    }

    /// Adds a request that is sent to the target to the counts.
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
        self.due_reports = REPORTS_PER_CHANGE;
        if let Some(adapter) = adapter {
            let count = match self.adapter_usage.get_mut(adapter) {
                Some(count) => count,
                None => self.adapter_usage.entry(adapter.to_string()).or_default(),
            };
            count.in_flight += 1;
            count.started += 1;
        }
    }

    /// Records that a request's prefill is over: its first event has come, or it has ended without one.
    pub fn on_prefill_done(
        &mut self,
        tokens: RequestTokens,
    ) {
        self.unread_tokens = self.unread_tokens.saturating_sub(tokens.prompt);
        self.due_reports = REPORTS_PER_CHANGE;
    }

    /// Removes a request that has ended from the counts.
    pub fn end(
        &mut self,
        adapter: Option<&str>,
        tokens: RequestTokens,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens.all);
        self.due_reports = REPORTS_PER_CHANGE;
        if let Some(count) = adapter.and_then(|adapter| self.adapter_usage.get_mut(adapter)) {
            count.in_flight = count.in_flight.saturating_sub(1);
        }
    }

    /// Returns true if `view` is of the same incarnation of the target.
    pub fn is_same_incarnation(
        &self,
        view: &TargetView,
    ) -> bool {
        self.view.record.started == view.record.started
    }

    /// Replaces the view; a new holder gets usage reports.
    pub fn set_view(
        &mut self,
        view: Arc<TargetView>,
    ) {
        if view.holder != self.view.holder {
            self.due_reports = REPORTS_PER_CHANGE;
        }
        self.view = view;
    }

    /// Takes a due report: returns true if usage must be reported to the holder now, which is after a change, while
    /// prompts are left to report, and periodically while requests run, as a restarted holder has lost earlier reports.
    pub fn take_due_report(
        &mut self,
        now: Instant,
    ) -> bool {
        let elapsed = |reported_at| now.saturating_duration_since(reported_at);
        let is_overdue = self
            .reported_at
            .is_none_or(|reported_at| elapsed(reported_at) >= REPORT_INTERVAL);
        let has_news = self.due_reports > 0 || !self.sent_prompts.is_empty();
        let is_due = has_news || (is_overdue && self.in_flight > 0);
        if !is_due {
            return false;
        }
        self.due_reports = self.due_reports.saturating_sub(1);
        true
    }

    /// Records that usage was reported to a holder.
    pub fn on_reported(
        &mut self,
        now: Instant,
    ) {
        self.reported_at = Some(now);
    }

    /// Records the load that the holder reported.
    pub fn on_load(
        &mut self,
        load: &EngineLoad,
        now: Instant,
    ) {
        self.others_in_flight = load.in_flight;
        self.others_tokens = u64::from(load.tokens);
        self.others_unread_tokens = u64::from(load.unread_tokens);
        self.others_reported_at = Some(now);
        self.reading_time = Duration::from_millis(u64::from(load.reading_ms));
        if let Some(pace) = load.pace.as_ref().and_then(EnginePace::of) {
            self.pace = Some(pace);
        }
    }

    /// Returns the time for which the engine has been reading prompts without a break: zero if it has none to read, or
    /// if the last report is older than `READING_TTL`.
    pub fn reading_time(
        &self,
        now: Instant,
    ) -> Duration {
        let age = self
            .others_reported_at
            .map(|at| now.saturating_duration_since(at))
            .filter(|age| *age < READING_TTL);
        match age {
            Some(age) if self.backlog_tokens() > 0 => self.reading_time + age,
            _ => Duration::ZERO,
        }
    }

    /// Records the load time that the holder reported.
    pub fn on_load_time(
        &mut self,
        time: Duration,
        now: Instant,
    ) {
        self.reported_load_time = Some((time, now));
    }

    /// Returns the time that an adapter load takes, if it was reported recently.
    pub fn load_time(
        &self,
        now: Instant,
    ) -> Option<Duration> {
        let is_fresh =
            |reported_at: Instant| now.saturating_duration_since(reported_at) < LOAD_TIME_TTL;
        self.reported_load_time
            .filter(|(_, reported_at)| is_fresh(*reported_at))
            .map(|(time, _)| time)
    }

    /// Returns true if the holder has reported the load of other hosts since then.
    pub fn has_report_since(
        &self,
        since: Instant,
    ) -> bool {
        self.others_reported_at
            .is_some_and(|reported_at| reported_at >= since)
    }

    /// Returns since when no data has come from a target at which requests run.
    pub fn silent_since(&self) -> Option<Instant> {
        self.last_received.max(self.busy_since)
    }

    /// Returns true if requests run there and no data has come for `time`.
    pub fn is_silent(
        &self,
        time: Duration,
        now: Instant,
    ) -> bool {
        let has_been_silent = self
            .silent_since()
            .is_some_and(|since| now.saturating_duration_since(since) >= time);
        self.in_flight > 0 && has_been_silent
    }

    /// Records that data has come from the target.
    pub fn on_received(
        &mut self,
        now: Instant,
    ) {
        self.last_received = Some(now);
        self.check.on_heard(now);
    }

    /// Returns the requests of all hosts that run there.
    pub fn running(&self) -> u32 {
        self.in_flight + self.others_in_flight
    }

    /// Returns the tokens of the requests of all hosts that run there.
    pub fn running_tokens(&self) -> u64 {
        self.tokens + self.others_tokens
    }

    /// Returns the prompt tokens of all hosts in queue or prefill there.
    pub fn backlog_tokens(&self) -> u64 {
        self.unread_tokens + self.others_unread_tokens
    }
}
