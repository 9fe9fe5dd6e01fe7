//! The control thread's part for messages between hosts.

use {
    super::{ControlAction, HostControl},
    crate::{
        clock::Instant,
        connection::{
            datagram::{
                Ack, HostRumor, LoanAsk, Message, PermitAsk, Ping, PingEcho, PingRequest, Vouch,
            },
            targets::ControlRequest,
        },
        note,
        process::hosts::{HostAction, HostEvent, HostState, KnownHost, PingExchange},
        timeline::Event,
    },
    rand::RngExt,
    std::{net::SocketAddr, time::Duration},
};

/// Times after the start at which the seeds are asked.
const JOINS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(400),
    Duration::from_millis(1200),
];

/// Hosts that start at once read the store for the first time within this time.
const FIRST_READ_SPREAD: Duration = Duration::from_millis(40);

impl HostControl {
    /// Asks the seeds for the hosts that they know, a few times after the start: all hosts of a site
    /// may start at once.
    pub(super) fn join(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let passed = now.saturating_duration_since(self.started);
        if JOINS.get(self.joins).is_none_or(|at| passed < *at) {
            return Vec::new();
        }
        self.joins += 1;
        let me = self.hosts.me().peer;
        let seeds = self.settings.seed_peers().filter(|peer| *peer != me);
        let mut actions: Vec<ControlAction> = seeds
            .map(|from| ControlAction::PullHosts { from })
            .collect();
        actions.extend(self.ping_seeds(now));
        actions
    }

    /// A seed told the hosts that it knows: each is pinged that was not known here.
    pub(super) fn on_hosts_pulled(
        &mut self,
        from: SocketAddr,
        hosts: Option<Vec<HostRumor>>,
        now: Instant,
    ) -> Vec<ControlAction> {
        let hosts = hosts.unwrap_or_default();
        if !hosts.iter().any(|host| host.ready) {
            self.empty_seeds.insert(from);
            self.read_without_seeds(now);
        }
        let mut actions = Vec::new();
        for rumor in &hosts {
            let wanted = self.hosts.on_rumor(rumor, now);
            actions.extend(self.host_actions(wanted, now));
        }
        actions
    }

    /// Once no seed knows a host that has copies of the tables, the store is read without waiting for
    /// one: all hosts have started at once, and callers wait.
    fn read_without_seeds(
        &mut self,
        now: Instant,
    ) {
        let me = self.hosts.me().peer;
        let mut seeds = self.settings.seed_peers().filter(|peer| *peer != me);
        if seeds.all(|seed| self.empty_seeds.contains(&seed)) {
            let at = now + rand::rng().random_range(Duration::ZERO..FIRST_READ_SPREAD);
            self.declared.schedule.on_no_copy(at);
            self.listed.schedule.on_no_copy(at);
        }
    }

