use {
    crate::{clock::Instant, formats::HeldModel, request::direct::AdapterCopyState},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Time after which a holder that was asked and did not answer is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(60);

/// Asks without an answer after which the holder counts as silent.
const MAX_ASKS: u32 = 4;

/// Time for which a silent holder's engine is passed over.
const SILENT_PAUSE: Duration = Duration::from_millis(1500);

/// An adapter's copy at one engine, as its holder last told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdapterCopy {
    pub version: u64,
    pub state: AdapterCopyState,
    /// The engine went on holding this older version when it was asked for a newer one and had no place for
    /// it: streams on it had not ended.
    pub older: Option<u64>,
    /// Requests for it that started there lately, through all hosts, as last told.
    pub uses: u32,
    asked: Option<Instant>,
    asks: u32,
}

impl AdapterCopy {
    /// The version that requests find there now, if there is one.
    pub fn held(&self) -> Option<u64> {
        match self.state {
            AdapterCopyState::Ready => Some(self.version),
            _ => self.older,
        }
    }
}

/// Where adapters are, as far as this host was told.
#[derive(Debug, Default)]
pub struct AdapterMap {
    /// By `MODEL/ADAPTER`, then by the engine's id.
    copies: HashMap<String, HashMap<String, AdapterCopy>>,
    /// Adapters that each engine held lately, the latest last.
    remembered: HashMap<String, VecDeque<String>>,
}

impl AdapterMap {
    /// The copy of an adapter at an engine, if anything is known of it.
    pub fn get(
        &self,
        adapter: &str,
        target: &str,
    ) -> Option<&AdapterCopy> {
        self.copies.get(adapter)?.get(target)
    }

    /// Engines of which it is known how the adapter stands there.
    pub fn known(
        &self,
        adapter: &str,
    ) -> usize {
        self.copies.get(adapter).map_or(0, HashMap::len)
    }

    /// The holder told where an adapter stands.
    pub fn set(
        &mut self,
        adapter: &str,
        target: &str,
        version: u64,
        state: AdapterCopyState,
        uses: u32,
    ) {
        let is_full = matches!(state, AdapterCopyState::Full { .. });
        let held = self.get(adapter, target).and_then(AdapterCopy::held);
        let copy = AdapterCopy {
            version,
            state,
            older: held.filter(|held| is_full && *held < version),
            uses,
            asked: None,
            asks: 0,
        };
        self.entry(adapter).insert(target.to_string(), copy);
    }

    /// An adapter is gone from an engine, which remembers so many.
    pub fn set_gone(
        &mut self,
        adapter: &str,
        target: &str,
        remembered: usize,
    ) {
        let copies = self.copies.get_mut(adapter);
        let Some(copy) = copies.and_then(|copies| copies.get_mut(target)) else {
            return;
        };
        copy.older = None;
        if !matches!(
            copy.state,
            AdapterCopyState::Ready | AdapterCopyState::Loading { .. }
        ) {
            return;
        }
        copy.state = AdapterCopyState::Cached;
        let order = self.remembered.entry(target.to_string()).or_default();
        order.retain(|known| known != adapter);
        order.push_back(adapter.to_string());
        let dropped = match order.len() > remembered {
            true => order.pop_front(),
            false => None,
        };
        if let Some(dropped) = dropped {
            let copy = self.get(&dropped, target);
            if copy.is_some_and(|copy| copy.state == AdapterCopyState::Cached) {
                self.forget(&dropped, target);
            }
        }
    }

    /// Requests for an adapter that started lately, as far as holders told.
    pub fn uses(
        &self,
        adapter: &str,
    ) -> u32 {
        let copies = self.copies.get(adapter);
        copies.map_or(0, |copies| copies.values().map(|copy| copy.uses).sum())
    }

    /// An engine that was just listed says that it holds these models.
    pub fn assume_held(
        &mut self,
        target: &str,
        models: &[HeldModel],
    ) {
        for model in models {
            for adapter in &model.adapters {
                let name = format!("{}/{}", model.name, adapter.name);
                self.set(&name, target, adapter.version, AdapterCopyState::Ready, 0);
            }
        }
    }

    /// The holder is to be asked; false if it was asked a moment ago.
    pub fn ask(
        &mut self,
        adapter: &str,
        target: &str,
        now: Instant,
    ) -> bool {
        let copy = self
            .entry(adapter)
            .entry(target.to_string())
            .or_insert(AdapterCopy {
                version: 0,
                state: AdapterCopyState::Requested,
                older: None,
                uses: 0,
                asked: None,
                asks: 0,
            });
        let recent = |asked: Instant| now.saturating_duration_since(asked) < ASK_AGAIN;
        if copy.asked.is_some_and(recent) {
            return false;
        }
        if copy.asks >= MAX_ASKS {
            let until = now + SILENT_PAUSE;
            copy.state = AdapterCopyState::Full { until };
            copy.asks = 0;
            copy.asked = None;
            return false;
        }
        if !matches!(copy.state, AdapterCopyState::Loading { .. }) {
            copy.older = copy.held();
            copy.state = AdapterCopyState::Requested;
        }
        copy.asked = Some(now);
        copy.asks += 1;
        true
    }

    pub fn forget(
        &mut self,
        adapter: &str,
        target: &str,
    ) {
        if let Some(copies) = self.copies.get_mut(adapter) {
            copies.remove(target);
            if copies.is_empty() {
                self.copies.remove(adapter);
            }
        }
    }

    /// An engine is gone, or has started anew.
    pub fn forget_target(
        &mut self,
        target: &str,
    ) {
        self.copies.retain(|_, copies| {
            copies.remove(target);
            !copies.is_empty()
        });
        self.remembered.remove(target);
    }

    fn entry(
        &mut self,
        adapter: &str,
    ) -> &mut HashMap<String, AdapterCopy> {
        if !self.copies.contains_key(adapter) {
            self.copies.insert(adapter.to_string(), HashMap::new());
        }
        self.copies.get_mut(adapter).expect("it was just put there")
    }
}
