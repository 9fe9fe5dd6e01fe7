use {
    super::{
        AdapterDemand, AdapterMap, BeliefAges, BeliefBounds, Closing, Confirmation, CrashWatch,
        FleetView, KeyStanding, LargestAges, NoticeWatch, OpenAsks, QuotaBook, ReadingSpeed,
        RepeatBudgets, RequestTokens, ServesUntil, Succession, TargetLink, TargetView,
        VersionHistory,
    },
    crate::{
        clock::Instant,
        connection::datagram::{
            AdapterUsage, ChargeAsk, ChargeRefund, EngineLoad, EngineQuery, EngineStanding, Loan,
            LoanAsk, PermitAnswer, PermitAsk, PlaceEnded, PlaceGiven, PlaceWanted, Placement,
            PlacementState, Usage, Want,
        },
        formats::TargetStart,
        metrics::{CopyLabels, metrics},
        request::{
            direct::{CopyState, Credential, Policy},
            notices::{Openness, TargetNotices},
            poison::PoisonReport,
            quotas::slot_for,
            repeats::RepeatBudget,
        },
        version::routing::RoutingTable,
    },
    std::{collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
    tokio::sync::Notify,
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// What is kept back of the bound for keys that are taken away: the way to the target (0.2 s), and what a copy may
/// be older than it seems. That is the time for which a message waits on its way before its sender has answered
/// a ping; 0.6 s were seen on full links.
const KEY_MARGIN: Duration = Duration::from_millis(1_000);

/// Adapters that an engine is thought to remember, as a multiple of its places.
const REMEMBERED_PER_SLOT: usize = 4;

/// An engine that can't take an adapter is not asked again for so long.
const FULL_PAUSE: Duration = Duration::from_millis(400);

/// Hosts up to which all are told where adapters stand and how busy engines are; more ask instead.
pub const MAX_TOLD_HOSTS: usize = 24;

/// An adapter's use that ended is still told so often before it is dropped from the reports.
const MAX_USES: usize = 512;

/// What does not change while the process runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BoardSettings {
    pub budget_window: Duration,
    pub budget_ratio: f64,
    pub budget_extra: f64,
    /// No process of this host ran before.
    pub first_start: bool,
    pub policy: Policy,
    /// How old what requests rest on may be.
    pub bounds: BeliefBounds,
}

/// What requests ask of the control thread.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlRequest {
    /// Ask the holder of an engine for an adapter.
    Want { holder: SocketAddr, want: Want },
    /// Tell the holder of an engine what is sent there.
    Usage { holder: SocketAddr, usage: Usage },
    /// Ask the holder of an engine how it stands.
    Query {
        holder: SocketAddr,
        query: EngineQuery,
    },
    /// An engine does not hold an adapter that its holder said it holds.
    Missing { target: String, adapter: String },
    /// Ask one host, whichever comes next, for a part of its allowance of repeats.
    AskLoan(LoanAsk),
    /// A request ended targets, or got a whole answer after all.
    Poison(PoisonReport),
    /// Ask the host that counts a customer's use.
    Charge { to: SocketAddr, ask: ChargeAsk },
    /// Ask the host that gives out the places of a plain service for one.
    WantPlace { to: SocketAddr, wanted: PlaceWanted },
    /// An answer of a target says something new of it.
    Heard {
        target: String,
        notices: TargetNotices,
    },
    /// Ask the host that counts what a target gets for leave to send one request there.
    WantPermit(PermitAsk),
    /// Tell it that a place is free again.
    EndPlace { to: SocketAddr, ended: PlaceEnded },
    /// Tell it that some of what it granted is not used.
    Refund {
        to: SocketAddr,
        refund: ChargeRefund,
    },
    /// Lend a host a part of this one's allowance.
    GiveLoan { to: SocketAddr, loan: Loan },
}

/// What is asked of the holder of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdapterAsk<'a> {
    /// `MODEL/ADAPTER`.
    pub adapter: &'a str,
    pub target: &'a str,
    /// Oldest version that serves.
    pub version: u64,
    /// There is a copy elsewhere, which only is busy.
    pub spare: bool,
    /// A load that takes longer is of no use to the request.
    pub patience: Duration,
}