    /// The hosts that this one knows, itself included.
    pub(super) fn hosts_for_host(
        &self,
        now: Instant,
    ) -> Vec<HostRumor> {
        let known = self.hosts.hosts().map(KnownHost::to_rumor);
        known.chain([self.my_rumor(now)]).collect()
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
        let wanted = self.hosts.on_tick(now);
        let mut actions = self.host_actions(wanted, now);
        actions.extend(self.take_host_events(now));
        // Requests divide the extra allowance of repeats by it.
        let known = self.hosts.known_count();
        if self.told_known_hosts != known {
            self.told_known_hosts = known;
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
                self.on_exchange(from, &ack, now);
                let mut actions = self.on_host_news(&ack.sender, &ack.rumors, now);
                actions.extend(self.on_freshness(&ack.sender, &ack.freshness, arrived_after, now));
                actions.extend(self.on_poison_digest(from, ack.freshness.poison, now));
                actions
            }
            Message::PingRequest(request) => self.on_ping_request(from, &request, now),
            Message::Vouch(vouch) => {
                self.hosts.on_vouched(vouch.peer.into());
                Vec::new()
            }
            Message::Want(want) => self.on_want(from, &want, now),
            Message::Usage(usage) => {
                if let Some(desk) = self.desks.get_mut(&usage.target) {
                    desk.on_usage(from, &usage, now);
                }
                Vec::new()
            }
            Message::Placement(placement) => vec![ControlAction::Place(placement)],
            Message::EngineLoad(load) => vec![ControlAction::Load(load)],
            Message::EngineQuery(query) => self.on_query(from, &query, now).into_iter().collect(),
            Message::EngineStanding(standing) => vec![ControlAction::Stand(standing)],
            Message::LoanAsk(ask) => vec![ControlAction::Lend { to: from, ask }],
            Message::Loan(loan) => vec![ControlAction::Borrow(loan)],
            Message::PoisonNews(news) => self.on_poison_news(&news, now),
            Message::ChargeAsk(ask) => vec![self.on_charge_ask(from, &ask, now)],
            Message::PlaceWanted(wanted) => vec![self.on_place_wanted(from, &wanted, now)],
            Message::PlaceGiven(given) => vec![ControlAction::PlaceGiven(given)],
            Message::TargetNews(news) => self.on_target_news(&news, now),
            Message::PermitAsk(ask) => self.on_permit_ask(from, &ask, now),
            Message::PermitAnswer(answer) => vec![ControlAction::Permit(answer)],
            Message::PlaceEnded(ended) => {
                self.on_place_ended(&ended);
                Vec::new()
            }
            Message::ChargeAnswer(answer) => vec![ControlAction::Charged(answer)],
            Message::ChargeRefund(refund) => {
                self.on_charge_refund(&refund, now);
                Vec::new()
            }
        };
        actions.extend(self.take_host_events(now));
        actions
    }

    /// A need of this host's own requests.
    pub(super) fn on_request(
        &mut self,
        request: ControlRequest,
        now: Instant,
    ) -> Vec<ControlAction> {
        let me = self.hosts.me().peer;
        match request {
            ControlRequest::RequestAdapter { holder, want } if holder == me => {
                self.on_want(me, &want, now)
            }
            ControlRequest::RequestAdapter { holder, want } => vec![ControlAction::Send {
                to: holder,
                message: Message::Want(want),
            }],
            ControlRequest::ReportUsage { holder, usage } if holder == me => {
                if let Some(desk) = self.desks.get_mut(&usage.target) {
                    desk.on_usage(me, &usage, now);
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
                if let Some(desk) = self.desks.get_mut(&target) {
                    desk.on_missing_adapter(&adapter, now);
                }
                Vec::new()
            }
            ControlRequest::ReportPoison(report) => self.on_poison_report(report, now),
            ControlRequest::RequestCharge { to, ask } if to == me => {
                vec![self.on_charge_ask(me, &ask, now)]
            }
            ControlRequest::RequestCharge { to, ask } => vec![ControlAction::Send {
                to,
                message: Message::ChargeAsk(ask),
            }],
            ControlRequest::RequestSlot { to, wanted } if to == me => {
                vec![self.on_place_wanted(me, &wanted, now)]
            }
            ControlRequest::RequestSlot { to, wanted } => vec![ControlAction::Send {
                to,
                message: Message::PlaceWanted(wanted),
            }],
            ControlRequest::PublishNotices { target, notices } => {
                self.on_response_notices(&target, &notices, now)
            }
            ControlRequest::RequestPermit(ask) => self.want_permit(ask, now),
            ControlRequest::ReleaseSlot { to, ended } if to == me => {
                self.on_place_ended(&ended);
                Vec::new()
            }
            ControlRequest::ReleaseSlot { to, ended } => vec![ControlAction::Send {
                to,
                message: Message::PlaceEnded(ended),
            }],
            ControlRequest::RefundCharge { to, refund } if to == me => {
                self.on_charge_refund(&refund, now);
                Vec::new()
            }
            ControlRequest::RefundCharge { to, refund } => vec![ControlAction::Send {
                to,
                message: Message::ChargeRefund(refund),
            }],
            ControlRequest::RequestLoan(ask) => self.ask_loan(ask).into_iter().collect(),
            ControlRequest::GrantLoan { to, loan } => vec![ControlAction::Send {
                to,
                message: Message::Loan(loan),
            }],
        }
    }

    /// Asks the next host for a loan: each in turn, in an order that changes.
    fn ask_loan(
        &mut self,
        ask: LoanAsk,
    ) -> Option<ControlAction> {
        if self.lenders.is_empty() {
            self.lenders = self.hosts.pick_up(usize::MAX);
        }
        let to = self.lenders.pop()?;
        let message = Message::LoanAsk(ask);
        Some(ControlAction::Send { to, message })
    }

    /// Asks the host that counts what a target gets for leave to send one request there.
    fn want_permit(
        &mut self,
        ask: PermitAsk,
        now: Instant,
    ) -> Vec<ControlAction> {
        let me = self.hosts.me().peer;
        match self.permit_host(&ask.news.target) {
            Some(to) if to != me => vec![ControlAction::Send {
                to,
                message: Message::PermitAsk(ask),
            }],
            _ => self.on_permit_ask(me, &ask, now),
        }
    }

    /// Sends a message to a host, or hands it to this host's own requests.
    pub(super) fn send(
        &self,
        to: SocketAddr,
        message: Message,
    ) -> ControlAction {
        if to != self.hosts.me().peer {
            return ControlAction::Send { to, message };
        }
        match message {
            Message::Placement(placement) => ControlAction::Place(placement),
            Message::EngineLoad(load) => ControlAction::Load(load),
            Message::EngineStanding(standing) => ControlAction::Stand(standing),
            Message::ChargeAnswer(answer) => ControlAction::Charged(answer),
            Message::PlaceGiven(given) => ControlAction::PlaceGiven(given),
            Message::PermitAnswer(answer) => ControlAction::Permit(answer),
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
        let mut actions = self.on_host_news(&ping.sender, &ping.rumors, now);
        actions.extend(self.on_freshness(&ping.sender, &ping.freshness, arrived_after, now));
        actions.extend(self.on_poison_digest(from, ping.freshness.poison, now));
        if !ping.one_way {
            let ack = Ack {
                sender: self.my_rumor(now),
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

    /// An answer tells of the other side's clock, if it is to a ping of this process.
    fn on_exchange(
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
            pinged: self.started + Duration::from_micros(echo.told_us),
            answered: Duration::from_micros(ack.freshness.told_us),
        };
        self.clocks.on_exchange(&exchange, now);
    }

    fn on_host_news(
        &mut self,
        sender: &HostRumor,
        rumors: &[HostRumor],
        now: Instant,
    ) -> Vec<ControlAction> {
        let known = self.hosts.get(sender.peer.into()).cloned();
        self.hosts.on_heard(sender, now);
        let heard = self.hosts.get(sender.peer.into());
        let matters = match (&known, heard) {
            (Some(old), Some(new)) => old.holds != new.holds || old.ready != new.ready,
            _ => true,
        };
        self.changed |= matters;
        let mut actions = Vec::new();
        for rumor in rumors {
            let wanted = self.hosts.on_rumor(rumor, now);
            actions.extend(self.host_actions(wanted, now));
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
        let heard_lately = self.hosts.get(peer).is_some_and(|host| {
            let recent = |at: Instant| now.saturating_duration_since(at).as_millis() < 300;
            host.state.is_up() && host.heard.is_some_and(recent)
        });
        if heard_lately {
            let vouch = Vouch { peer: request.peer };
            return vec![ControlAction::Send {
                to: from,
                message: Message::Vouch(vouch),
            }];
        }
        vec![ControlAction::Send {
            to: peer,
            message: Message::Ping(self.ping_message(false, now)),
        }]
    }

    pub(super) fn host_actions(
        &mut self,
        wanted: Vec<HostAction>,
        now: Instant,
    ) -> Vec<ControlAction> {
        wanted
            .into_iter()
            .map(|action| match action {
                HostAction::Ping { peer } => ControlAction::Send {
                    to: peer,
                    message: Message::Ping(self.ping_message(false, now)),
                },
                HostAction::PingRequest { via, peer } => ControlAction::Send {
                    to: via,
                    message: Message::PingRequest(PingRequest { peer: peer.into() }),
                },
            })
            .collect()
    }

    /// Takes changes of hosts in. A host that answers from now on is told at once which engines are held here:
    /// who was not known when all were told would else hear of it when its turn to be pinged comes,
    /// after 30 s with 300 hosts.
    fn take_host_events(
        &mut self,
        now: Instant,
    ) -> Vec<ControlAction> {
        let mut untold = Vec::new();
        for event in self.hosts.take_events() {
            self.changed = true;
            match event {
                HostEvent::StateChanged { peer, name, state } => {
                    note!(event_of(state), peer = name, address = peer);
                    if state == HostState::Alive && !self.told_holds.is_empty() {
                        untold.push(peer);
                    }
                    if state == HostState::Dead {
                        for desk in self.desks.values_mut() {
                            desk.on_host_gone(peer);
                        }
                    }
                }
                HostEvent::Refuted { incarnation } => {
                    note!(Event::SelfRefuted, incarnation = incarnation);
                }
            }
        }
        self.tell(untold, now)
    }
}

fn event_of(state: HostState) -> Event {
    match state {
        HostState::Alive => Event::PeerAlive,
        HostState::Leaving => Event::PeerLeaving,
        HostState::Suspect => Event::PeerSuspect,
        HostState::Dead => Event::PeerDead,
    }
}
