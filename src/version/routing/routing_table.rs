use {
    super::{Customer, Customers, Route, TargetService},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// What a caller may send, and how long it may take or rest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FrontLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

impl Default for FrontLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One accepted configuration; it never changes.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// Rises with each configuration; 0 before the first.
    pub version: u64,
    pub limits: FrontLimits,
    pub customers: Customers,
    services: HashMap<String, Arc<TargetService>>,
    /// By host, the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Priorities that routes have, from 0 on.
    route_priorities: u8,
}

impl RoutingTable {
    pub fn new(
        version: u64,
        limits: FrontLimits,
        services: Vec<TargetService>,
        routes: Vec<Route>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let lowest = routes.iter().map(|route| route.priority).max();
        for route in routes {
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Self {
            version,
            limits,
            customers: Customers::default(),
            services,
            routes: by_host,
            route_priorities: lowest.unwrap_or_default().saturating_add(1),
        }
    }

    /// The same with customers, whose requests bear keys.
    pub fn with_customers(
        self,
        customers: Customers,
    ) -> Self {
        Self { customers, ..self }
    }

    /// How urgent a request is; 0 goes first. The customer's priority comes before that of the route.
    pub fn urgency(
        &self,
        route: &Route,
        customer: Option<&Customer>,
    ) -> u8 {
        let customer = customer.map_or(0, |customer| customer.priority);
        customer
            .saturating_mul(self.route_priorities)
            .saturating_add(route.priority)
    }

    /// The route with the longest prefix that begins `path`, among those of `host`.
    pub fn find(
        &self,
        host: &str,
        path: &str,
    ) -> Option<&Arc<Route>> {
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    pub fn service(
        &self,
        name: &str,
    ) -> Option<&Arc<TargetService>> {
        self.services.get(name)
    }

    pub fn services(&self) -> impl Iterator<Item = &Arc<TargetService>> {
        self.services.values()
    }

    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