/// All targets, as the requests of this host see them.
pub struct TargetBoard {
    settings: BoardSettings,
    pub view: Arc<FleetView>,
    pub links: HashMap<Arc<str>, TargetLink>,
    by_service: HashMap<String, Vec<ServiceTarget>>,
    pub adapters: AdapterMap,
    pub demand: AdapterDemand,
    speeds: HashMap<String, ReadingSpeed>,
    budgets: RepeatBudgets,
    /// Requests that wait for news of an adapter.
    waiting: HashMap<String, Waiting>,
    /// Wakes requests that have asked how engines stand.
    standing_news: Rc<Notify>,
    /// How well the tables behind the view are known to be right.
    confirmation: Confirmation,
    /// Wakes requests that are held back until these are known to be right.
    confirmation_news: Rc<Notify>,
    belief_ages: BeliefAges,
    /// Targets that end, and the requests that end them.
    pub crashes: CrashWatch,
    /// What targets say of themselves in their answers.
    pub notices: NoticeWatch,
    /// Customers' use, as it is asked for here.
    pub quotas: QuotaBook,
    /// Asks for places at targets of plain services.
    pub places: OpenAsks<PlaceGiven>,
    /// Asks for leave to send to targets that take only so many requests.
    pub permits: OpenAsks<PermitAnswer>,
    control: flume::Sender<ControlRequest>,
}

/// A target of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTarget {
    pub id: Arc<str>,
    /// Stands for its address where adapters settle: a target that starts anew keeps its place.
    key: u64,
}

struct Waiting {
    count: u32,
    priority: u8,
    news: Rc<Notify>,
}

impl TargetBoard {
    pub fn new(
        settings: BoardSettings,
        control: flume::Sender<ControlRequest>,
    ) -> Self {
        Self {
            settings,
            view: Arc::default(),
            links: HashMap::new(),
            by_service: HashMap::new(),
            adapters: AdapterMap::default(),
            demand: AdapterDemand::default(),
            speeds: HashMap::new(),
            budgets: RepeatBudgets::new(&settings, Instant::now()),
            waiting: HashMap::new(),
            standing_news: Rc::default(),
            confirmation: Confirmation::default(),
            confirmation_news: Rc::default(),
            belief_ages: BeliefAges::new(settings.bounds, Instant::now()),
            crashes: CrashWatch::default(),
            notices: NoticeWatch::new(control.clone()),
            quotas: QuotaBook::default(),
            places: OpenAsks::default(),
            permits: OpenAsks::default(),
            control,
        }
    }

    /// The mechanisms that are at work.
    pub fn policy(&self) -> Policy {
        self.settings.policy
    }

    pub fn routing(&self) -> &Arc<RoutingTable> {
        &self.view.routing
    }

    /// The tables behind the view are known to be right as of other times.
    pub fn set_confirmation(
        &mut self,
        confirmation: Confirmation,
    ) {
        self.confirmation = confirmation;
        self.confirmation_news.notify_waiters();
    }

    /// How well the tables behind the view are known to be right.
    pub fn confirmation(&self) -> &Confirmation {
        &self.confirmation
    }

    /// Wakes when more is known of the age of what requests rest on.
    pub fn confirmation_news(&self) -> Rc<Notify> {
        self.confirmation_news.clone()
    }

    /// True if the configuration is young enough to route requests by.
    pub fn allows_routing(
        &self,
        now: Instant,
    ) -> bool {
        let bound = self.settings.bounds.declared;
        self.confirmation.declared.allows_sends(bound, now)
    }

    /// True if the list of targets is young enough to send requests by.
    pub fn allows_sends(
        &self,
        now: Instant,
    ) -> bool {
        let bound = self.settings.bounds.targets;
        self.confirmation.targets.allows_sends(bound, now)
    }

    /// True if what is known of adapters' versions is young enough to send requests by.
    pub fn allows_versions(
        &self,
        now: Instant,
    ) -> bool {
        self.newest_serves_until().allows(Duration::ZERO, now)
    }

