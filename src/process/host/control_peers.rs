//! Handles messages between hosts and the control requests of this host's own traffic.

use {
    super::{ControlAction, HostControl},
    crate::{
        clock::Instant,
        connection::{
            datagram::{
                Ack, HostRumor, LoanAsk, Message, PermitAsk, PermitReport, Ping, PingEcho,
                PingRequest, Vouch,
            },
            targets::ControlRequest,
        },
        note,
        process::hosts::{HostAction, HostEvent, HostState, PingExchange},
        timeline::Event,
    },
    rand::RngExt,
    std::{net::SocketAddr, time::Duration},
};

/// Times after the start at which the seeds are queried.
const SEED_QUERY_TIMES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(400),
    Duration::from_millis(1200),
];

/// Range of the random delay of the first read, so that hosts that start together spread their reads.
const FIRST_READ_JITTER: Duration = Duration::from_millis(40);

impl HostControl {
    /// Queries the seeds for the hosts that they know. Repeated a few times, as all hosts of a site may
    /// start at once.
    pub(super) fn query_seeds(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let passed = now.saturating_duration_since(self.started);
        if SEED_QUERY_TIMES
            .get(self.completed_seed_queries)
            .is_none_or(|at| passed < *at)
        {
            return Vec::new();
        }
        self.completed_seed_queries += 1;
        let me = self.hosts.me().peer;
        let seeds = self.settings.seed_peers().filter(|peer| *peer != me);
        // On a large site, pulls of the complete list by all hosts would saturate the seeds' links: rumors spread it
        // instead.
        let pulls_from = seeds.filter(|_| self.hosts.lists_holdings());
        let mut actions: Vec<ControlAction> = pulls_from
            .map(|from| ControlAction::PullHosts { from })
            .collect();
        actions.extend(self.ping_seeds(now));
        actions
    }

    /// Handles the hosts that a seed knows and pings those that are new here.
    pub(super) fn on_hosts_pulled(
        &mut self,
        from: SocketAddr,
        hosts: Option<Vec<HostRumor>>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let hosts = hosts.unwrap_or_default();
        if !hosts.iter().any(|host| host.ready) {
            self.seeds_without_ready_hosts.insert(from);
            self.schedule_first_read(now);
        }
        let mut actions = Vec::new();
        for rumor in &hosts {
            let requested = self.hosts.on_rumor(rumor, now);
            actions.extend(self.host_actions(requested, now));
        }
        actions
    }

    /// Schedules the first read of the store once no seed knows a ready host, which happens when all hosts
    /// start at once.
    fn schedule_first_read(
        &mut self,
        now: Instant,
    ) {
        let me = self.hosts.me().peer;
        let mut seeds = self.settings.seed_peers().filter(|peer| *peer != me);
        if seeds.all(|seed| self.seeds_without_ready_hosts.contains(&seed)) {
            let at = now + rand::rng().random_range(Duration::ZERO..FIRST_READ_JITTER);
            self.declared.schedule.on_no_replica(at);
            self.listed.schedule.on_no_replica(at);
        }
    }

    /// Returns rumors of all known hosts, including this one.
    pub(super) fn known_host_rumors(
        &self,
        now: Instant,
    ) -> Vec<HostRumor> {
        let mut rumors = self.hosts.all_rumors();
        rumors.push(self.local_rumor(now));
        rumors
    }

    fn ping_seeds(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let me = self.hosts.me().peer;
        let seeds: Vec<SocketAddr> = self
            .settings
            .seed_peers()
            .filter(|peer| *peer != me)
            .collect();
        seeds
            .into_iter()
            .map(|to| ControlAction::Send {
                to,
                message: Message::Ping(self.ping_message(false, now)),
            })
            .collect()
    }

    pub(super) fn tick_hosts(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let requested = self.hosts.on_tick(now);
        let mut actions = self.host_actions(requested, now);
        actions.extend(self.take_host_events(now));
        // Requests divide the extra repeat budget by this number.
        let known = self.hosts.known_count();
        if self.published_known_hosts != known {
            self.published_known_hosts = known;
            self.changed = true;
        }
        actions
    }

