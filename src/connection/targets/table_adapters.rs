//! Adapter placement: preferred engines, and load requests to the holders of engines.

use {
    super::{
        AdapterRequest, ControlRequest, ServiceTarget, TargetTable, target_table::AdapterWaiters,
    },
    crate::{
        clock::Instant,
        connection::datagram::{Placement, PlacementState, Want},
        request::{
            direct::AdapterCopyState, notices::Availability, origins::RequiredSoftware,
            pace::PlacementRank,
        },
    },
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::sync::Notify,
    xxhash_rust::xxh3::xxh3_64,
};

/// Unloaded adapters that an engine is assumed to remember, per adapter slot.
const REMEMBERED_PER_SLOT: usize = 4;

/// Time for which an engine without a free adapter slot is not asked again.
const FULL_BACKOFF: Duration = Duration::from_millis(400);

/// Engines of a service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceEngines<'a> {
    pub service: &'a str,
    /// Version that they run; `None` for all engines.
    pub software: RequiredSoftware,
}

impl TargetTable {
    /// Returns the engines that hold an adapter or should load it, in rendezvous-hash order, which is the same on
    /// every host.
    ///
    /// At most `count` of them don't hold it. Engines that are limited or unavailable or have no base model, and on a
    /// small site those without a holder, are skipped unless there are no others.
    pub fn placement_order(
        &self,
        engines: ServiceEngines,
        adapter: &str,
        count: usize,
        now: Instant,
    ) -> Vec<Arc<str>> {
        let ServiceEngines { service, software } = engines;
        let seed = xxh3_64(adapter.as_bytes());
        let mut ranked: Vec<(PlacementRank, &ServiceTarget)> = self
            .targets_of(service)
            .iter()
            .filter(|target| self.runs_software(&target.id, software))
            .map(|target| {
                let relative_speed = self.relative_speed(service, &target.id);
                let rank = PlacementRank::of(target.hash, seed, relative_speed);
                (rank, target)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| a.0.compare(&b.0));
        let can_load = |target: &ServiceTarget| {
            let view = &self.links[&target.id].view;
            // A large site broadcasts no adapter states, so that engines without a holder are candidates too.
            let has_loader = view.holder.is_some() || self.is_large_site();
            let is_restricted = self.availability(&target.id, now) != Availability::Open;
            has_loader && !is_restricted && !view.record.is_empty
        };
        let any_can_load = ranked.iter().any(|(_, target)| can_load(target));
        let mut remaining = count;
        let mut order = Vec::new();
        for (_, target) in ranked {
            let is_preferred = remaining > 0 && (can_load(target) || !any_can_load);
            remaining -= usize::from(is_preferred);
            if is_preferred || self.adapters.get(adapter, &target.id).is_some() {
                order.push(target.id.clone());
            }
        }
        order
    }

    /// Handles a holder's report of an adapter's state at its engine.
    pub fn on_placement(
        &mut self,
        placement: &Placement,
        now: Instant,
    ) {
        self.record_load_time(placement, now);
        let state = match placement.state() {
            PlacementState::Ready => AdapterCopyState::Ready,
            PlacementState::Coming => AdapterCopyState::Loading {
                due: now + Duration::from_millis(u64::from(placement.due_ms)),
            },
            PlacementState::Remembered => AdapterCopyState::Cached,
            PlacementState::Absent => return self.on_adapter_absent(placement),
            PlacementState::Full | PlacementState::NotHolder => AdapterCopyState::Full {
                until: now + FULL_BACKOFF,
            },
        };
        self.adapters.set(
            &placement.adapter,
            &placement.target,
            placement.version,
            state,
            placement.uses,
        );
        if let Some(waiters) = self.adapter_waiters.get(&placement.adapter) {
            waiters.updates.notify_waiters();
        }
    }

    /// Records the load time that a holder estimated for an adapter that is not loaded.
    fn record_load_time(
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

    /// Handles a holder's report that its engine does not hold an adapter.
    fn on_adapter_absent(
        &mut self,
        placement: &Placement,
    ) {
        let service = self.links.get(placement.target.as_str());
        let service = service.and_then(|link| self.view.routing.service(&link.view.record.service));
        let slots = service
            .and_then(|service| service.engine.as_ref())
            .map_or(0, |engine| engine.adapter_slots);
        self.adapters.set_unloaded(
            &placement.adapter,
            &placement.target,
            slots * REMEMBERED_PER_SLOT,
        );
        if let Some(waiters) = self.adapter_waiters.get(&placement.adapter) {
            waiters.updates.notify_waiters();
        }
    }

    /// Requests an adapter from the holder of an engine; returns false if no request was sent, because there is no
    /// holder or a request is outstanding.
    pub fn request_adapter(
        &mut self,
        request: &AdapterRequest,
        now: Instant,
    ) -> bool {
        let AdapterRequest {
            adapter, target, ..
        } = *request;
        let holder = self.links.get(target).and_then(|link| link.view.holder);
        let Some(holder) = holder else {
            return false;
        };
        if !self.adapters.try_request(adapter, target, now) {
            return false;
        }
        let (waiting, priority) = self
            .adapter_waiters
            .get(adapter)
            .map_or((0, 0), |waiters| (waiters.count, waiters.priority));
        let request = Want {
            target: target.to_string(),
            adapter: adapter.to_string(),
            version: request.version,
            waiting,
            priority: u32::from(priority),
            spare: request.spare,
            patience_ms: u32::try_from(request.max_load_time.as_millis()).unwrap_or(u32::MAX),
        };
        let _ = self
            .control
            .send(ControlRequest::RequestAdapter { holder, request });
        true
    }

    /// Handles an engine's answer that it does not hold an adapter.
    pub fn on_adapter_missing(
        &mut self,
        adapter: &str,
        target: &str,
    ) {
        self.adapters.forget(adapter, target);
        let _ = self.control.send(ControlRequest::ReportMissing {
            target: target.to_string(),
            adapter: adapter.to_string(),
        });
    }

    /// Registers a request that waits for an adapter; the returned `Notify` wakes it on each update.
    pub fn start_waiting(
        &mut self,
        adapter: &str,
        priority: u8,
    ) -> Rc<Notify> {
        let waiters = self
            .adapter_waiters
            .entry(adapter.to_string())
            .or_insert(AdapterWaiters {
                count: 0,
                priority,
                updates: Rc::default(),
            });
        waiters.count += 1;
        waiters.priority = waiters.priority.min(priority);
        waiters.updates.clone()
    }

    /// Unregisters a request that waited for an adapter.
    pub fn stop_waiting(
        &mut self,
        adapter: &str,
    ) {
        if let Some(waiters) = self.adapter_waiters.get_mut(adapter) {
            waiters.count -= 1;
            if waiters.count == 0 {
                self.adapter_waiters.remove(adapter);
            }
        }
    }
}
