use {
    super::{
        AdapterDemand, AdapterMap, BeliefAges, BeliefBounds, Confirmation, ControlRequest,
        CrashWatch, FleetView, NoticeWatch, OpenAsks, QuotaBook, ReadingSpeed, RepeatBudgets,
        RequestTokens, TargetLink, TargetView,
    },
    crate::{
        clock::Instant,
        connection::datagram::{
            AdapterUsage, EngineLoad, EngineQuery, EngineStanding, PermitAnswer, PlaceGiven, Usage,
        },
        formats::TargetStart,
        request::{direct::Policy, poison::PoisonReport},
        version::routing::RoutingTable,
    },
    std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration},
    tokio::sync::Notify,
    xxhash_rust::xxh3::xxh3_64,
};

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

/// All targets, as the requests of this host see them.
pub struct TargetBoard {
    pub(super) settings: BoardSettings,
    pub view: Arc<FleetView>,
    pub links: HashMap<Arc<str>, TargetLink>,
    pub(super) by_service: HashMap<String, Vec<ServiceTarget>>,
    pub adapters: AdapterMap,
    pub demand: AdapterDemand,
    pub(super) speeds: HashMap<String, ReadingSpeed>,
    pub(super) budgets: RepeatBudgets,
    /// Requests that wait for news of an adapter.
    pub(super) waiting: HashMap<String, Waiting>,
    /// Wakes requests that have asked how engines stand.
    pub(super) standing_news: Rc<Notify>,
    /// How well the tables behind the view are known to be right.
    pub(super) confirmation: Confirmation,
    /// Wakes requests that are held back until these are known to be right.
    pub(super) confirmation_news: Rc<Notify>,
    pub(super) belief_ages: BeliefAges,
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
    pub(super) control: flume::Sender<ControlRequest>,
}

/// A target of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTarget {
    pub id: Arc<str>,
    /// Stands for its address where adapters settle: a target that starts anew keeps its place.
    pub(super) key: u64,
}

pub(super) struct Waiting {
    pub(super) count: u32,
    pub(super) priority: u8,
    pub(super) news: Rc<Notify>,
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

    /// Which start of a target is known here.
    pub fn started(
        &self,
        target: &str,
    ) -> Option<TargetStart> {
        self.links.get(target)?.view.record.started
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
    /// itself: a view comes with each change of a host or of a holder, and to group thousands of targets anew each time takes a
    /// small host's processor.
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