    pub(super) fn on_message(
        &mut self,
        from: SocketAddr,
        message: Message,
        arrived_after: Instant,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = match message {
            Message::Ping(ping) => self.on_ping(from, &ping, arrived_after, now),
            Message::Ack(ack) => {
                self.update_peer_clock(from, &ack, now);
                let mut actions = self.on_rumors(&ack.sender, &ack.rumors, now);
                actions.extend(self.on_freshness(&ack.sender, &ack.freshness, arrived_after, now));
                actions.extend(self.on_poison_digest(from, ack.freshness.poison, now));
                actions
            }
            Message::PingRequest(request) => self.on_ping_request(from, &request, now),
            Message::Vouch(attestation) => {
                self.hosts.on_indirect_answer(attestation.peer.into());
                Vec::new()
            }
            Message::Want(request) => self.on_adapter_request(from, &request, now),
            Message::Usage(usage) => {
                if let Some(allocator) = self.allocators.get_mut(&usage.target) {
                    allocator.on_usage(from, &usage, now);
                }
                Vec::new()
            }
            Message::Placement(placement) => vec![ControlAction::DeliverPlacement(placement)],
            Message::EngineLoad(load) => vec![ControlAction::DeliverLoad(load)],
            Message::EngineQuery(query) => self.on_query(from, &query, now).into_iter().collect(),
            Message::EngineStanding(status) => vec![ControlAction::DeliverEngineStatus(status)],
            Message::LoanAsk(ask) => vec![ControlAction::LendQuota { to: from, ask }],
            Message::Loan(loan) => vec![ControlAction::DeliverLoan(loan)],
            Message::PoisonNews(update) => self.on_poison_update(&update, now),
            Message::ChargeAsk(request) => vec![self.on_charge_request(from, &request, now)],
            Message::PlaceWanted(request) => vec![self.on_slot_request(from, &request, now)],
            Message::PlaceGiven(given) => vec![ControlAction::DeliverSlotResponse(given)],
            Message::TargetNews(update) => self.on_target_notices(&update, now),
            Message::PermitAsk(request) => self.on_permit_request(from, &request, now),
            Message::PermitAnswer(answer) => vec![ControlAction::DeliverPermitAnswer(answer)],
            Message::OriginRecords(records) => {
                self.on_origin_records(&records, now);
                Vec::new()
            }
            Message::OriginAsk(ask) => vec![self.on_origin_ask(from, &ask, now)],
            Message::OriginAnswer(answer) => vec![ControlAction::DeliverOrigin(answer)],
            Message::PermitReport(report) => {
                self.on_permit_report(&report, now);
                Vec::new()
            }
            Message::Holdings(holdings) => self.on_holdings(from, &holdings).into_iter().collect(),
            Message::HoldingsKnown(known) => {
                self.on_holdings_known(from, known, now);
                Vec::new()
            }
            Message::PlaceEnded(release) => {
                self.on_slot_release(&release);
                Vec::new()
            }
            Message::ChargeAnswer(answer) => vec![ControlAction::DeliverChargeAnswer(answer)],
            Message::ChargeRefund(refund) => {
                self.on_charge_refund(&refund, now);
                Vec::new()
            }
        };
        actions.extend(self.take_host_events(now));
        actions
    }

    /// Handles a control request of this host's own traffic.
    pub(super) fn on_request(
        &mut self,
        request: ControlRequest,
        now: Instant,
    ) -> Vec<ControlAction> {
        let me = self.hosts.me().peer;
        match request {
            ControlRequest::RequestAdapter { holder, request } if holder == me => {
                self.on_adapter_request(me, &request, now)
            }
            ControlRequest::RequestAdapter { holder, request } => vec![ControlAction::Send {
                to: holder,
                message: Message::Want(request),
            }],
            ControlRequest::ReportUsage { holder, usage } if holder == me => {
                if let Some(allocator) = self.allocators.get_mut(&usage.target) {
                    allocator.on_usage(me, &usage, now);
                }
                Vec::new()
            }
            ControlRequest::ReportUsage { holder, usage } => vec![ControlAction::Send {
                to: holder,
                message: Message::Usage(usage),
            }],
            ControlRequest::QueryEngine { holder, query } if holder == me => {
                self.on_query(me, &query, now).into_iter().collect()
            }
            ControlRequest::QueryEngine { holder, query } => vec![ControlAction::Send {
                to: holder,
                message: Message::EngineQuery(query),
            }],
            ControlRequest::ReportMissing { target, adapter } => {
                if let Some(allocator) = self.allocators.get_mut(&target) {
                    allocator.on_missing_adapter(&adapter, now);
                }
                Vec::new()
            }
            ControlRequest::ReportPoison(report) => self.on_poison_report(report, now),
            ControlRequest::RequestCharge { to, request } if to == me => {
                vec![self.on_charge_request(me, &request, now)]
            }
            ControlRequest::RequestCharge { to, request } => vec![ControlAction::Send {
                to,
                message: Message::ChargeAsk(request),
            }],
            ControlRequest::RequestSlot { to, request } if to == me => {
                vec![self.on_slot_request(me, &request, now)]
            }
            ControlRequest::RequestSlot { to, request } => vec![ControlAction::Send {
                to,
                message: Message::PlaceWanted(request),
            }],
            ControlRequest::PublishNotices { target, notices } => {
                self.on_response_notices(&target, &notices, now)
            }
            ControlRequest::RequestPermit(request) => self.request_permit(request, now),
            ControlRequest::ReportPermit(report) => self.report_permit(report, now),
            ControlRequest::RecordOrigin(origin) => self.record_origin(origin, now),
            ControlRequest::SearchOrigin(ask) => self.search_origin(ask, now),
            ControlRequest::ReleaseSlot { to, release } if to == me => {
                self.on_slot_release(&release);
                Vec::new()
            }
            ControlRequest::ReleaseSlot { to, release } => vec![ControlAction::Send {
                to,
                message: Message::PlaceEnded(release),
            }],
            ControlRequest::RefundCharge { to, refund } if to == me => {
                self.on_charge_refund(&refund, now);
                Vec::new()
            }
            ControlRequest::RefundCharge { to, refund } => vec![ControlAction::Send {
                to,
                message: Message::ChargeRefund(refund),
            }],
            ControlRequest::RequestLoan(request) => {
                self.request_loan(request).into_iter().collect()
            }
            ControlRequest::GrantLoan { to, loan } => vec![ControlAction::Send {
                to,
                message: Message::Loan(loan),
            }],
        }
    }

