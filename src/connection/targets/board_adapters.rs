//! Where adapters are, where they settle, and what is asked of the holders of engines.

use {
    super::{AdapterAsk, ControlRequest, ServiceTarget, TargetBoard, target_board::Waiting},
    crate::{
        clock::Instant,
        connection::datagram::{Placement, PlacementState, Want},
        request::{direct::AdapterCopyState, notices::Openness},
    },
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::sync::Notify,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Adapters that an engine is thought to remember, as a multiple of its places.
const REMEMBERED_PER_SLOT: usize = 4;

/// An engine that can't take an adapter is not asked again for so long.
const FULL_PAUSE: Duration = Duration::from_millis(400);

impl TargetBoard {
    /// The engines that hold an adapter, or on which it settles, in the order in which it does; the
    /// order is the same on every host. At most `places` that do not hold it are among them; as long
    /// as there are others, engines in need and those without a base model are passed over, and on a small site those
    /// without a holder.
    pub fn settle_order(
        &self,
        service: &str,
        adapter: &str,
        places: usize,
        now: Instant,
    ) -> Vec<Arc<str>> {
        let seed = xxh3_64(adapter.as_bytes());
        let mut ranked: Vec<(u64, &ServiceTarget)> = self
            .targets_of(service)
            .iter()
            .map(|target| (xxh3_64_with_seed(&target.key.to_le_bytes(), seed), target))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        let may_load = |target: &ServiceTarget| {
            let view = &self.links[&target.id].view;
            // On a large site nobody knows what an engine without a holder holds.
            let loads = view.holder.is_some() || self.asks_before_sends();
            let in_need = self.openness(&target.id, now) != Openness::Open;
            loads && !in_need && !view.record.is_empty
        };
        let any_may = ranked.iter().any(|(_, target)| may_load(target));
        let mut open = places;
        let mut order = Vec::new();
        for (_, target) in ranked {
            let settles = open > 0 && (may_load(target) || !any_may);
            open -= usize::from(settles);
            if settles || self.adapters.get(adapter, &target.id).is_some() {
                order.push(target.id.clone());
            }
        }
        order
    }

    /// A holder told where an adapter stands.
    pub fn on_placement(
        &mut self,
        placement: &Placement,
        now: Instant,
    ) {
        self.note_load_time(placement, now);
        let state = match placement.state() {
            PlacementState::Ready => AdapterCopyState::Ready,
            PlacementState::Coming => AdapterCopyState::Loading {
                due: now + Duration::from_millis(u64::from(placement.due_ms)),
            },
            PlacementState::Remembered => AdapterCopyState::Cached,
            PlacementState::Absent => return self.on_gone(placement),
            PlacementState::Full | PlacementState::NotHolder => AdapterCopyState::Full {
                until: now + FULL_PAUSE,
            },
        };
        self.adapters.set(
            &placement.adapter,
            &placement.target,
            placement.version,
            state,
            placement.uses,
        );
        if let Some(waiting) = self.waiting.get(&placement.adapter) {
            waiting.news.notify_waiters();
        }
    }

    /// A holder told of an adapter that it would have to load, and how long that would take.
    fn note_load_time(
        &mut self,
        placement: &Placement,
        now: Instant,
    ) {
        let state = placement.state();
        let would_load = matches!(state, PlacementState::Absent | PlacementState::Full);
        if !would_load || placement.due_ms == 0 {
            return;
        }
        if let Some(link) = self.links.get_mut(placement.target.as_str()) {
            let time = Duration::from_millis(u64::from(placement.due_ms));
            link.on_load_time(time, now);
        }
    }

    /// A holder told that an adapter is not there.
    fn on_gone(
        &mut self,
        placement: &Placement,
    ) {
        let service = self.links.get(placement.target.as_str());
        let service = service.and_then(|link| self.view.routing.service(&link.view.record.service));
        let slots = service
            .and_then(|service| service.engine.as_ref())
            .map_or(0, |engine| engine.adapter_slots);
        self.adapters.set_gone(
            &placement.adapter,
            &placement.target,
            slots * REMEMBERED_PER_SLOT,
        );
        if let Some(waiting) = self.waiting.get(&placement.adapter) {
            waiting.news.notify_waiters();
        }
    }

    /// Asks the holder of an engine for an adapter, unless it was asked a moment ago; true if it is asked.
    pub fn ask(
        &mut self,
        ask: &AdapterAsk,
        now: Instant,
    ) -> bool {
        let AdapterAsk {
            adapter, target, ..
        } = *ask;
        let holder = self.links.get(target).and_then(|link| link.view.holder);
        let Some(holder) = holder else {
            return false;
        };
        if !self.adapters.ask(adapter, target, now) {
            return false;
        }
        let (waiting, priority) = self
            .waiting
            .get(adapter)
            .map_or((0, 0), |waiting| (waiting.count, waiting.priority));
        let want = Want {
            target: target.to_string(),
            adapter: adapter.to_string(),
            version: ask.version,
            waiting,
            priority: u32::from(priority),
            spare: ask.spare,
            patience_ms: u32::try_from(ask.patience.as_millis()).unwrap_or(u32::MAX),
        };
        let _ = self.control.send(ControlRequest::Want { holder, want });
        true
    }

    /// An engine said that it does not hold an adapter.
    pub fn on_missing(
        &mut self,
        adapter: &str,
        target: &str,
    ) {
        self.adapters.forget(adapter, target);
        let _ = self.control.send(ControlRequest::Missing {
            target: target.to_string(),
            adapter: adapter.to_string(),
        });
    }

    /// A request begins to wait for an adapter.
    pub fn start_waiting(
        &mut self,
        adapter: &str,
        priority: u8,
    ) -> Rc<Notify> {
        let waiting = self.waiting.entry(adapter.to_string()).or_insert(Waiting {
            count: 0,
            priority,
            news: Rc::default(),
        });
        waiting.count += 1;
        waiting.priority = waiting.priority.min(priority);
        waiting.news.clone()
    }

    /// A request waits no longer.
    pub fn stop_waiting(
        &mut self,
        adapter: &str,
    ) {
        if let Some(waiting) = self.waiting.get_mut(adapter) {
            waiting.count -= 1;
            if waiting.count == 0 {
                self.waiting.remove(adapter);
            }
        }
    }
}
