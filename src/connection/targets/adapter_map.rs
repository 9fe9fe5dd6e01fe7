use {
    crate::{clock::Instant, formats::HeldModel, request::direct::AdapterCopyState},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Time after which an unanswered request to a holder is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Unanswered requests after which the holder counts as unresponsive.
const MAX_ATTEMPTS: u32 = 4;

/// Time for which the engine of an unresponsive holder is skipped.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(1500);

/// An adapter's copy at one engine, as last reported by the engine's holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdapterCopy {
    pub version: u64,
    pub state: AdapterCopyState,
    /// The older version that the engine still holds because it has no free slot for a newer one while streams
    /// use the older.
    pub older_version: Option<u64>,
    /// Requests for it that recently started there, through all hosts, as last reported.
    pub uses: u32,
    requested_at: Option<Instant>,
    attempts: u32,
}

impl AdapterCopy {
    /// Returns the version that is loaded now, if any.
    pub fn held(&self) -> Option<u64> {
        match self.state {
            AdapterCopyState::Ready => Some(self.version),
            _ => self.older_version,
        }
    }
}

/// Placement of adapters on engines, as reported to this host.
#[derive(Debug, Default)]
pub struct AdapterMap {
    /// By `MODEL/ADAPTER`, then by the engine's id.
    copies: HashMap<String, HashMap<String, AdapterCopy>>,
    /// Adapters that each engine recently unloaded, the latest last.
    remembered: HashMap<String, VecDeque<String>>,
}

impl AdapterMap {
    /// Returns the copy of an adapter at an engine, if anything is known of it.
    pub fn get(
        &self,
        adapter: &str,
        target: &str,
    ) -> Option<&AdapterCopy> {
        self.copies.get(adapter)?.get(target)
    }

    /// Returns the number of engines whose state for the adapter is known.
    pub fn known_engines(
        &self,
        adapter: &str,
    ) -> usize {
        self.copies.get(adapter).map_or(0, HashMap::len)
    }

    /// Returns when the first engine that is full for an adapter may be asked again, if there is one.
    pub fn earliest_room(
        &self,
        adapter: &str,
        now: Instant,
    ) -> Option<Instant> {
        let copies = self.copies.get(adapter)?.values();
        let full_until = copies.filter_map(|copy| match copy.state {
            AdapterCopyState::Full { until } if until > now => Some(until),
            _ => None,
        });
        full_until.min()
    }

    /// Records an adapter's state at an engine, as reported by the engine's holder.
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
            older_version: held.filter(|held| is_full && *held < version),
            uses,
            requested_at: None,
            attempts: 0,
        };
        self.entry(adapter).insert(target.to_string(), copy);
    }

    /// Records that an engine has unloaded an adapter; the engine remembers up to `remembered` unloaded adapters.
    pub fn set_unloaded(
        &mut self,
        adapter: &str,
        target: &str,
        remembered: usize,
    ) {
        let copies = self.copies.get_mut(adapter);
        let Some(copy) = copies.and_then(|copies| copies.get_mut(target)) else {
            return;
        };
        copy.older_version = None;
        if !matches!(
            copy.state,
            AdapterCopyState::Ready | AdapterCopyState::Loading { .. }
        ) {
            return;
        }
        copy.state = AdapterCopyState::Cached;
        let order = self.remembered.entry(target.to_string()).or_default();
        order.retain(|other| other != adapter);
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

    /// Returns the requests for an adapter that recently started, summed over engines.
    pub fn uses(
        &self,
        adapter: &str,
    ) -> u32 {
        let copies = self.copies.get(adapter);
        copies.map_or(0, |copies| copies.values().map(|copy| copy.uses).sum())
    }

    /// Records the models that a newly listed engine reports as loaded.
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

    /// Records a request to the holder for an adapter; returns false if the request must not be sent now, because
    /// one is outstanding or the holder is unresponsive.
    pub fn try_request(
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
                older_version: None,
                uses: 0,
                requested_at: None,
                attempts: 0,
            });
        let is_recent =
            |requested_at: Instant| now.saturating_duration_since(requested_at) < RETRY_INTERVAL;
        if copy.requested_at.is_some_and(is_recent) {
            return false;
        }
        if copy.attempts >= MAX_ATTEMPTS {
            let until = now + UNRESPONSIVE_BACKOFF;
            copy.state = AdapterCopyState::Full { until };
            copy.attempts = 0;
            copy.requested_at = None;
            return false;
        }
        if !matches!(copy.state, AdapterCopyState::Loading { .. }) {
            copy.older_version = copy.held();
            copy.state = AdapterCopyState::Requested;
        }
        copy.requested_at = Some(now);
        copy.attempts += 1;
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

    /// Drops all state of an engine that is gone or has restarted.
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
        self.copies.get_mut(adapter).expect("inserted above")
    }
}
