use {
    crate::{
        clock::Instant,
        connection::datagram::{EngineQuery, PaceReport, Usage},
        request::pace::EnginePace,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Time after which a host that queried an engine has sent its request, there or elsewhere.
const EXPECTED_SEND_TTL: Duration = Duration::from_millis(40);

/// A request that a host may send after its query.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ExpectedSend {
    host: SocketAddr,
    queried_at: Instant,
    /// Probability, from 0 to 1.
    probability: f64,
    tokens: u32,
    prompt_tokens: u32,
}

/// Requests in flight at an engine, and their tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UsageTotals {
    pub in_flight: u32,
    pub tokens: u32,
    /// Tokens of prompts that have produced no event yet.
    pub unread_tokens: u32,
}

/// Requests that each host sends to one engine, by its last usage report.
#[derive(Debug, Clone, Default)]
pub struct EngineUsage {
    by_host: BTreeMap<SocketAddr, UsageTotals>,
    expected: Vec<ExpectedSend>,
    pace: Option<EnginePace>,
    /// Since when the engine has had prompts to read.
    reading_since: Option<Instant>,
}

impl EngineUsage {
    /// Records a host's usage report.
    pub fn on_usage(
        &mut self,
        host: SocketAddr,
        usage: &Usage,
        now: Instant,
    ) {
        let totals = UsageTotals {
            in_flight: usage.in_flight,
            tokens: usage.tokens,
            unread_tokens: usage.unread_tokens,
        };
        self.by_host.insert(host, totals);
        // The requests of its earlier queries have been sent by now, here or elsewhere.
        self.expected.retain(|send| send.host != host);
        if let Some(report) = &usage.pace {
            self.merge_pace(report);
        }
        self.update_reading(now);
    }

    fn merge_pace(
        &mut self,
        report: &PaceReport,
    ) {
        match &mut self.pace {
            Some(pace) => pace.merge(report),
            None => self.pace = EnginePace::of(report),
        }
    }

    fn update_reading(
        &mut self,
        now: Instant,
    ) {
        self.reading_since = match self.is_reading() {
            true => self.reading_since.or(Some(now)),
            false => None,
        };
    }

    fn is_reading(&self) -> bool {
        self.by_host.values().any(|host| host.unread_tokens > 0)
    }

    /// Returns the pace of the engine, if any samples were reported.
    pub fn pace(&self) -> Option<PaceReport> {
        self.pace.map(|pace| pace.report())
    }

    /// Returns the time for which the engine has been reading prompts without a break.
    pub fn reading_time(
        &self,
        now: Instant,
    ) -> Duration {
        let since = self.reading_since;
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Records a query of a host, which may send a request soon.
    ///
    /// Without this, hosts that query at the same time would all find the engine equally free.
    pub fn on_query(
        &mut self,
        host: SocketAddr,
        query: &EngineQuery,
        now: Instant,
    ) {
        self.expected
            .retain(|send| now.saturating_duration_since(send.queried_at) < EXPECTED_SEND_TTL);
        if query.chance > 0 {
            self.expected.push(ExpectedSend {
                host,
                queried_at: now,
                probability: f64::from(query.chance.min(100)) / 100.0,
                tokens: query.tokens,
                prompt_tokens: query.prompt_tokens,
            });
        }
    }

    /// Returns the load to expect from queries of other hosts.
    fn expected_from_others(
        &self,
        host: SocketAddr,
    ) -> UsageTotals {
        let others = self.expected.iter().filter(|send| send.host != host);
        let (mut sends, mut tokens, mut prompt_tokens) = (0.0, 0.0, 0.0);
        for send in others {
            sends += send.probability;
            tokens += send.probability * f64::from(send.tokens);
            prompt_tokens += send.probability * f64::from(send.prompt_tokens);
        }
        UsageTotals {
            in_flight: sends.round() as u32,
            tokens: tokens.round() as u32,
            unread_tokens: prompt_tokens.round() as u32,
        }
    }

    /// Removes a lost host and its requests.
    pub fn on_host_gone(
        &mut self,
        host: SocketAddr,
    ) {
        self.by_host.remove(&host);
        self.expected.retain(|send| send.host != host);
        if !self.is_reading() {
            self.reading_since = None;
        }
    }

    /// Returns the requests in flight of all hosts.
    pub fn running(&self) -> u32 {
        self.by_host.values().map(|sum| sum.in_flight).sum()
    }

    /// Returns the tokens of the requests in flight of all hosts.
    pub fn running_tokens(&self) -> u32 {
        let tokens = self.by_host.values().map(|sum| sum.tokens);
        tokens.fold(0, u32::saturating_add)
    }

    /// Returns the hosts that have reported usage.
    pub fn hosts(&self) -> impl Iterator<Item = SocketAddr> {
        self.by_host.keys().copied()
    }

    /// Returns the reported and expected load of all hosts but one.
    pub fn excluding(
        &self,
        host: SocketAddr,
    ) -> UsageTotals {
        let others = self.by_host.iter().filter(|(other, _)| **other != host);
        others.fold(self.expected_from_others(host), |sum, (_, of_host)| {
            UsageTotals {
                in_flight: sum.in_flight + of_host.in_flight,
                tokens: sum.tokens.saturating_add(of_host.tokens),
                unread_tokens: sum.unread_tokens.saturating_add(of_host.unread_tokens),
            }
        })
    }
}