    /// Asks the next host to lend repeat budget; each round visits all hosts in a new order.
    fn request_loan(
        &mut self,
        request: LoanAsk,
    ) -> Option<ControlAction> {
        if self.lenders.is_empty() {
            self.lenders = self.hosts.pick_reachable(usize::MAX);
        }
        let to = self.lenders.pop()?;
        let message = Message::LoanAsk(request);
        Some(ControlAction::Send { to, message })
    }

    /// Requests a permit for one request from the host that allocates the target's permits.
    fn request_permit(
        &mut self,
        request: PermitAsk,
        now: Instant,
    ) -> Vec<ControlAction> {
        let me = self.hosts.me().peer;
        match self.permit_host(&request.news.target) {
            Some(to) if to != me => vec![ControlAction::Send {
                to,
                message: Message::PermitAsk(request),
            }],
            _ => self.on_permit_request(me, &request, now),
        }
    }

    /// Tells the host that allocates a target's permits how far a request has got.
    fn report_permit(
        &mut self,
        report: PermitReport,
        now: Instant,
    ) -> Vec<ControlAction> {
        let me = self.hosts.me().peer;
        match self.permit_host(&report.target) {
            Some(to) if to != me => vec![ControlAction::Send {
                to,
                message: Message::PermitReport(report),
            }],
            _ => {
                self.on_permit_report(&report, now);
                Vec::new()
            }
        }
    }

    /// Sends a message to a host, or delivers it to this host's own requests.
    pub(super) fn send(
        &self,
        to: SocketAddr,
        message: Message,
    ) -> ControlAction {
        if to != self.hosts.me().peer {
            return ControlAction::Send { to, message };
        }
        match message {
            Message::Placement(placement) => ControlAction::DeliverPlacement(placement),
            Message::EngineLoad(load) => ControlAction::DeliverLoad(load),
            Message::EngineStanding(status) => ControlAction::DeliverEngineStatus(status),
            Message::ChargeAnswer(answer) => ControlAction::DeliverChargeAnswer(answer),
            Message::PlaceGiven(given) => ControlAction::DeliverSlotResponse(given),
            Message::PermitAnswer(answer) => ControlAction::DeliverPermitAnswer(answer),
            message => ControlAction::Send { to, message },
        }
    }

    fn on_ping(
        &mut self,
        from: SocketAddr,
        ping: &Ping,
        arrived_after: Instant,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut actions = self.on_rumors(&ping.sender, &ping.rumors, now);
        actions.extend(self.on_freshness(&ping.sender, &ping.freshness, arrived_after, now));
        actions.extend(self.on_poison_digest(from, ping.freshness.poison, now));
        if !ping.one_way {
            let ack = Ack {
                sender: self.local_rumor(now),
                freshness: self.freshness(now),
                rumors: self.hosts.take_rumors(),
                echo: Some(PingEcho {
                    process: ping.sender.process,
                    told_us: ping.freshness.told_us,
                }),
            };
            actions.push(ControlAction::Send {
                to: from,
                message: Message::Ack(ack),
            });
        }
        actions
    }

