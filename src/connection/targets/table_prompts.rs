//! Prompts sent to engines, and the tokens that engines keep of them.

use {
    super::TargetTable,
    crate::{
        clock::Instant,
        connection::datagram::EngineStanding,
        metrics::metrics,
        request::direct::{Generation, PromptChain},
    },
};

impl TargetTable {
    /// Returns the chain of a request's prompt where it is used: on a large site, if the policy enables it.
    pub fn prompt_chain(
        &self,
        generation: Option<&Generation>,
    ) -> Option<PromptChain> {
        match self.settings.policy.prefers_cached_prompts && self.is_large_site() {
            true => PromptChain::of(generation?),
            false => None,
        }
    }

    /// Returns the tokens of a prompt that an engine need not read, by its holder's last answer; 0 if that is not
    /// known.
    pub fn cached_tokens(
        &self,
        target: &str,
        prompt: Option<&PromptChain>,
        now: Instant,
    ) -> u64 {
        let (Some(link), Some(prompt)) = (self.links.get(target), prompt) else {
            return 0;
        };
        u64::from(link.cached_prompts.tokens(prompt.id(), now))
    }

    /// Handles the part of a holder's answer that is about the queried prompt.
    pub(super) fn on_cached_tokens(
        &mut self,
        status: &EngineStanding,
        now: Instant,
    ) {
        // Holders of an earlier version send no chain.
        if status.chain == 0 {
            return;
        }
        if let Some(link) = self.links.get_mut(status.load.target.as_str()) {
            let cached = &mut link.cached_prompts;
            cached.record(status.chain, status.cached_tokens, now);
        }
    }

    /// Adds the prompt of a request that is sent to an engine to the next report to its holder. Returns the prompt
    /// tokens that the engine has to read.
    pub fn send_prompt(
        &mut self,
        target: &str,
        generation: &Generation,
        now: Instant,
    ) -> u64 {
        let prompt = self.prompt_chain(Some(generation));
        let tokens = u64::from(generation.tokens_in);
        let cached = self.cached_tokens(target, prompt.as_ref(), now).min(tokens);
        metrics().prompt_tokens.inc_by(tokens);
        metrics().prompt_tokens_cached.inc_by(cached);
        if let Some((link, prompt)) = self.links.get_mut(target).zip(prompt) {
            link.sent_prompts.push(prompt.sent());
        }
        tokens - cached
    }
}
