use {
    crate::clock::Instant,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// A statement that no answer confirms for so long is dropped.
const STATEMENT_TTL: Duration = Duration::from_secs(60);

/// A target that falls over within this time of a rejection by its service may have done so for its rejections.
const REJECTION_TTL: Duration = Duration::from_millis(1500);

/// Services of which targets say that they are brittle.
///
/// All targets of a service share that state. A target that has just started has said nothing yet, and falls over like the others.
#[derive(Debug, Default)]
pub struct BrittleServices {
    by_service: HashMap<String, HashMap<Arc<str>, Statement>>,
    /// When a target of a brittle service last rejected a request of this host.
    rejected_at: HashMap<String, Instant>,
}

/// What one target has said.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Rejections per second that it bears.
    rejections: f64,
    at: Instant,
}

impl BrittleServices {
    /// Records what a target says; `None` if it is not brittle.
    pub fn record(
        &mut self,
        service: &str,
        target: &Arc<str>,
        rejections: Option<f64>,
        now: Instant,
    ) {
        match rejections {
            Some(rejections) => {
                let statement = Statement {
                    rejections,
                    at: now,
                };
                let statements = self.by_service.entry(service.to_string()).or_default();
                statements.insert(target.clone(), statement);
            }
            None => {
                if let Some(statements) = self.by_service.get_mut(service) {
                    statements.remove(target);
                    if statements.is_empty() {
                        self.by_service.remove(service);
                    }
                }
            }
        }
    }

    /// Returns the rejections per second that each target of a service bears; `None` if none says that it is brittle.
    pub fn bound(
        &self,
        service: &str,
        now: Instant,
    ) -> Option<f64> {
        let statements = self.by_service.get(service)?.values();
        statements
            .filter(|statement| now.saturating_duration_since(statement.at) < STATEMENT_TTL)
            .map(|statement| statement.rejections)
            .min_by(f64::total_cmp)
    }

    /// Records that a target of a service has rejected a request.
    pub fn on_rejected(
        &mut self,
        service: &str,
        now: Instant,
    ) {
        self.rejected_at.insert(service.to_string(), now);
    }

    /// Returns true if a target of a service may fall over for its rejections now.
    pub fn is_at_risk(
        &self,
        service: &str,
        now: Instant,
    ) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REJECTION_TTL;
        self.bound(service, now).is_some() && self.rejected_at.get(service).is_some_and(is_recent)
    }

    /// Returns true if no target says that it is brittle.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }
}
