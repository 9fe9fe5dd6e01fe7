use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

/// Utilization at which an empty engine loads its base model from the weight store.
const SCALE_UP_UTILIZATION: f64 = 0.65;

/// Request slots of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineUtilization {
    /// Requests in flight, of all hosts.
    pub running: u32,
    /// Maximum concurrent requests.
    pub slots: u32,
}

/// A pool shared by the engine allocators of a host, all on one thread.
pub type SharedEnginePool = Rc<RefCell<EnginePool>>;

/// Utilization of this host's engines by base model, as a sample of the site.
///
/// Loading a base model from the weight store is slow and costly, so empty engines load one only when the
/// others run short of request slots.
#[derive(Debug, Default)]
pub struct EnginePool {
    /// By base model, then by engine.
    utilizations: BTreeMap<String, BTreeMap<String, EngineUtilization>>,
}

impl EnginePool {
    /// Sets an engine's utilization, or removes it if the engine does not hold the model.
    pub fn set(
        &mut self,
        model: &str,
        target: &str,
        utilization: Option<EngineUtilization>,
    ) {
        let engines = self.utilizations.entry(model.to_string()).or_default();
        match utilization {
            Some(utilization) => engines.insert(target.to_string(), utilization),
            None => engines.remove(target),
        };
    }

    /// Removes an engine that this host no longer holds.
    pub fn remove_engine(
        &mut self,
        target: &str,
    ) {
        for engines in self.utilizations.values_mut() {
            engines.remove(target);
        }
    }

    /// Returns true if another engine with this base model is needed.
    pub fn needs_another_engine(
        &self,
        model: &str,
    ) -> bool {
        let engines = self
            .utilizations
            .get(model)
            .into_iter()
            .flat_map(BTreeMap::values);
        let (running, slots) = engines.fold((0, 0), |(running, slots), utilization| {
            (running + utilization.running, slots + utilization.slots)
        });
        f64::from(running) >= SCALE_UP_UTILIZATION * f64::from(slots)
    }
}
