use {
    super::{attempts::Attempts, in_flight_request::HIGHEST_PRIORITY},
    crate::{
        clock::Instant,
        connection::targets::{PrefillThroughput, TargetLink, TargetTable},
        request::{
            direct::{
                AdapterCopyState, CallRequest, DEFAULT_LOAD_TIME, EngineCandidate, Policy,
                prompt_affinity,
            },
            pace::Reading,
        },
    },
    std::{sync::Arc, time::Duration},
};

/// Maximum age of a report of other hosts' load at an engine; past it that load counts as unknown.
const MAX_LOAD_AGE: Duration = Duration::from_millis(400);

/// Estimates wait and load of the candidates for one request.
pub(super) struct EngineEstimator<'a> {
    speed: PrefillThroughput,
    policy: Policy,
    /// Mean number of running tokens per engine of the service.
    mean_tokens: f64,
    hall: &'a str,
    now: Instant,
}

impl<'a> EngineEstimator<'a> {
    pub fn of(
        table: &mut TargetTable,
        request: &CallRequest,
        targets: &[Arc<str>],
        hall: &'a str,
        now: Instant,
    ) -> Self {
        let service = &request.service.name;
        let mean_tokens = match table.is_large_site() {
            // The load of other engines is too stale.
            true => table.mean_running_tokens(targets.iter()),
            false => table.mean_running_tokens(table.engines_of(service).iter()),
        };
        Self {
            speed: *table.prefill_throughput(service),
            policy: table.policy(),
            mean_tokens,
            hall,
            now,
        }
    }

    /// Returns an engine as a candidate for a request.
    pub fn candidate(
        &self,
        table: &TargetTable,
        request: &CallRequest,
        target: &str,
        copy_state: AdapterCopyState,
        attempts: &Attempts,
    ) -> EngineCandidate {
        let link = &table.links[target];
        let generation = request.generation.as_ref();
        let prompt = generation.map_or(0, |generation| u64::from(generation.tokens_in));
        let cached = table.cached_tokens(target, attempts.queried_prompt(), self.now);
        let unread = prompt.saturating_sub(cached);
        let answer = generation.map_or(0, |generation| u64::from(generation.tokens_out));
        let engine = request.service.engine.as_ref();
        let memory = engine.map_or(u64::MAX, |engine| engine.memory_tokens.max(1));
        let tokens = link.running_tokens() + prompt + answer;
        let service = &request.service.name;
        let speed = self.speed_of(table, service, target);
        EngineCandidate {
            copy_state,
            time_to_first_event: speed.prefill_time(self.backlog_before(link, request) + unread),
            reading: self.reading(link, unread, &speed),
            streams: link.running(),
            load_time: link.load_time(self.now).unwrap_or(DEFAULT_LOAD_TIME),
            memory_share: tokens as f64 / memory as f64,
            batch_share: f64::from(link.running() + 1) / f64::from(link.view.record.slots.max(1)),
            relative_load: tokens as f64 / (self.mean_tokens + (prompt + answer) as f64).max(1.0),
            same_hall: link.view.record.hall == self.hall,
            load_unknown: self.is_load_unknown(table, link),
            avoided: !table.remaining_backoff(service, target, self.now).is_zero(),
            has_holder: link.view.holder.is_some(),
            tried: attempts.has_tried(target),
            availability: table.availability(target, self.now),
            prompt_affinity: self.prompt_affinity(target, attempts),
        }
    }

    /// Returns the prefill throughput of an engine, or that of its service while little is known of the engine.
    fn speed_of(
        &self,
        table: &TargetTable,
        service: &str,
        target: &str,
    ) -> PrefillThroughput {
        self.speed.scaled(table.relative_speed(service, target))
    }

    /// Returns for how long an engine reads without a break, with and without another prompt.
    fn reading(
        &self,
        link: &TargetLink,
        prompt: u64,
        speed: &PrefillThroughput,
    ) -> Reading {
        let read_so_far = link.reading_time(self.now);
        let backlog = link.backlog_tokens();
        Reading {
            before: read_so_far + speed.read_time(backlog),
            after: read_so_far + speed.read_time(backlog + prompt),
        }
    }

    /// Returns the extra time that a request accepts at an engine that ranks among the first for its prompt.
    fn prompt_affinity(
        &self,
        target: &str,
        attempts: &Attempts,
    ) -> Duration {
        let rank = attempts.prompt_rank(target);
        let Some((prompt, rank)) = attempts.queried_prompt().zip(rank) else {
            return Duration::ZERO;
        };
        let to_read = self.speed.prefill_time(prompt.leading_tokens());
        let read_time = to_read.saturating_sub(self.speed.prefill_time(0));
        prompt_affinity(read_time, rank)
    }

    /// Returns true if the report of other hosts' load at an engine is stale.
    fn is_load_unknown(
        &self,
        table: &TargetTable,
        link: &TargetLink,
    ) -> bool {
        let since = self.now.checked_sub(MAX_LOAD_AGE);
        table.is_large_site() && since.is_some_and(|since| !link.has_report_since(since))
    }

    /// Returns the prompt tokens that an engine reads before the prompt of a request.
    ///
    /// Engines admit the most urgent requests first, so these wait for at most the one prompt that is being read.
    fn backlog_before(
        &self,
        link: &TargetLink,
        request: &CallRequest,
    ) -> u64 {
        let backlog = link.backlog_tokens();
        match self.policy.ranks_backlog && request.urgency == HIGHEST_PRIORITY {
            true => backlog.min(self.speed.mean_prompt_in_prefill()),
            false => backlog,
        }
    }
}
