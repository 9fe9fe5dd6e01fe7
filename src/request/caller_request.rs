use {
    crate::{
        clock::Instant, connection::peer::wire::ForwardRequest, request::headers_to_wire,
        version::AdapterVersion,
    },
    bytes::Bytes,
    http::{HeaderMap, Method},
};

/// A caller's request, checked against the configuration.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Made by the entry host; named in every answer.
    pub id: String,
    pub service: String,
    pub outfitter: String,
    pub kind: String,
    /// The adapter version, for a model engine.
    pub model: Option<AdapterVersion>,
    pub priority: u8,
    pub worth: f64,
    pub deadline: Instant,
    /// The idempotency key; empty when none was sent.
    pub key: String,
    /// 0 when the caller sent a key and no attempt number.
    pub attempt: u32,
    pub repeatable: bool,
    pub stream: bool,
    pub method: Method,
    /// Path and query at the target.
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CallerRequest {
    /// True when an earlier attempt of a request that may not be repeated may have run.
    pub fn is_later_attempt(&self) -> bool {
        self.attempt > 1 && !self.repeatable
    }

    /// The request as it goes to the owner of `target`.
    pub fn to_forward(
        &self,
        target: &str,
        now: Instant,
    ) -> ForwardRequest {
        let left = self.deadline.saturating_duration_since(now);
        let (adapter, version) = match &self.model {
            Some(model) => (model.adapter(), model.version()),
            None => ("", ""),
        };
        ForwardRequest {
            request_id: self.id.clone(),
            target: target.to_string(),
            service: self.service.clone(),
            outfitter: self.outfitter.clone(),
            kind: self.kind.clone(),
            adapter: adapter.to_string(),
            version: version.to_string(),
            priority: u32::from(self.priority),
            worth: self.worth,
            deadline_ms: left.as_millis() as u64,
            key: self.key.clone(),
            attempt: self.attempt,
            repeatable: self.repeatable,
            stream: self.stream,
            method: self.method.to_string(),
            path: self.path.clone(),
            headers: headers_to_wire(&self.headers),
            body: self.body.clone(),
            resume_from: 0,
            resumed: false,
            may_load: true,
            check_claims: false,
        }
    }
}
