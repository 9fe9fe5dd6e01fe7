use {
    super::tries::Tries,
    crate::{
        clock::Instant,
        connection::targets::{PrefillThroughput, TargetLink, TargetTable},
        request::direct::{CallRequest, CopyState, EngineCandidate, Policy, USUAL_LOAD},
    },
    std::{sync::Arc, time::Duration},
};

/// What other hosts send to an engine is unknown when it was last told longer ago.
const LOAD_KNOWN: Duration = Duration::from_millis(400);

/// Rank of the requests that engines admit before all others.
const MOST_URGENT: u8 = 0;

/// What all candidates for one request are measured with.
pub(super) struct EngineOutlook<'a> {
    speed: PrefillThroughput,
    policy: Policy,
    /// Tokens that run at an engine of the service, in the mean.
    mean_tokens: f64,
    /// The hall of this host.
    hall: &'a str,
    now: Instant,
}

impl<'a> EngineOutlook<'a> {
    pub fn of(
        board: &mut TargetTable,
        request: &CallRequest,
        targets: &[Arc<str>],
        hall: &'a str,
        now: Instant,
    ) -> Self {
        let service = &request.service.name;
        let mean_tokens = match board.is_large_site() {
            // Of other engines too little is known.
            true => board.mean_running_tokens(targets.iter()),
            false => board.mean_running_tokens(board.engines_of(service).iter()),
        };
        Self {
            speed: *board.prefill_throughput(service),
            policy: board.policy(),
            mean_tokens,
            hall,
            now,
        }
    }

    /// An engine, as it stands for a request.
    pub fn candidate(
        &self,
        board: &TargetTable,
        request: &CallRequest,
        target: &str,
        copy: CopyState,
        tries: &Tries,
    ) -> EngineCandidate {
        let link = &board.links[target];
        let generation = request.generation.as_ref();
        let prompt = generation.map_or(0, |generation| u64::from(generation.tokens_in));
        let answer = generation.map_or(0, |generation| u64::from(generation.tokens_out));
        let engine = request.service.engine.as_ref();
        let memory = engine.map_or(u64::MAX, |engine| engine.memory_tokens.max(1));
        let tokens = link.running_tokens() + prompt + answer;
        EngineCandidate {
            copy,
            wait: self
                .speed
                .prefill_time(self.backlog_before(link, request) + prompt),
            load: link.load_time(self.now).unwrap_or(USUAL_LOAD),
            memory: tokens as f64 / memory as f64,
            batch: f64::from(link.running() + 1) / f64::from(link.view.record.slots.max(1)),
            crowd: tokens as f64 / (self.mean_tokens + (prompt + answer) as f64).max(1.0),
            near: link.view.record.hall == self.hall,
            unknown: self.is_unknown(board, link),
            avoided: !link.remaining_backoff(self.now).is_zero(),
            has_holder: link.view.holder.is_some(),
            tried: tries.has_tried(target),
            openness: board.availability(target, self.now),
        }
    }

    /// True if what other hosts send there was last told too long ago.
    fn is_unknown(
        &self,
        board: &TargetTable,
        link: &TargetLink,
    ) -> bool {
        let since = self.now.checked_sub(LOAD_KNOWN);
        board.is_large_site() && since.is_some_and(|since| !link.has_report_since(since))
    }

    /// Tokens of prompts that are read at an engine before that of a request. Engines admit the most
    /// urgent first, so these wait for the one prompt that is being read at the most.
    fn backlog_before(
        &self,
        link: &TargetLink,
        request: &CallRequest,
    ) -> u64 {
        let backlog = link.backlog_tokens();
        match self.policy.ranks_backlog && request.urgency == MOST_URGENT {
            true => backlog.min(self.speed.mean_prompt_in_prefill()),
            false => backlog,
        }
    }
}
