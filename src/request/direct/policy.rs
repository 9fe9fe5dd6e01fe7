/// Switches of the scheduling policy. Those that help every deployment are on by default and can be turned off in the
/// settings to measure their effect; the others are turned on where they fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Loading an adapter away from its first engine costs more.
    pub prefers_home: bool,
    /// The cost of a copy decreases with the adapter's use.
    pub shares_copy_price: bool,
    /// Requests that find all copies of an adapter busy request another one.
    pub adds_copies: bool,
    /// An engine with far more than the mean load is penalized.
    pub avoids_crowds: bool,
    /// An engine whose memory or batch is nearly full is penalized.
    pub avoids_full_engines: bool,
    /// Estimates assume that urgent requests overtake queued prompts.
    pub ranks_backlog: bool,
    /// Requests that would miss their latency objective are rejected early.
    pub refuses_early: bool,
    /// Each request is reported to the engine's lease holder when it is sent.
    pub tells_sends_at_once: bool,
    /// Requested loads are ranked by age, urgency and number of waiting requests.
    pub ranks_wishes: bool,
    /// Concurrent loads from the weight store are limited by their duration.
    pub limits_loads: bool,
    /// Adapters that an engine has cached are loaded there first, outside the limit on loads.
    pub uses_engine_memory: bool,
    /// Each engine's pace is learnt, and requests are placed by it.
    pub learns_pace: bool,
    /// Requests that would make answers late now are sent a little later.
    pub holds_requests: bool,
    /// Requests prefer engines that have read parts of their prompts. Off by default.
    pub prefers_cached_prompts: bool,
    /// Requests wait only while an engine can be expected to serve them. Off by default.
    pub bounds_waits: bool,
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
            learns_pace: true,
            holds_requests: true,
            prefers_cached_prompts: false,
            bounds_waits: false,
        }
    }
}
