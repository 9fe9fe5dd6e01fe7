//! Speeds of engines and pauses of streams, as known to this host.

use {super::TargetTable, crate::request::pace::PauseRecord};

/// Minimum share of fast engines for a service's engines to count as of unequal speed: estimates of a few may be too
/// high by chance.
const MIN_FAST_SHARE: f64 = 0.1;

impl TargetTable {
    /// Finds the services whose engines are of unequal speed.
    ///
    /// Pace affects decisions only there: where engines are equally fast, their backlogs are alike, too, and a request
    /// that is held back only waits at the host instead of at an engine.
    pub fn update_unequal_services(&mut self) {
        if !self.policy().learns_pace || !self.is_large_site() {
            return;
        }
        let services = self.by_service.keys();
        let unequal = services.filter(|service| self.fast_share(service) >= MIN_FAST_SHARE);
        self.unequal_services = unequal.cloned().collect();
    }

    /// Returns the share of a service's engines that are known to be faster than the others.
    fn fast_share(
        &self,
        service: &str,
    ) -> f64 {
        let service_speed = self.service_speed(service);
        let engines = self.targets_of(service);
        let paces = engines
            .iter()
            .filter_map(|engine| self.links.get(&engine.id)?.pace);
        let fast = paces.filter(|pace| pace.relative_speed(service_speed) > 1.0);
        fast.count() as f64 / engines.len().max(1) as f64
    }

    /// Returns true if the engines of a service are of unequal speed.
    pub fn has_unequal_engines(
        &self,
        service: &str,
    ) -> bool {
        self.unequal_services.contains(service)
    }

    /// Records that a stream of a service ended completely, and whether one of its pauses was too long.
    pub fn record_stream(
        &mut self,
        service: &str,
        paused_too_long: bool,
    ) {
        match self.pause_records.get_mut(service) {
            Some(record) => record.on_end(paused_too_long),
            None => {
                let mut record = PauseRecord::default();
                record.on_end(paused_too_long);
                self.pause_records.insert(service.to_string(), record);
            }
        }
    }

    /// Returns true if streams of a service are often late by a pause.
    pub fn has_frequent_pauses(
        &self,
        service: &str,
    ) -> bool {
        self.pause_records
            .get(service)
            .is_some_and(PauseRecord::is_frequent)
    }

    /// Returns the prefill speed of a service's engines in general, in tokens per millisecond.
    fn service_speed(
        &self,
        service: &str,
    ) -> f64 {
        let throughput = self.prefill_throughputs.get(service);
        throughput
            .copied()
            .unwrap_or_default()
            .loaded_tokens_per_ms()
    }

    /// Returns the speed of an engine as a multiple of its service's; 1 if engines count as equally fast.
    pub fn relative_speed(
        &self,
        service: &str,
        engine: &str,
    ) -> f64 {
        if !self.has_unequal_engines(service) {
            return 1.0;
        }
        let pace = self.links.get(engine).and_then(|link| link.pace);
        pace.map_or(1.0, |pace| pace.relative_speed(self.service_speed(service)))
    }
}
