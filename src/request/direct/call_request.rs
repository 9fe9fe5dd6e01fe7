use {
    super::Generation,
    crate::{
        clock::Instant,
        request::{
            memory::CallerMemory,
            poison::{Fingerprint, PoisonKey},
        },
        version::routing::{Customer, KeyDigest, Route, TargetService},
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method},
    std::{sync::Arc, time::Duration},
};

/// The customer of a request and the key that identified it.
#[derive(Debug, Clone)]
pub struct Credential {
    pub customer: Arc<Customer>,
    pub key: KeyDigest,
}

/// One complete request from a caller.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Request id set by the caller.
    pub id: Option<HeaderValue>,
    pub method: Method,
    pub path_and_query: String,
    /// True if another host has forwarded it, so that this host must not.
    pub is_forwarded: bool,
    /// The caller's key as it came, for a host that the request is forwarded to.
    pub authorization: Option<HeaderValue>,
    /// Headers that are forwarded to the target.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub arrived: Instant,
    /// When the final answer is due: the caller's deadline or the route's timeout, whichever is earlier.
    pub deadline: Instant,
    pub route: Arc<Route>,
    pub service: Arc<TargetService>,
    /// Set for requests to model engines.
    pub generation: Option<Generation>,
    /// Ids of the parts of its prompt that other requests may share, whatever runs it.
    pub shared_parts: Vec<u64>,
    /// `None` on routes that need no key.
    pub credential: Option<Credential>,
    /// Prompt tokens plus maximum answer tokens, as declared by the caller.
    pub declared_tokens: Option<u64>,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// What is held for the request is counted here.
    pub memory: CallerMemory,
}

impl CallRequest {
    /// Returns the request id, empty if there is none.
    pub fn id_bytes(&self) -> &[u8] {
        self.id.as_ref().map_or(&[], HeaderValue::as_bytes)
    }

    /// Returns the request id for logs, or `-` if there is none.
    pub fn id_text(&self) -> &str {
        let id = self.id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or("-")
    }

    /// Returns the time until the deadline.
    pub fn time_left(
        &self,
        now: Instant,
    ) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the customer's name, or `None` on routes that need no key.
    pub fn customer_name(&self) -> Option<&str> {
        let credential = self.credential.as_ref()?;
        Some(&credential.customer.name)
    }

    /// Returns a fingerprint that matches the same request of the same customer under another id or key.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(
            self.customer_name(),
            &self.route.host,
            self.method.as_str(),
            &self.path_and_query,
            &self.body,
        )
    }

    /// Returns the keys of the parts that the prompt may share with other requests.
    pub fn part_keys(&self) -> Vec<PoisonKey> {
        let parts = self.shared_parts.iter().copied();
        parts.map(PoisonKey::Part).collect()
    }

    /// Returns all keys under which targets may crash that run the request.
    pub fn poison_keys(&self) -> Vec<PoisonKey> {
        let mut keys = self.part_keys();
        keys.push(PoisonKey::Request(self.fingerprint()));
        keys
    }

    /// Returns the time at which the route's latency objective is missed.
    pub fn aim(&self) -> Instant {
        self.arrived + self.route.aim
    }
}
