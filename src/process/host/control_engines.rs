//! The control thread's part for the engines held here: their desks, and the orders to them.

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

/// Hosts up to which all are told where adapters stand and how busy engines are.
const MAX_ANNOUNCED: usize = MAX_BROADCAST_HOSTS;

impl HostControl {
    /// Leases, takeovers, and the desks of the engines held here.
    pub(super) fn tick_engines(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = self.decide_holding(now);
        self.open_desks(now);
        self.open_ledgers(now);
        let engines = self.engine_keys().len() - self.slot_count();
        let mut base_loads = self.shared.base_loads.borrow_mut();
        base_loads.set_share(self.desks.len(), engines, now);
        drop(base_loads);
        actions.extend(self.tell_holds(now));
        actions.extend(self.tick_desks(now));
        actions
    }

    /// Lets each desk decide what has become due.
    pub(super) fn tick_desks(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = Vec::new();
        for target in self.desks_by_urgency() {
            actions.extend(self.at_desk(&target, now, |desk| desk.on_tick(now)));
        }
        actions
    }

    /// The engines held here, those for which the most urgent adapters wait first: all share what may
    /// be loaded at once.
    fn desks_by_urgency(&self) -> Vec<String> {
        let mut desks: Vec<(&String, Option<PendingLoadRank>)> = self
            .desks
            .iter()
            .map(|(target, desk)| (target, desk.first_pending()))
            .collect();
        desks.sort_by_key(|(_, first)| (first.is_none(), *first));
        desks
            .into_iter()
            .map(|(target, _)| target.clone())
            .collect()
    }

    /// Lets a desk decide, and carries its decisions on.
    pub(super) fn at_desk(
        &mut self,
        target: &str,
        now: Instant,
        decide: impl FnOnce(&mut EngineAllocator) -> Vec<AllocatorAction>,
    ) -> Vec<ControlAction> {
        let Some(desk) = self.desks.get_mut(target) else {
            return Vec::new();
        };
        let wanted = decide(desk);
        let mut actions = Vec::new();
        for action in wanted {
            actions.extend(self.desk_action(target, action, now));
        }
        actions
    }

    /// An order was answered, or not.
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
                note!(Event::OrderRefused, target = target, reply = reply.label());
            }
        }
        let mut actions = self.at_desk(target, now, |desk| desk.on_order_end(reply, now));
        if self.shared.limiter.borrow().has_room() {
            // What waits at another engine may be loaded now.
            actions.extend(self.tick_desks(now));
        }
        actions
    }

    /// When a desk has something to decide without being told anything.
    pub(super) fn next_desk_due(&self) -> Option<Instant> {
        self.desks
            .values()
            .filter_map(EngineAllocator::next_deadline)
            .min()
    }

    pub(super) fn on_want(
        &mut self,
        from: SocketAddr,
        want: &Want,
        now: Instant,
    ) -> Vec<ControlAction> {
        let may_order = self.holding.held_engine(&want.target, now).is_some();
        if may_order && self.desks.contains_key(&want.target) {
            return self.at_desk(&want.target, now, |desk| desk.on_want(from, want, now));
        }
        let placement = Placement {
            target: want.target.clone(),
            adapter: want.adapter.clone(),
            version: 0,
            state: PlacementState::NotHolder as i32,
            due_ms: 0,
            uses: 0,
        };
        vec![self.send(from, Message::Placement(placement))]
    }

    /// A host asks how an engine stands; only its holder answers.
    pub(super) fn on_query(
        &mut self,
        from: SocketAddr,
        query: &EngineQuery,
        now: Instant,
    ) -> Option<ControlAction> {
        self.holding.held_engine(&query.target, now)?;
        let desk = self.desks.get_mut(&query.target)?;
        let placement = desk.on_query(from, query, now);
        let standing = EngineStanding {
            load: load_for(&query.target, desk, from),
            placement,
        };
        Some(self.send(from, Message::EngineStanding(standing)))
    }

    /// The configuration may name other sizes.
    pub(super) fn set_engine_specs(
        &mut self,
        _now: Instant,
    ) {
        for (target, desk) in &mut self.desks {
            let service = self
                .targets
                .get(target)
                .map(|target| &target.record.service);
            let spec = service
                .and_then(|service| self.routing.service(service))
                .and_then(|service| service.engine.clone());
            if let Some(spec) = spec {
                desk.set_spec(spec);
            }
        }
    }

    /// Tells the hosts that use an engine how busy it is, if that has changed; on a large site they ask
    /// instead.
    pub(super) fn tell_loads(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        if self.hosts.up_count() > MAX_ANNOUNCED {
            self.told_loads.clear();
            return Vec::new();
        }
        let mut news = Vec::new();
        for (target, desk) in &self.desks {
            for host in desk.usage().hosts() {
                news.push((host, load_for(target, desk, host)));
            }
        }
        news.retain(|(host, load)| self.told_loads.should_publish(*host, load, now));
        self.told_loads.evict_expired(now);
        news.into_iter()
            .map(|(host, load)| self.send(host, Message::EngineLoad(load)))
            .collect()
    }

    pub(super) fn is_engine(
        &self,
        service: &str,
    ) -> bool {
        let service = self.routing.service(service);
        service.is_some_and(|service| service.engine.is_some())
    }

    fn desk_action(
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
            AllocatorAction::RequestReport => self.ask_report(target).into_iter().collect(),
            AllocatorAction::Order(order) => self.order(target, order, now).into_iter().collect(),
        }
    }

    /// Tells every host of a small site, and the interested ones of a large one.
    fn announce(
        &self,
        interested_hosts: &[SocketAddr],
        placement: &Placement,
    ) -> Vec<ControlAction> {
        let me = self.hosts.me().peer;
        let up = self.hosts.hosts().filter(|host| host.state.is_up());
        let mut receivers: Vec<SocketAddr> = up.map(|host| host.identity.peer).collect();
        receivers.push(me);
        if receivers.len() > MAX_ANNOUNCED {
            receivers = interested_hosts.to_vec();
        }
        receivers
            .into_iter()
            .map(|host| self.send(host, Message::Placement(placement.clone())))
            .collect()
    }

    fn ask_report(
        &self,
        target: &str,
    ) -> Option<ControlAction> {
        Some(ControlAction::AskReport {
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
        let held = self.holding.held_engine(target, now);
        let (Some(held), Some(address), true) = (held, address, self.is_usable(target)) else {
            if let Some(desk) = self.desks.get_mut(target) {
                desk.on_order_cancelled();
            }
            return None;
        };
        tell_order(target, &order, held.fence);
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

/// How busy an engine is, as one host is told.
fn load_for(
    target: &str,
    desk: &EngineAllocator,
    host: SocketAddr,
) -> EngineLoad {
    let others = desk.usage().excluding(host);
    EngineLoad {
        target: target.to_string(),
        in_flight: others.in_flight,
        tokens: others.tokens,
        unread_tokens: others.unread_tokens,
    }
}

/// An order that changes something gets a line; looks do not.
fn tell_order(
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
