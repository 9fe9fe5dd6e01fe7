use std::time::Duration;

/// What may be repeated of the requests of a route.
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
    /// The kind in figures.
    pub fn word(self) -> &'static str {
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

/// Which requests go to which service, and on what terms.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time to the answer, or to the first event of a stream, that earns full credit.
    pub aim: Duration,
    /// Longest pause between the events of a stream that keeps it in time.
    pub gap_aim: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Where requests go; more than one entry splits them by weight.
    pub services: Vec<WeightedService>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// A broken stream may go on at another target.
    pub resumable: bool,
    /// Requests need no key, also where there are customers.
    pub public: bool,
}

impl Route {
    /// True when a request of this route may run more than once.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service for a request, chosen by weight with `draw`, a number from 0 to below 1.
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
