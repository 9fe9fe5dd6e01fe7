use std::time::Duration;

/// Whether requests of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests run at most once.
    Unsafe,
    /// Answers are streams of events; requests run at most once unless they may be resumed.
    Stream,
}

impl RouteKind {
    /// Name of the kind in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream => "stream",
        }
    }
}

/// One service of a split route.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    pub service: String,
    pub weight: u32,
}

/// A route: which requests go to which services, with their limits and latency goals.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Latency goal for the answer, or for the first event of a stream.
    pub latency_goal: Duration,
    /// Latency goal for the interval between the events of a stream.
    pub gap_goal: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Destinations; several entries split the requests by weight.
    pub services: Vec<WeightedService>,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// An interrupted stream may resume at another target.
    pub resumable: bool,
    /// Requests need no key even if customers are declared.
    pub public: bool,
}

impl Route {
    /// Returns true if a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Selects a service by weight; `draw` is a random number in `0.0..1.0`.
    pub fn service(
        &self,
        draw: f64,
    ) -> Option<&str> {
        let total: u32 = self.services.iter().map(|part| part.weight).sum();
        let mut left = draw * f64::from(total);
        for part in &self.services {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return Some(&part.service);
            }
        }
        self.services.last().map(|part| part.service.as_str())
    }
}
