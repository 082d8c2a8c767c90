//! The routing table: which requests go to which service, and on which terms.

use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::engine::Engine;

/// One version of the routing table. It never changes; a newer one replaces it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Goes up with each change, by any step.
    pub version: u64,
    /// The routes of each host, those with longer prefixes first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    /// The services by name.
    services: HashMap<Rc<str>, Rc<Service>>,
    /// Who holds each API key.
    holders: HashMap<String, Rc<Customer>>,
    /// Whether requests need an API key at all.
    keyed: bool,
    /// Bounds on what callers may send.
    pub limits: Limits,
}

/// Requests of one host below one path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Rc<str>,
    /// The host that requests name.
    pub host: String,
    /// What paths begin with, from slash to slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Whether a broken stream may be resumed after the last event.
    pub resumable: bool,
    /// The longest time that a request may be kept without its final answer.
    pub timeout: Duration,
    /// The time within which an answer (of a stream, the first event) has its full worth.
    pub target: Duration,
    /// The longest pause between events of a stream that has its full worth.
    pub gap: Option<Duration>,
    /// How long callers of a stream bear its silence, also before its first event.
    pub silence: Option<Duration>,
    /// How urgent it is; 0 comes first.
    pub priority: u8,
    /// The services that share its requests.
    pub splits: Vec<Split>,
    /// The most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may run any number of times.
    Safe,
    /// A request may run once.
    Unsafe,
    /// The answer is a stream of events.
    Streaming,
}

/// A service's part of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Split {
    /// The service.
    pub service: Rc<str>,
    /// Its part, against the sum of all parts.
    pub weight: f64,
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Rc<str>,
    /// The model engine that its upstreams run, where they do.
    pub engine: Option<Engine>,
}

/// A customer of the firm.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The name that upstreams are told.
    pub name: Rc<str>,
    /// How urgent its requests are, where that goes before the route's word.
    pub priority: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest head in bytes.
    pub head_bytes: usize,
    /// The largest body in bytes.
    pub body_bytes: usize,
    /// How long a head may take.
    pub head_time: Duration,
    /// How long a connection may carry no request.
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
    /// Whether a request may go to a second upstream after the first may have
    /// run it.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_state::route::{Kind, Route, Split};
    /// # let route = |kind, resumable| Route {
    /// #     name: "r".into(), host: "a.example".into(), prefix: "/a/".into(), kind, resumable,
    /// #     timeout: Duration::from_secs(1), target: Duration::from_millis(300), gap: None, silence: None, priority: 1,
    /// #     splits: vec![
    /// #         Split { service: "old".into(), weight: 90.0 },
    /// #         Split { service: "new".into(), weight: 10.0 },
    /// #     ],
    /// #     attempts: 2, public: false,
    /// # };
    /// assert!(route(Kind::Safe, false).is_repeatable());
    /// assert!(!route(Kind::Streaming, false).is_repeatable());
    /// assert!(route(Kind::Streaming, true).is_repeatable());
    /// ```
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Streaming => self.resumable,
        }
    }

    /// The service that a request goes to, for a number drawn from 0 to 1.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_state::route::{Kind, Route, Split};
    /// # let route = |kind, resumable| Route {
    /// #     name: "r".into(), host: "a.example".into(), prefix: "/a/".into(), kind, resumable,
    /// #     timeout: Duration::from_secs(1), target: Duration::from_millis(300), gap: None, silence: None, priority: 1,
    /// #     splits: vec![
    /// #         Split { service: "old".into(), weight: 90.0 },
    /// #         Split { service: "new".into(), weight: 10.0 },
    /// #     ],
    /// #     attempts: 2, public: false,
    /// # };
    /// let route = route(Kind::Safe, false);
    /// assert_eq!(route.service(0.5).map(|name| &**name), Some("old"));
    /// assert_eq!(route.service(0.95).map(|name| &**name), Some("new"));
    /// ```
    #[must_use]
    pub fn service(&self, draw: f64) -> Option<&Rc<str>> {
        let sum: f64 = self.splits.iter().map(|split| split.weight).sum();
        let mut left = draw.clamp(0.0, 1.0) * sum;
        for split in &self.splits {
            left -= split.weight;
            if left < 0.0 {
                return Some(&split.service);
            }
        }
        let weighted = |split: &&Split| split.weight > 0.0;
        let last = self.splits.iter().rev().find(weighted);
        last.map(|split| &split.service)
    }
}

impl Table {
    /// A table of these parts; without customers, requests need no key.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use verbenaspool_state::route::{Kind, Route, Split};
    /// # let route = |kind, resumable| Route {
    /// #     name: "r".into(), host: "a.example".into(), prefix: "/a/".into(), kind, resumable,
    /// #     timeout: Duration::from_secs(1), target: Duration::from_millis(300), gap: None, silence: None, priority: 1,
    /// #     splits: vec![
    /// #         Split { service: "old".into(), weight: 90.0 },
    /// #         Split { service: "new".into(), weight: 10.0 },
    /// #     ],
    /// #     attempts: 2, public: false,
    /// # };
    /// # use verbenaspool_state::route::{Limits, Table};
    /// let routes = vec![route(Kind::Safe, false)];
    /// let table = Table::new(7, routes, Vec::new(), None, Limits::default());
    /// assert!(table.route("A.example", "/a/b").is_some());
    /// assert!(table.route("a.example", "/b/").is_none());
    /// assert!(!table.is_keyed());
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
        let keyed = customers.is_some();
        let mut holders = HashMap::new();
        for (customer, keys) in customers.into_iter().flatten() {
            let customer = Rc::new(customer);
            holders.extend(keys.into_iter().map(|key| (key, customer.clone())));
        }
        Self {
            version,
            hosts,
            services: services.collect(),
            holders,
            keyed,
            limits,
        }
    }

    /// The route of a request; the host comes without its port.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service by its name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// Who holds an API key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Rc<Customer>> {
        self.holders.get(key)
    }

    /// Whether requests need an API key at all.
    #[must_use]
    pub fn is_keyed(&self) -> bool {
        self.keyed
    }

    /// How many routes there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
