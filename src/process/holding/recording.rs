use {
    super::{
        HOLDING_TABLE, HolderRow, TakenEngine, engine_key,
        resumption::RENEWAL_ENTRIES,
        takeover_batches::{ENTRIES_PER_ENGINE, MAX_TRANSACTION_ENTRIES},
    },
    crate::formats::{Expectation, RowKey, RowWrite, StoreVersion},
    std::net::SocketAddr,
};

/// Maximum number of engines that one renewal records.
const MAX_RECORDED_ENGINES: usize =
    (MAX_TRANSACTION_ENTRIES - RENEWAL_ENTRIES) / ENTRIES_PER_ENGINE;

/// Recording of engines anew by a renewal, after a restoration of the store may have lost their rows.
///
/// The renewal expects the rows to be as they were read in the new era. If it succeeds, no other host has taken one of the
/// engines since, and the new rows prevent others from doing so.
#[derive(Debug, Default)]
pub(super) struct Recording {
    /// Engines with the versions of their rows, absent for rows that are lost.
    engines: Vec<(TakenEngine, StoreVersion)>,
}

impl Recording {
    /// Begins with the engines that fit into the renewal; the others follow with the next one.
    pub fn begin(
        &mut self,
        engines: impl Iterator<Item = (TakenEngine, StoreVersion)>,
    ) {
        self.engines = engines.take(MAX_RECORDED_ENGINES).collect();
    }

    /// Gives up; returns true if the renewal was to record engines.
    pub fn abandon(&mut self) -> bool {
        !std::mem::take(&mut self.engines).is_empty()
    }

    /// Returns what the renewal must expect besides the host's own row.
    pub fn expectations(&self) -> impl Iterator<Item = Expectation> {
        self.engines.iter().map(|(engine, version)| Expectation {
            row: engine_row(engine),
            version: *version,
        })
    }

    /// Returns what the renewal writes besides the host's own row.
    pub fn writes(
        &self,
        local_host: SocketAddr,
    ) -> impl Iterator<Item = RowWrite> {
        self.engines.iter().map(move |(engine, _)| {
            let value = HolderRow {
                holder: local_host,
                fence: engine.fence,
            };
            RowWrite {
                row: engine_row(engine),
                value: Some(serde_json::to_vec(&value).expect("holder row serializes")),
            }
        })
    }

    /// Returns the engines that are recorded once the renewal is committed.
    pub fn finish(&mut self) -> Vec<TakenEngine> {
        let engines = std::mem::take(&mut self.engines);
        engines.into_iter().map(|(engine, _)| engine).collect()
    }
}

fn engine_row(engine: &TakenEngine) -> RowKey {
    RowKey::new(HOLDING_TABLE, &engine_key(&engine.target))
}
