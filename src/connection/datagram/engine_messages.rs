//! Messages between a host and the holder of an engine: requests sent there, and the load and pace of the engine.

/// Usage of one adapter through one host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AdapterUsage {
    #[prost(string, tag = "1")]
    pub adapter: String,
    /// Requests that run or were sent and have not ended.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Requests sent since the last report.
    #[prost(uint32, tag = "3")]
    pub started: u32,
}

/// One part of a prompt, identified together with all parts before it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct PromptSegment {
    /// Hash of the model, the adapter and all parts up to this one.
    #[prost(fixed64, tag = "1")]
    pub chain: u64,
    /// Tokens of this part alone.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}

/// A prompt that was sent to an engine.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SentPrompt {
    #[prost(message, repeated, tag = "1")]
    pub segments: Vec<PromptSegment>,
    /// Hash of the model and adapter, where the chain starts.
    #[prost(fixed64, tag = "2")]
    pub root: u64,
}

/// Pace of an engine as observed by one host since its last report, or as merged by the engine's holder.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PaceReport {
    /// Prefill time of 1,000 prompt tokens, in microseconds.
    #[prost(uint32, tag = "1")]
    pub prefill_us: u32,
    /// Number of samples behind it.
    #[prost(uint32, tag = "2")]
    pub samples: u32,
}

/// Reports a host's requests at an engine to the engine's holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Usage {
    #[prost(string, tag = "1")]
    pub target: String,
    #[prost(message, repeated, tag = "2")]
    pub adapters: Vec<AdapterUsage>,
    /// All requests of the sender that run there.
    #[prost(uint32, tag = "3")]
    pub in_flight: u32,
    /// Tokens of those requests.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
    /// Tokens of the prompts among them that have brought no event yet.
    #[prost(uint32, tag = "5")]
    pub unread_tokens: u32,
    /// Prompts sent since the last report.
    #[prost(message, repeated, tag = "6")]
    pub prompts: Vec<SentPrompt>,
    /// Samples taken since the last report.
    #[prost(message, optional, tag = "7")]
    pub pace: Option<PaceReport>,
}

/// Reports the load of an engine, from its holder.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineLoad {
    #[prost(string, tag = "1")]
    pub target: String,
    /// Requests that run there, without those of the receiver.
    #[prost(uint32, tag = "2")]
    pub in_flight: u32,
    /// Tokens of those requests.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
    /// Tokens of the prompts among them that have brought no event yet.
    #[prost(uint32, tag = "4")]
    pub unread_tokens: u32,
    /// Pace of the engine, from the samples of all hosts.
    #[prost(message, optional, tag = "5")]
    pub pace: Option<PaceReport>,
    /// Time for which the engine has been reading prompts without a break, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub reading_ms: u32,
}

/// Queries the holder of an engine for its state, right before a request is sent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EngineQuery {
    #[prost(string, tag = "1")]
    pub target: String,
    /// Empty if only the load matters.
    #[prost(string, tag = "2")]
    pub adapter: String,
    /// Chance that the request is sent there next, in hundredths.
    #[prost(uint32, tag = "3")]
    pub chance: u32,
    /// Tokens of the request, and those of its prompt.
    #[prost(uint32, tag = "4")]
    pub tokens: u32,
    #[prost(uint32, tag = "5")]
    pub prompt_tokens: u32,
    /// Segments of the request's prompt.
    #[prost(message, repeated, tag = "6")]
    pub segments: Vec<PromptSegment>,
}
