//! The routing table: which requests go to which service, with which deadlines and limits.

use std::{
    collections::{BTreeSet, HashMap},
    rc::Rc,
    time::Duration,
};

use crate::engine::Engine;

/// An immutable version of the routing table.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Increases with each change, not necessarily by one.
    pub version: u64,
    /// The routes of each host, sorted by descending length of prefix.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    /// The services by name.
    services: HashMap<Rc<str>, Rc<Service>>,
    /// The customer of each API key.
    customers_by_key: HashMap<String, Rc<Customer>>,
    /// Whether requests need an API key.
    requires_api_key: bool,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
}

/// A route for requests to a host with a path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Rc<str>,
    /// The host of the requests.
    pub host: String,
    /// The prefix of the requests' paths, which starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried.
    pub kind: Kind,
    /// Whether an interrupted stream may be resumed after the last received event.
    pub resumable: bool,
    /// Maximum time until the complete answer of a request.
    pub timeout: Duration,
    /// Target latency of the answer, or of the first event of a stream.
    pub target_latency: Duration,
    /// Target for the maximum pause between events of a stream.
    pub target_gap: Option<Duration>,
    /// How long callers of a stream wait without receiving an event, including the first one.
    pub silence_timeout: Option<Duration>,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The services among which the requests are split.
    pub splits: Vec<Split>,
    /// Maximum number of upstreams to which one request is sent.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
}

/// Whether requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Requests may be executed any number of times.
    Safe,
    /// Requests may be executed at most once.
    Unsafe,
    /// Answers are streams of events.
    Streaming,
}

/// A service's share of the requests of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    /// The service.
    pub service: Rc<str>,
    /// Its weight, relative to the sum of all weights.
    pub weight: f64,
}

/// A service to which requests are routed.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Rc<str>,
    /// The model engine that its upstreams run, if any.
    pub engine: Option<Engine>,
    /// How its upstreams warm up after a start; `None` if they take all requests at once.
    pub warm_up: Option<WarmUp>,
}

/// How an upstream warms up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// How long it takes.
    pub duration: Duration,
    /// Maximum number of requests per second meanwhile, from all entries together.
    pub max_rate: f64,
}

/// A customer of the firm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The name that is sent to upstreams.
    pub name: Rc<str>,
    /// The priority of its requests, which overrides that of the route.
    pub priority: Option<u8>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_time: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

impl Route {
    /// Whether a request may be sent to a second upstream after the first one may have
    /// executed it.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_state::route::{Kind, Route, Split};
    /// # let route = |kind, resumable| Route {
    /// #     name: "r".into(), host: "a.example".into(), prefix: "/a/".into(), kind, resumable,
    /// #     timeout: Duration::from_secs(1), target_latency: Duration::from_millis(300), target_gap: None, silence_timeout: None, priority: 1,
    /// #     splits: vec![
    /// #         Split { service: "old".into(), weight: 90.0 },
    /// #         Split { service: "new".into(), weight: 10.0 },
    /// #     ],
    /// #     max_attempts: 2, public: false,
    /// # };
    /// assert!(route(Kind::Safe, false).is_retryable());
    /// assert!(!route(Kind::Streaming, false).is_retryable());
    /// assert!(route(Kind::Streaming, true).is_retryable());
    /// ```
    #[must_use]
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// Chooses the service for a request, given a random number from 0 to 1.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_state::route::{Kind, Route, Split};
    /// # let route = |kind, resumable| Route {
    /// #     name: "r".into(), host: "a.example".into(), prefix: "/a/".into(), kind, resumable,
    /// #     timeout: Duration::from_secs(1), target_latency: Duration::from_millis(300), target_gap: None, silence_timeout: None, priority: 1,
    /// #     splits: vec![
    /// #         Split { service: "old".into(), weight: 90.0 },
    /// #         Split { service: "new".into(), weight: 10.0 },
    /// #     ],
    /// #     max_attempts: 2, public: false,
    /// # };
    /// let route = route(Kind::Safe, false);
    /// assert_eq!(route.service(0.5).map(|name| &**name), Some("old"));
    /// assert_eq!(route.service(0.95).map(|name| &**name), Some("new"));
    /// ```
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&Rc<str>> {
        let sum: f64 = self.splits.iter().map(|split| split.weight).sum();
        let mut remaining = draw.clamp(0.0, 1.0) * sum;
        for split in &self.splits {
            remaining -= split.weight;
            if remaining < 0.0 {
                return Some(&split.service);
            }
        }
        let weighted = |split: &&Split| split.weight > 0.0;
        let last = self.splits.iter().rev().find(weighted);
        last.map(|split| &split.service)
    }
}

impl Table {
    /// Creates a table. Requests need no API key if `customers` is `None`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_state::route::{Kind, Route, Split};
    /// # let route = |kind, resumable| Route {
    /// #     name: "r".into(), host: "a.example".into(), prefix: "/a/".into(), kind, resumable,
    /// #     timeout: Duration::from_secs(1), target_latency: Duration::from_millis(300), target_gap: None, silence_timeout: None, priority: 1,
    /// #     splits: vec![
    /// #         Split { service: "old".into(), weight: 90.0 },
    /// #         Split { service: "new".into(), weight: 10.0 },
    /// #     ],
    /// #     max_attempts: 2, public: false,
    /// # };
    /// # use verbenaspool_state::route::{Limits, Table};
    /// let routes = vec![route(Kind::Safe, false)];
    /// let table = Table::new(7, routes, Vec::new(), None, Limits::default());
    /// assert!(table.route("A.example", "/a/b").is_some());
    /// assert!(table.route("a.example", "/b/").is_none());
    /// assert!(!table.requires_api_key());
    /// ```
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Option<Vec<(Customer, Vec<String>)>>,
        limits: Limits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            let host = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            host.push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter();
        let services = services.map(|service| (service.name.clone(), Rc::new(service)));
        let requires_api_key = customers.is_some();
        let mut customers_by_key = HashMap::new();
        for (customer, keys) in customers.into_iter().flatten() {
            let customer = Rc::new(customer);
            customers_by_key.extend(keys.into_iter().map(|key| (key, customer.clone())));
        }
        Self {
            version,
            hosts,
            services: services.collect(),
            customers_by_key,
            requires_api_key,
            limits,
        }
    }

    /// The route of a request, given its host without the port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// The names of all services, also of those that only routes name.
    ///
    /// ```
    /// use verbenaspool_state::route::{Limits, Table};
    ///
    /// let table = Table::new(7, Vec::new(), Vec::new(), None, Limits::default());
    /// assert!(table.service_names().is_empty());
    /// ```
    #[must_use]
    pub fn service_names(&self) -> BTreeSet<Rc<str>> {
        let routes = self.hosts.values().flatten();
        let splits = routes.flat_map(|route| &route.splits);
        let named = splits.map(|split| split.service.clone());
        named.chain(self.services.keys().cloned()).collect()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// Finds a customer by API key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Rc<Customer>> {
        self.customers_by_key.get(key)
    }

    /// The customer of each API key.
    pub fn customers(&self) -> impl Iterator<Item = &Rc<Customer>> {
        self.customers_by_key.values()
    }

    /// Whether requests need an API key, except on public routes.
    #[must_use]
    pub fn requires_api_key(&self) -> bool {
        self.requires_api_key
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