    /// Updates the clock estimate of a peer from its answer, if it answers a ping of this process.
    fn update_peer_clock(
        &mut self,
        from: SocketAddr,
        ack: &Ack,
        now: Instant,
    ) {
        let process = self.hosts.me().process;
        let Some(echo) = ack.echo.filter(|echo| echo.process == process) else {
            return;
        };
        let exchange = PingExchange {
            peer: from,
            process: ack.sender.process,
            ping_sent_at: self.started + Duration::from_micros(echo.told_us),
            answer_sent_after: Duration::from_micros(ack.freshness.told_us),
        };
        self.clocks.on_exchange(&exchange, now);
    }

    fn on_rumors(
        &mut self,
        sender: &HostRumor,
        rumors: &[HostRumor],
        now: Instant,
    ) -> Vec<ControlAction> {
        let known = self.hosts.get(sender.peer.into()).cloned();
        self.hosts.on_heard(sender, now);
        let heard = self.hosts.get(sender.peer.into());
        let is_relevant = match (&known, heard) {
            (Some(old), Some(new)) => old.holds != new.holds || old.ready != new.ready,
            _ => true,
        };
        self.changed |= is_relevant;
        let mut actions: Vec<ControlAction> = self.request_holdings(sender).into_iter().collect();
        for rumor in rumors {
            let requested = self.hosts.on_rumor(rumor, now);
            actions.extend(self.host_actions(requested, now));
        }
        actions
    }

    fn on_ping_request(
        &mut self,
        from: SocketAddr,
        request: &PingRequest,
        now: Instant,
    ) -> Vec<ControlAction> {
        let peer: SocketAddr = request.peer.into();
        let was_heard_recently = self.hosts.get(peer).is_some_and(|host| {
            let recent = |at: Instant| now.saturating_duration_since(at).as_millis() < 300;
            host.state.is_up() && host.heard.is_some_and(recent)
        });
        if was_heard_recently {
            let attestation = Vouch { peer: request.peer };
            return vec![ControlAction::Send {
                to: from,
                message: Message::Vouch(attestation),
            }];
        }
        vec![ControlAction::Send {
            to: peer,
            message: Message::Ping(self.ping_message(false, now)),
        }]
    }

    pub(super) fn host_actions(
        &mut self,
        requested: Vec<HostAction>,
        now: Instant,
    ) -> Vec<ControlAction> {
        requested
            .into_iter()
            .map(|action| match action {
                HostAction::Ping { peer } => {
                    let mut ping = self.ping_message(false, now);
                    ping.rumors.extend(self.hosts.accusation_of(peer));
                    ControlAction::Send {
                        to: peer,
                        message: Message::Ping(ping),
                    }
                }
                HostAction::Notify { peer } => ControlAction::Send {
                    to: peer,
                    message: Message::Ping(self.notification(now)),
                },
                HostAction::PingRequest { via, peer } => ControlAction::Send {
                    to: via,
                    message: Message::PingRequest(PingRequest { peer: peer.into() }),
                },
            })
            .collect()
    }

    /// Handles state changes of hosts. A host that has become alive is notified at once of the engines held
    /// here; otherwise it would learn of them only with its next regular ping.
    fn take_host_events(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut newly_alive = Vec::new();
        for event in self.hosts.take_events() {
            self.changed = true;
            match event {
                HostEvent::StateChanged { peer, name, state } => {
                    note!(state_event(state), peer = name, address = peer);
                    let lists_holdings = self.hosts.lists_holdings();
                    let announces = lists_holdings && !self.published_holdings.is_empty();
                    if state == HostState::Alive && announces {
                        newly_alive.push(peer);
                    }
                    if state == HostState::Alive {
                        self.send_notices_in_force(peer, now);
                    }
                    if state == HostState::Dead {
                        for allocator in self.allocators.values_mut() {
                            allocator.on_host_gone(peer);
                        }
                    }
                }
                HostEvent::Restarted { peer } => self.send_notices_in_force(peer, now),
                HostEvent::Refuted { incarnation } => {
                    note!(Event::SelfRefuted, incarnation = incarnation);
                }
            }
        }
        self.notify_hosts(newly_alive, now)
    }
}

fn state_event(state: HostState) -> Event {
    match state {
        HostState::Alive => Event::PeerAlive,
        HostState::Leaving => Event::PeerLeaving,
        HostState::Suspect => Event::PeerSuspect,
        HostState::Dead => Event::PeerDead,
    }
}
