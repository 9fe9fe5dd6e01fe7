use {
    super::{
        EngineFaults, EngineRecord, EngineStandinSpec, Execution, engine_batch::EngineBatch,
        engine_stream::EngineStream, prefix_cache::PrefixCache,
    },
    crate::{
        clock::Instant,
        connection::target::{AdapterReport, AdapterState, EngineReport},
        version::AdapterVersion,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// An adapter that an engine holds.
#[derive(Debug, Clone)]
pub struct HeldAdapter {
    pub state: AdapterState,
    pub using: u32,
}

/// Everything an engine's stand-in knows, behind one lock.
pub struct EngineState {
    pub spec: EngineStandinSpec,
    pub boot: u64,
    pub base_model: String,
    pub role: String,
    pub fence: u64,
    pub adapters: BTreeMap<AdapterVersion, HeldAdapter>,
    pub batch: EngineBatch,
    pub streams: HashMap<String, Arc<EngineStream>>,
    pub cache: PrefixCache,
    pub faults: EngineFaults,
    pub record: EngineRecord,
    pub last_report: (Instant, EngineReport),
}

impl EngineState {
    pub fn new(spec: EngineStandinSpec) -> Self {
        let record = EngineRecord {
            batch_slots: spec.batch_slots,
            ..EngineRecord::default()
        };
        let empty = EngineReport {
            boot: 1,
            age_ms: 0,
            base_model: spec.base_model.clone(),
            role: "mixed".into(),
            running: 0,
            waiting: 0,
            fence: 0,
            adapters: Vec::new(),
        };
        Self {
            boot: 1,
            base_model: spec.base_model.clone(),
            role: "mixed".into(),
            fence: 0,
            adapters: BTreeMap::new(),
            batch: EngineBatch::new(spec.batch_slots),
            streams: HashMap::new(),
            cache: PrefixCache::new(spec.cached_prefixes),
            faults: EngineFaults::default(),
            record,
            last_report: (Instant::now(), empty),
            spec,
        }
    }

    /// What a report made now would say.
    pub fn report(&self) -> EngineReport {
        let adapters = self
            .adapters
            .iter()
            .map(|(model, held)| AdapterReport {
                model: model.clone(),
                state: held.state,
                running: held.using,
            })
            .collect();
        EngineReport {
            boot: self.boot,
            age_ms: 0,
            base_model: self.base_model.clone(),
            role: self.role.clone(),
            running: self.batch.running() as u32,
            waiting: self.batch.waiting() as u32,
            fence: self.fence,
            adapters,
        }
    }

    /// True when an order with this fence is obeyed.
    pub fn admits_fence(
        &mut self,
        fence: u64,
    ) -> bool {
        let old = self.spec.checks_fences && fence < self.fence;
        if old {
            self.record.fenced_off += 1;
            return false;
        }
        self.fence = self.fence.max(fence);
        true
    }

    /// Counts a request as using its adapter; false when that is not ready.
    pub fn start_using(
        &mut self,
        model: &AdapterVersion,
    ) -> bool {
        match self.adapters.get_mut(model) {
            Some(held) if held.state == AdapterState::Ready => {
                held.using += 1;
                true
            }
            _ => false,
        }
    }

    /// The end of a request that ran in the boot `boot`.
    pub fn stop_using(
        &mut self,
        model: &AdapterVersion,
        boot: u64,
    ) {
        if boot != self.boot {
            return;
        }
        if let Some(held) = self.adapters.get_mut(model) {
            held.using = held.using.saturating_sub(1);
        }
    }

    /// Notes a run and returns its place in the record.
    pub fn note_execution(
        &mut self,
        request_id: &str,
        key: &str,
        model: &AdapterVersion,
    ) -> usize {
        self.record.executions.push(Execution {
            request_id: request_id.to_string(),
            key: key.to_string(),
            model: model.clone(),
            tokens: 0,
            finished: false,
            cancelled: false,
        });
        self.record.executions.len() - 1
    }

    /// Starts anew, empty; every stream is cut.
    pub fn restart(&mut self) {
        self.boot += 1;
        self.adapters.clear();
        self.cache = PrefixCache::new(self.spec.cached_prefixes);
        for (_, stream) in self.streams.drain() {
            stream.cut();
        }
    }

    /// The record up to now.
    pub fn full_record(&mut self) -> EngineRecord {
        let (busy_slot_ms, busy_ms) = self.batch.integrals();
        EngineRecord {
            busy_slot_ms,
            busy_ms,
            ..self.record.clone()
        }
    }
}
