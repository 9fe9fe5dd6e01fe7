use {
    super::request_trace::millis,
    crate::{
        clock::Instant,
        metrics::{StateLabels, metrics},
        note,
        request::memory::{HostMemory, MemoryCut, MemoryUse, Pressure, SWEEP_INTERVAL},
        timeline::Event,
    },
};

/// Cuts callers at regular intervals as the budget decides, and reports what is held.
pub struct MemorySweeper {
    memory: HostMemory,
    pressure: Pressure,
}

impl MemorySweeper {
    pub fn new(memory: HostMemory) -> Self {
        Self {
            memory,
            pressure: Pressure::None,
        }
    }

    /// Runs as long as the process; returns at once without a limit.
    pub async fn run(mut self) {
        let Some((_, _, capacity)) = self.memory.levels() else {
            return;
        };
        metrics().memory_capacity.set(capacity as i64);
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            for (cut, id) in self.memory.sweep(Instant::now()) {
                self.report_cut(&cut, &id);
            }
            self.report_levels();
        }
    }

    fn report_cut(
        &self,
        cut: &MemoryCut,
        id: &str,
    ) {
        let state = cut.kind.word();
        let labels = StateLabels { state };
        metrics().memory_cut.get_or_create(&labels).inc();
        let (pressure, held, capacity) = self.memory.levels().unwrap_or((Pressure::None, 0, 0));
        note!(
            Event::CallerCut,
            id = id,
            cause = state,
            held_bytes = cut.held,
            stalled_ms = millis(cut.stalled),
            last_resort = cut.is_last_resort,
            pressure = pressure.word(),
            all_held_bytes = held,
            capacity_bytes = capacity,
        );
    }

    fn report_levels(&mut self) {
        for purpose in MemoryUse::ALL {
            let labels = StateLabels {
                state: purpose.word(),
            };
            let held = self.memory.held_for(purpose) as i64;
            metrics().memory_held.get_or_create(&labels).set(held);
        }
        let Some((pressure, held, capacity)) = self.memory.levels() else {
            return;
        };
        if pressure == self.pressure {
            return;
        }
        note!(
            Event::MemoryPressure,
            pressure = pressure.word(),
            before = self.pressure.word(),
            held_bytes = held,
            capacity_bytes = capacity,
        );
        self.pressure = pressure;
    }
}