    /// True if the configuration is young enough to take a customer's key for one that stands.
    ///
    /// This holds whatever the host can reach: an outage of the store, which lets other beliefs go on, lifts nothing.
    pub fn allows_keys(
        &self,
        now: Instant,
    ) -> bool {
        let age = self.confirmation.declared.age(now);
        age.is_some_and(|age| age + KEY_MARGIN <= self.settings.bounds.revoke)
    }

    /// True if the configuration is young enough to say that a key stands nowhere: it may have been added since.
    pub fn allows_unknown_keys(
        &self,
        now: Instant,
    ) -> bool {
        let age = self.confirmation.declared.age(now);
        age.is_some_and(|age| age <= self.settings.bounds.declared)
    }

    /// How the key stands that a request was admitted by.
    pub fn key_standing(
        &self,
        credential: &Credential,
        now: Instant,
    ) -> KeyStanding {
        let customers = &self.view.routing.customers;
        match customers.of_key(&credential.key) {
            _ if !self.allows_keys(now) => KeyStanding::Unconfirmed,
            None => KeyStanding::Gone,
            Some(customer) if customer.name != credential.customer.name => KeyStanding::Moved,
            Some(_) => KeyStanding::Valid,
        }
    }

    /// Asks the host that counts a part of a customer's use; false if nobody is known to.
    pub fn ask_charge(
        &self,
        ask: ChargeAsk,
    ) -> bool {
        let Some(to) = self.slot_holder(ask.slot as usize) else {
            return false;
        };
        let _ = self.control.send(ControlRequest::Charge { to, ask });
        true
    }

    /// Asks for a place at a target of a plain service; false if nobody is known to give any out.
    pub fn ask_place(
        &self,
        wanted: PlaceWanted,
    ) -> bool {
        let Some(to) = self.place_giver(&wanted.service) else {
            return false;
        };
        let _ = self.control.send(ControlRequest::WantPlace { to, wanted });
        true
    }

    /// Tells the host that gives out places that one is free again.
    pub fn end_place(
        &self,
        ended: PlaceEnded,
    ) {
        if let Some(to) = self.place_giver(&ended.service) {
            let _ = self.control.send(ControlRequest::EndPlace { to, ended });
        }
    }

    fn place_giver(
        &self,
        service: &str,
    ) -> Option<SocketAddr> {
        self.slot_holder(slot_for(service, 0))
    }

    /// The host that holds a slot, if one does that answers.
    fn slot_holder(
        &self,
        slot: usize,
    ) -> Option<SocketAddr> {
        let holder = self.view.slot_holders.get(slot);
        holder.copied().flatten()
    }

    /// Tells the host that counts a part of a customer's use that some is not used after all.
    pub fn refund(
        &self,
        refund: ChargeRefund,
    ) {
        if let Some(to) = self.slot_holder(refund.slot as usize) {
            let _ = self.control.send(ControlRequest::Refund { to, refund });
        }
    }

    /// The newest version of an adapter, as far as is known.
    pub fn newest_version(
        &self,
        adapter: &str,
    ) -> u64 {
        let history = self.view.versions.get(adapter);
        history.map_or(1, VersionHistory::newest)
    }

    /// Until when requests may begin on a version of an adapter.
    pub fn serves_until(
        &self,
        adapter: &str,
        version: u64,
    ) -> ServesUntil {
        let bound = self.settings.bounds.version;
        let history = self.view.versions.get(adapter);
        match history.map_or(Succession::Newest, |history| history.succession(version)) {
            Succession::ReplacedAfter(after) => ServesUntil::Time(after + bound),
            Succession::ReplacedBefore => ServesUntil::Never,
            Succession::Newest => self.newest_serves_until(),
        }
    }

    /// A newer version may have been named right after this host last heard of any.
    fn newest_serves_until(&self) -> ServesUntil {
        let bound = self.settings.bounds.version;
        let declared = &self.confirmation.declared;
        match declared.right_at {
            Some(right_at) if !declared.store_failed => ServesUntil::Time(right_at + bound),
            _ => ServesUntil::Open,
        }
    }

    /// True if a target may get a request now, as far as its entry tells.
    pub fn is_usable(
        &self,
        target: &str,
        now: Instant,
    ) -> bool {
        let until = |link: &TargetLink| link.view.usable_until;
        let link = self.links.get(target);
        link.is_some_and(|link| until(link).is_none_or(|until| now < until))
    }

