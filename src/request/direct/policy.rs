/// Which mechanisms of the policy are at work; all are, unless the settings switch one off to measure
/// what it is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// A further copy of an adapter is dearer than its first one.
    pub prefers_home: bool,
    /// The more an adapter is used, the cheaper is a copy of it.
    pub shares_copy_price: bool,
    /// Requests that find all copies busy call for another one.
    pub adds_copies: bool,
    /// An engine with far more than the mean load counts as slower.
    pub avoids_crowds: bool,
    /// An engine whose memory or batch is nearly full counts as slower.
    pub avoids_full_engines: bool,
    /// Urgent requests pass the prompts of others that wait to be read.
    pub ranks_backlog: bool,
    /// Requests that would be late are refused while that is prompt.
    pub refuses_early: bool,
    /// Holders hear of each request when it is sent.
    pub tells_sends_at_once: bool,
    /// Adapters are loaded by age, urgency and the number of requests that wait for them.
    pub ranks_wishes: bool,
    /// Loads from the weight store are limited by how long they take.
    pub limits_loads: bool,
    /// What an engine held lately is loaded ahead of the limit, and asked for there first.
    pub uses_engine_memory: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            prefers_home: true,
            shares_copy_price: true,
            adds_copies: true,
            avoids_crowds: true,
            avoids_full_engines: true,
            ranks_backlog: true,
            refuses_early: true,
            tells_sends_at_once: true,
            ranks_wishes: true,
            limits_loads: true,
            uses_engine_memory: true,
        }
    }
}
