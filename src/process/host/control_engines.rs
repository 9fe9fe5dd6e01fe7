//! Control-thread handling of the engines held by this host: their allocators and the orders sent to them.

use {
    super::{ControlAction, HostControl},
    crate::{
        clock::Instant,
        connection::{
            datagram::{
                EngineLoad, EngineQuery, EngineStanding, Message, Placement, PlacementState, Want,
            },
            targets::MAX_BROADCAST_HOSTS,
        },
        formats::{Order, OrderKind, OrderReply},
        metrics::{WaitLabels, metrics},
        note,
        process::engines::{
            AllocatorAction, EngineAllocator, OrderPurpose, PendingLoadRank, PlannedOrder,
        },
        timeline::Event,
    },
    std::net::SocketAddr,
};

/// Up to this number of hosts, placements and engine loads are sent to all of them.
const MAX_ANNOUNCE_HOSTS: usize = MAX_BROADCAST_HOSTS;

impl HostControl {
    /// Processes leases and takeovers, and runs the allocators of the engines held here.
    pub(super) fn tick_engines(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = self.decide_assignment(now);
        self.sync_allocators(now);
        self.open_ledgers(now);
        let engines = self.assignment_keys().len() - self.shard_count();
        let mut base_loads = self.shared.base_loads.borrow_mut();
        base_loads.set_share(self.allocators.len(), engines, now);
        drop(base_loads);
        actions.extend(self.publish_holdings(now));
        actions.extend(self.tick_allocators(now));
        actions
    }

    /// Runs each allocator's due decisions.
    pub(super) fn tick_allocators(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        for target in self.allocators_by_urgency() {
            actions.extend(self.with_allocator(&target, now, |allocator| allocator.on_tick(now)));
        }
        actions
    }

    /// Returns the engines held here, ordered by their most urgent pending load, since all share one limit of
    /// concurrent loads.
    fn allocators_by_urgency(&self) -> Vec<String> {
        let mut allocators: Vec<(&String, Option<PendingLoadRank>)> = self
            .allocators
            .iter()
            .map(|(target, allocator)| (target, allocator.first_pending()))
            .collect();
        allocators.sort_by_key(|(_, first)| (first.is_none(), *first));
        allocators
            .into_iter()
            .map(|(target, _)| target.clone())
            .collect()
    }

    /// Calls `decide` on the allocator of an engine and converts the resulting actions.
    pub(super) fn with_allocator(
        &mut self,
        target: &str,
        now: Instant,
        decide: impl FnOnce(&mut EngineAllocator) -> Vec<AllocatorAction>,
    ) -> Vec<ControlAction> {
        let Some(allocator) = self.allocators.get_mut(target) else {
            return Vec::new();
        };
        let allocator_actions = decide(allocator);
        let mut actions = Vec::new();
        for action in allocator_actions {
            actions.extend(self.execute_allocator_action(target, action, now));
        }
        actions
    }

    /// Handles the reply to an order; `None` if the engine did not reply.
    pub(super) fn on_order_ended(
        &mut self,
        target: &str,
        reply: Option<OrderReply>,
        now: Instant,
    ) -> Vec<ControlAction> {
        match reply {
            None => note!(Event::OrderUnanswered, target = target),
            Some(OrderReply::Accepted | OrderReply::Done) => {}
            Some(reply) => {
                note!(Event::OrderRefused, target = target, reply = reply.word());
            }
        }
        let mut actions =
            self.with_allocator(target, now, |allocator| allocator.on_order_end(reply, now));
        if self.shared.limiter.borrow().has_room() {
            // A load pending at another engine may start now.
            actions.extend(self.tick_allocators(now));
        }
        actions
    }

    /// Returns the earliest deadline of all allocators.
    pub(super) fn next_allocator_deadline(&self) -> Option<Instant> {
        self.allocators
            .values()
            .filter_map(EngineAllocator::next_deadline)
            .min()
    }

    pub(super) fn on_adapter_request(
        &mut self,
        from: SocketAddr,
        request: &Want,
        now: Instant,
    ) -> Vec<ControlAction> {
        let is_holder = self.assignment.held_engine(&request.target, now).is_some();
        if is_holder && self.allocators.contains_key(&request.target) {
            return self.with_allocator(&request.target, now, |allocator| {
                allocator.on_want(from, request, now)
            });
        }
        let placement = Placement {
            target: request.target.clone(),
            adapter: request.adapter.clone(),
            version: 0,
            state: PlacementState::NotHolder as i32,
            due_ms: 0,
            uses: 0,
        };
        vec![self.send(from, Message::Placement(placement))]
    }

    /// Answers a host's query for the state of an engine; `None` if this host does not hold the engine.
    pub(super) fn on_query(
        &mut self,
        from: SocketAddr,
        query: &EngineQuery,
        now: Instant,
    ) -> Option<ControlAction> {
        self.assignment.held_engine(&query.target, now)?;
        let allocator = self.allocators.get_mut(&query.target)?;
        let placement = allocator.on_query(from, query, now);
        let last_segment = query.segments.last();
        let answer = EngineStanding {
            load: load_excluding(&query.target, allocator, from, now),
            placement,
            cached_tokens: allocator.cached_tokens(&query.segments),
            chain: last_segment.map_or(0, |segment| segment.chain),
        };
        Some(self.send(from, Message::EngineStanding(answer)))
    }

