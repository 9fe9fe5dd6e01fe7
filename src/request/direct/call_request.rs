use {
    super::Generation,
    crate::{
        clock::Instant,
        request::poison::Fingerprint,
        version::routing::{Customer, KeyDigest, Route, TargetService},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method},
    std::{sync::Arc, time::Duration},
};

/// On whose behalf a request is sent, and by which key.
#[derive(Debug, Clone)]
pub struct Credential {
    pub customer: Arc<Customer>,
    pub key: KeyDigest,
}

/// One attempt of a caller, whole.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Made by the caller.
    pub id: Option<HeaderValue>,
    pub method: Method,
    pub path_and_query: String,
    /// Headers that pass through.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub arrived: Instant,
    /// When the final answer must be given: the caller's deadline or the route's time-out.
    pub ends: Instant,
    pub route: Arc<Route>,
    pub service: Arc<TargetService>,
    /// Set for requests to model engines.
    pub generation: Option<Generation>,
    /// Absent where requests need no key.
    pub credential: Option<Credential>,
    /// Tokens that the caller told, of the prompt and the most of the answer together.
    pub told_tokens: Option<u64>,
    /// 0 goes first.
    pub urgency: u8,
}

impl CallRequest {
    /// The request's id for logs.
    pub fn id_text(&self) -> &str {
        let id = self.id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or("-")
    }

    /// Time that is left.
    pub fn left(
        &self,
        now: Instant,
    ) -> Duration {
        self.ends.saturating_duration_since(now)
    }

    /// What makes it known again when it comes under another id. Who sends it does not count: what it does to a target lies in what
    /// it says.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(
            &self.route.host,
            self.method.as_str(),
            &self.path_and_query,
            &self.body,
        )
    }

    /// When an answer stops being in time.
    pub fn aim(&self) -> Instant {
        self.arrived + self.route.aim
    }
}
