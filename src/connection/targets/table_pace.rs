//! Speeds of engines and pauses of streams, as known to this host.

use {super::TargetTable, crate::request::pace::PauseRecord};

impl TargetTable {
    /// Records a whole stream of a service.
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
    pub(super) fn service_speed(
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
    pub(super) fn relative_speed(
        &self,
        engine: &str,
        service_speed: f64,
    ) -> f64 {
        if !self.policy().learns_pace || !self.is_large_site() {
            return 1.0;
        }
        let pace = self.links.get(engine).and_then(|link| link.pace);
        pace.map_or(1.0, |pace| pace.relative_speed(service_speed))
    }
}