    /// Applies the engine sizes of the current configuration.
    pub(super) fn set_engine_specs(
        &mut self,
        _now: Instant,
    ) {
        for (target, allocator) in &mut self.allocators {
            let service = self
                .targets
                .get(target)
                .map(|target| &target.record.service);
            let spec = service
                .and_then(|service| self.routing.service(service))
                .and_then(|service| service.engine.clone());
            if let Some(spec) = spec {
                allocator.set_spec(spec);
            }
        }
    }

    /// Sends changed engine loads to the hosts that use the engine; on a large site, hosts query them instead.
    pub(super) fn publish_loads(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        if self.hosts.reachable_count() > MAX_ANNOUNCE_HOSTS {
            self.published_loads.clear();
            return Vec::new();
        }
        let mut loads = Vec::new();
        for (target, allocator) in &self.allocators {
            for host in allocator.usage().hosts() {
                // Pace changes with each answer: published as a change of the load, it would multiply the messages of a
                // small site.
                let load = EngineLoad {
                    pace: None,
                    reading_ms: 0,
                    ..load_excluding(target, allocator, host, now)
                };
                loads.push((host, load));
            }
        }
        loads.retain(|(host, load)| self.published_loads.should_publish(*host, load, now));
        self.published_loads.evict_expired(now);
        loads
            .into_iter()
            .map(|(host, load)| self.send(host, Message::EngineLoad(load)))
            .collect()
    }

    pub(super) fn is_engine_service(
        &self,
        service: &str,
    ) -> bool {
        let service = self.routing.service(service);
        service.is_some_and(|service| service.engine.is_some())
    }

    fn execute_allocator_action(
        &mut self,
        target: &str,
        action: AllocatorAction,
        now: Instant,
    ) -> Vec<ControlAction> {
        match action {
            AllocatorAction::Reply { host, placement } => {
                vec![self.send(host, Message::Placement(placement))]
            }
            AllocatorAction::Announce {
                interested_hosts,
                placement,
            } => self.announce(&interested_hosts, &placement),
            AllocatorAction::LoadRejected { adapter, reason } => {
                let labels = WaitLabels {
                    cause: reason.label(),
                };
                metrics().wants_turned_away.get_or_create(&labels).inc();
                note!(
                    Event::AdapterNoRoom,
                    target = target,
                    adapter = adapter,
                    reason = reason.label()
                );
                Vec::new()
            }
            AllocatorAction::LoadCompleted { adapter, time } => {
                let took_ms = time.as_millis();
                metrics().load_time.observe(time.as_secs_f64());
                note!(
                    Event::LoadDone,
                    target = target,
                    adapter = adapter,
                    took_ms = took_ms
                );
                Vec::new()
            }
            AllocatorAction::RequestReport => self.request_report(target).into_iter().collect(),
            AllocatorAction::Order(order) => self.order(target, order, now).into_iter().collect(),
        }
    }

    /// Sends a placement to every host of a small site, or only to the interested hosts of a large one.
    fn announce(
        &self,
        interested_hosts: &[SocketAddr],
        placement: &Placement,
    ) -> Vec<ControlAction> {
        let me = self.hosts.me().peer;
        let up = self.hosts.hosts().filter(|host| host.state.is_up());
        let mut receivers: Vec<SocketAddr> = up.map(|host| host.identity.peer).collect();
        receivers.push(me);
        if receivers.len() > MAX_ANNOUNCE_HOSTS {
            receivers = interested_hosts.to_vec();
        }
        receivers
            .into_iter()
            .map(|host| self.send(host, Message::Placement(placement.clone())))
            .collect()
    }

    fn request_report(
        &self,
        target: &str,
    ) -> Option<ControlAction> {
        Some(ControlAction::RequestReport {
            target: target.to_string(),
            address: self.targets.get(target)?.record.address,
        })
    }

    fn order(
        &mut self,
        target: &str,
        order: PlannedOrder,
        now: Instant,
    ) -> Option<ControlAction> {
        let address = self.targets.get(target).map(|target| target.record.address);
        let held = self.assignment.held_engine(target, now);
        let (Some(held), Some(address), true) = (held, address, self.is_usable(target)) else {
            if let Some(allocator) = self.allocators.get_mut(target) {
                allocator.on_order_cancelled();
            }
            return None;
        };
        log_order(target, &order, held.fence);
        Some(ControlAction::Order {
            target: target.to_string(),
            address,
            term: held.term,
            order: Order {
                kind: order.kind,
                model: order.model,
                adapter: order.adapter,
                version: order.version,
                expected_sequence: Some(order.expected_sequence),
                holder: self.settings.name.clone(),
                fence: held.fence,
            },
        })
    }
}

/// Returns the load of an engine without the share of the receiving host.
fn load_excluding(
    target: &str,
    allocator: &EngineAllocator,
    host: SocketAddr,
    now: Instant,
) -> EngineLoad {
    let usage = allocator.usage();
    let others = usage.excluding(host);
    EngineLoad {
        target: target.to_string(),
        in_flight: others.in_flight,
        tokens: others.tokens,
        unread_tokens: others.unread_tokens,
        pace: usage.pace(),
        reading_ms: usage.reading_time(now).as_millis() as u32,
    }
}

/// Logs an order unless it is a probe.
fn log_order(
    target: &str,
    order: &PlannedOrder,
    fence: u64,
) {
    if order.purpose == OrderPurpose::Probe {
        return;
    }
    let event = match order.kind {
        OrderKind::Load => Event::LoadOrdered,
        OrderKind::Unload => Event::DropOrdered,
    };
    note!(
        event,
        target = target,
        model = order.model,
        adapter = order.adapter.as_deref().unwrap_or("-"),
        version = order.version.unwrap_or_default(),
        sequence = order.expected_sequence,
        fence = fence,
        reason = order.reason,
    );
}
