//! Speeds of engines and pauses of streams, as known to this host.

use {
    super::TargetTable,
    crate::{note, request::pace::PauseRecord, timeline::Event},
};

/// Share of fast engines from which on a service's engines count as of unequal speed: estimates of a few may be too high
/// by chance.
const MIN_FAST_SHARE: f64 = 0.18;

/// Share of fast engines below which they count as alike again; lower, so that one estimate does not switch back and forth.
const MIN_FAST_SHARE_TO_STAY: f64 = 0.1;

impl TargetTable {
    /// Finds the services whose engines are of unequal speed.
    ///
    /// Pace affects decisions only there: where engines are equally fast, their backlogs are alike, too, and a request
    /// that is held back only waits at the host instead of at an engine.
    pub fn update_unequal_services(&mut self) {
        if !self.policy().learns_pace || !self.is_large_site() {
            return;
        }
        let services: Vec<String> = self.by_service.keys().cloned().collect();
        for service in services {
            self.update_unequal_service(service);
        }
        let by_service = &self.by_service;
        self.unequal_services
            .retain(|service| by_service.contains_key(service));
    }

    fn update_unequal_service(
        &mut self,
        service: String,
    ) {
        let engines = self.targets_of(&service).len();
        let fast = self.fast_engines(&service);
        let was_unequal = self.has_unequal_engines(&service);
        let min_share = match was_unequal {
            true => MIN_FAST_SHARE_TO_STAY,
            false => MIN_FAST_SHARE,
        };
        let is_unequal = fast as f64 >= min_share * engines.max(1) as f64;
        if is_unequal == was_unequal {
            return;
        }
        note!(
            Event::EngineSpeeds,
            service = service,
            unequal = is_unequal,
            fast = fast,
            engines = engines,
        );
        match is_unequal {
            true => self.unequal_services.insert(service),
            false => self.unequal_services.remove(&service),
        };
    }

    /// Returns the number of a service's engines that are known to be faster than the others.
    fn fast_engines(
        &self,
        service: &str,
    ) -> usize {
        let service_speed = self.service_speed(service);
        let engines = self.targets_of(service);
        let paces = engines
            .iter()
            .filter_map(|engine| self.links.get(&engine.id)?.pace);
        let fast = paces.filter(|pace| pace.relative_speed(service_speed) > 1.0);
        fast.count()
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