    /// Whether a target may get a request of this host now, by what it says of itself.
    pub fn openness(
        &self,
        target: &str,
        now: Instant,
    ) -> Openness {
        match self.notices.is_quiet() {
            true => Openness::Open,
            false => self.notices.openness(target, self.started(target), now),
        }
    }

    /// True if a target has said that this host must not send there now, whatever leave it has.
    pub fn forbids(
        &self,
        target: &str,
        now: Instant,
    ) -> bool {
        !self.notices.is_quiet() && self.notices.forbids(target, self.started(target), now)
    }

    /// When the first of these targets opens, if all of them are closed to this host now and one will open.
    pub fn first_opening<'a>(
        &self,
        targets: impl Iterator<Item = &'a Arc<str>>,
        now: Instant,
    ) -> Option<Instant> {
        let closing = |target: &Arc<str>| {
            let start = self.started(target);
            self.notices.closing(target, start, now)
        };
        let closings: Option<Vec<Closing>> = targets.map(closing).collect();
        let opening = |closing| match closing {
            Closing::Until(until) => Some(until),
            Closing::ForGood => None,
        };
        closings?.into_iter().filter_map(opening).min()
    }

    /// A target is left alone until then.
    pub fn close(
        &mut self,
        target: &Arc<str>,
        until: Instant,
    ) {
        let start = self.started(target);
        self.notices.close(target, start, until);
    }

    /// Asks the host that counts what a target gets for leave to send one request there.
    pub fn ask_permit(
        &self,
        id: u64,
        target: &str,
        now: Instant,
    ) {
        let start = self.started(target);
        if let Some(news) = self.notices.news_of(target, start, now) {
            let ask = PermitAsk { id, news };
            let _ = self.control.send(ControlRequest::WantPermit(ask));
        }
    }

    /// Which start of a target is known here.
    pub fn started(
        &self,
        target: &str,
    ) -> Option<TargetStart> {
        self.links.get(target)?.view.record.started
    }

    /// A request is routed by the configuration as it is known here.
    pub fn note_routed(
        &mut self,
        now: Instant,
    ) {
        if let Some(age) = self.confirmation.declared.age(now) {
            self.belief_ages.on_routed(age);
            observe_age("declared", age);
        }
    }

    /// A request is sent by the list of targets as it is known here.
    pub fn note_sent(
        &mut self,
        now: Instant,
    ) {
        if let Some(age) = self.confirmation.targets.age(now) {
            self.belief_ages.on_sent(age);
            observe_age("targets", age);
        }
    }

    /// The largest ages of what requests rested on, once a second if they come near their bounds.
    pub fn largest_ages(
        &mut self,
        now: Instant,
    ) -> Option<LargestAges> {
        self.belief_ages.end_period(now)
    }

    /// True if there are so many hosts that engines' holders are asked before each send.
    pub fn asks_before_sends(&self) -> bool {
        self.view.hosts > MAX_TOLD_HOSTS
    }

    /// Tells the control thread of a request that ends targets, or does not after all.
    pub fn report_poison(
        &self,
        report: PoisonReport,
    ) {
        let _ = self.control.send(ControlRequest::Poison(report));
    }

    /// Asks the holder of an engine how it stands; false if it has none.
    pub fn query(
        &self,
        query: EngineQuery,
    ) -> bool {
        let link = self.links.get(query.target.as_str());
        let Some(holder) = link.and_then(|link| link.view.holder) else {
            return false;
        };
        let _ = self.control.send(ControlRequest::Query { holder, query });
        true
    }

    /// A holder told how its engine stands.
    pub fn on_standing(
        &mut self,
        standing: &EngineStanding,
        now: Instant,
    ) {
        self.on_engine_load(&standing.load, now);
        if let Some(placement) = &standing.placement {
            self.on_placement(placement, now);
        }
        self.standing_news.notify_waiters();
    }

    /// Wakes when a holder has told how its engine stands.
    pub fn standing_news(&self) -> Rc<Notify> {
        self.standing_news.clone()
    }

    /// The targets of a service.
    pub fn targets_of(
        &self,
        service: &str,
    ) -> &[ServiceTarget] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The engines of a service that hold a base model, as far as is known.
    pub fn engines_of(
        &self,
        service: &str,
    ) -> Vec<Arc<str>> {
        let targets = self.targets_of(service).iter();
        targets
            .filter(|target| !self.links[&target.id].view.record.is_empty)
            .map(|target| target.id.clone())
            .collect()
    }

    /// Tokens that run at one of these engines, in the mean.
    pub fn mean_tokens<'a>(
        &self,
        targets: impl Iterator<Item = &'a Arc<str>>,
    ) -> f64 {
        let mut count = 0;
        let mut tokens = 0;
        for target in targets {
            count += 1;
            tokens += self.links[target].running_tokens();
        }
        tokens as f64 / f64::from(count.max(1))
    }

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

    /// Takes a new view over.
    pub fn set_view(
        &mut self,
        view: Arc<FleetView>,
    ) {
        let mut regroups = self.drop_links(&view);
        for (id, target) in &view.targets {
            regroups |= self.set_target(id, target);
        }
        self.set_confirmation(view.confirmation);
        self.budgets.set_hosts(view.known_hosts);
        self.view = view;
        if regroups {
            self.group_by_service();
        }
        for waiting in self.waiting.values() {
            waiting.news.notify_waiters();
        }
    }

    /// Drops the links of targets that are gone; true if there are any.
    fn drop_links(
        &mut self,
        view: &FleetView,
    ) -> bool {
        let gone: Vec<Arc<str>> = self
            .links
            .keys()
            .filter(|id| !view.targets.contains_key(&***id))
            .cloned()
            .collect();
        for id in &gone {
            self.links.remove(id);
            self.adapters.forget_target(id);
        }
        !gone.is_empty()
    }

    /// Takes one target of a view over; true if it is new or what it records of itself has changed.
    fn set_target(
        &mut self,
        id: &str,
        target: &Arc<TargetView>,
    ) -> bool {
        let Some(link) = self.links.get_mut(id) else {
            let id: Arc<str> = id.into();
            self.adapters.assume_held(&id, &target.record.models);
            self.links.insert(id, TargetLink::new(target.clone()));
            return true;
        };
        if Arc::ptr_eq(&link.view, target) {
            return false;
        }
        if !link.is_same_start(target) {
            // Copies of adapters, connections, loads and failures were those of an earlier start.
            *link = TargetLink::new_start(target.clone());
            self.adapters.forget_target(id);
            self.adapters.assume_held(id, &target.record.models);
            return true;
        }
        let regroups = !Arc::ptr_eq(&link.view.record, &target.record);
        link.set_view(target.clone());
        regroups
    }

    /// Puts the targets together by service. This is done only when a target has changed what it records of
    /// itself: a view comes with each change of a host or of a holder, six a second on a large site, and
    /// to group 3,000 targets anew each time took a small host 15% of what it used in all.
    fn group_by_service(&mut self) {
        self.by_service.clear();
        for (id, link) in &self.links {
            let record = &link.view.record;
            let address = record.address.to_string();
            let target = ServiceTarget {
                id: id.clone(),
                key: xxh3_64(address.as_bytes()),
            };
            match self.by_service.get_mut(&record.service) {
                Some(targets) => targets.push(target),
                None => {
                    self.by_service.insert(record.service.clone(), vec![target]);
                }
            }
        }
        for targets in self.by_service.values_mut() {
            targets.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        }
    }

    /// A holder told where an adapter stands.
    pub fn on_placement(
        &mut self,
        placement: &Placement,
        now: Instant,
    ) {
        self.note_load_time(placement, now);
        let state = match placement.state() {
            PlacementState::Ready => CopyState::Ready,
            PlacementState::Coming => CopyState::Coming {
                due: now + Duration::from_millis(u64::from(placement.due_ms)),
            },
            PlacementState::Remembered => CopyState::Remembered,
            PlacementState::Absent => return self.on_gone(placement),
            PlacementState::Full | PlacementState::NotHolder => CopyState::Full {
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

    /// A holder told how busy its engine is.
    pub fn on_engine_load(
        &mut self,
        load: &EngineLoad,
        now: Instant,
    ) {
        if let Some(link) = self.links.get_mut(load.target.as_str()) {
            link.others_in_flight = load.in_flight;
            link.others_tokens = u64::from(load.tokens);
            link.others_unread_tokens = u64::from(load.unread_tokens);
            link.others_told = Some(now);
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

    /// How fast the engines of a service read prompts.
    pub fn speed(
        &mut self,
        service: &str,
    ) -> &mut ReadingSpeed {
        if !self.speeds.contains_key(service) {
            self.speeds
                .insert(service.to_string(), ReadingSpeed::default());
        }
        self.speeds.get_mut(service).expect("it was just put there")
    }

    /// The budget of repeats of a service.
    pub fn budget(
        &mut self,
        service: &str,
    ) -> &mut RepeatBudget {
        self.budgets.of(service)
    }

    /// Asks other hosts for parts of their allowance of a service, if this host needs some.
    pub fn ask_for_loans(
        &mut self,
        service: &str,
        now: Instant,
    ) {
        for ask in self.budgets.loan_asks(service, now) {
            let _ = self.control.send(ControlRequest::AskLoan(ask));
        }
    }

    /// Does what is due about the budgets of repeats: asks for loans, and tells how they stand.
    pub fn look_at_budgets(
        &mut self,
        now: Instant,
    ) {
        for service in self.budgets.services() {
            self.ask_for_loans(&service, now);
        }
        self.budgets.tell(now);
    }

    /// A loan has come.
    pub fn on_loan(
        &mut self,
        loan: &Loan,
        now: Instant,
    ) {
        self.budgets.on_loan(loan, now);
    }

    /// Another host asks for a loan.
    pub fn on_loan_ask(
        &mut self,
        to: SocketAddr,
        ask: &LoanAsk,
        now: Instant,
    ) {
        // Hosts with another configuration may name services that this one does not know.
        if self.view.routing.service(&ask.service).is_none() {
            return;
        }
        if let Some(loan) = self.budgets.lend(ask, now) {
            let _ = self.control.send(ControlRequest::GiveLoan { to, loan });
        }
    }

    /// Tells holders what was sent to their engines since they were told last.
    pub fn report_usage(
        &mut self,
        now: Instant,
    ) {
        for (id, link) in &mut self.links {
            if link.takes_report(now) {
                report(&self.control, id, link, now);
            }
        }
    }

    /// A request is sent to a target; its holder is told at once, since the next host may choose the
    /// same engine in a moment, and an adapter that seems unused may be dropped.
    pub fn start_request(
        &mut self,
        target: &str,
        adapter: Option<&str>,
        tokens: RequestTokens,
    ) {
        let tells_at_once = self.settings.policy.tells_sends_at_once || self.asks_before_sends();
        let Some(link) = self.links.get_mut(target) else {
            return;
        };
        link.start(adapter, tokens);
        if tells_at_once {
            report(&self.control, target, link, Instant::now());
        }
    }
}

fn observe_age(
    table: &'static str,
    age: Duration,
) {
    let labels = CopyLabels { table };
    let ages = &metrics().belief_age;
    ages.get_or_create(&labels).observe(age.as_secs_f64());
}

/// Tells the holder of an engine what this host sends there.
fn report(
    control: &flume::Sender<ControlRequest>,
    target: &str,
    link: &mut TargetLink,
    now: Instant,
) {
    let Some(holder) = link.view.holder else {
        return;
    };
    link.on_told(now);
    let mut adapters = Vec::new();
    for (adapter, count) in &mut link.uses {
        adapters.push(AdapterUsage {
            adapter: adapter.clone(),
            in_flight: count.in_flight,
            started: count.started,
        });
        count.started = 0;
    }
    adapters.truncate(MAX_USES);
    link.uses.retain(|_, count| count.in_flight > 0);
    let usage = Usage {
        target: target.to_string(),
        adapters,
        in_flight: link.in_flight,
        tokens: u32::try_from(link.tokens).unwrap_or(u32::MAX),
        unread_tokens: u32::try_from(link.unread_tokens).unwrap_or(u32::MAX),
    };
    let _ = control.send(ControlRequest::Usage { holder, usage });
}
