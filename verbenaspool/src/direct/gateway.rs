//! What all requests of an entry share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};
use slog::{Logger, info, warn};
use tokio::sync::Notify;
use verbenaspool_platform::{
    configuration,
    store::{self, Object},
};
use verbenaspool_policy::quarantine::Quarantine;
use verbenaspool_protocol::{
    member::Status,
    reservation::{self, Members},
};
use verbenaspool_state::{replica::Replica, route::Table};
use verbenaspool_transport::{clock::Clock, http::client::Client, metrics, rpc};

use super::{
    peers::Peers, queue::ServiceQueue, registry::Registry, reserve::Reservations,
    settings::Settings,
};

/// How long a new connection to an upstream may take. The way there and back
/// takes a few milliseconds; an upstream that is cut off never answers, and a
/// full queue of connections is served again seconds later only.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection to an upstream is kept that carries no request, where
/// the upstream doesn't state its own bound: those below a second aren't stated.
const KEEP_ALIVE_TIME: Duration = Duration::from_millis(400);

/// What all requests of an entry share.
pub struct Gateway {
    /// The settings.
    pub settings: RefCell<Settings>,
    /// The source of time.
    pub clock: Rc<dyn Clock>,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: metrics::Registry,
    /// Connections to upstreams.
    pub client: Client,
    /// The platform's store.
    pub store: store::Client,
    /// Calls to other entries.
    pub rpc: rpc::Client,
    /// The other entries.
    pub peers: RefCell<Peers>,
    /// Slots that agents are asked for.
    pub reservations: Reservations,
    /// Requests that upstreams crash under.
    pub quarantine: RefCell<Quarantine>,
    /// Wakes the task that reports those to peers.
    pub suspected: Notify,
    /// The configuration's object as the store held it last.
    pub stored_configuration: RefCell<Option<Object>>,
    /// Wakes the task that writes the quarantine to the store.
    pub unsaved: Notify,
    /// Whether the process is about to stop.
    pub leaving: Cell<bool>,
    /// Whether it takes no request any more.
    pub closed: Cell<bool>,
    /// The object that the table was read from, for peers.
    pub table_source: RefCell<Option<Object>>,
    table: RefCell<Option<Rc<Table>>>,
    registry: RefCell<Registry>,
    registry_loaded: Cell<bool>,
    queues: RefCell<HashMap<Rc<str>, Rc<ServiceQueue>>>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(
        settings: Settings,
        clock: Rc<dyn Clock>,
        log: Logger,
        store: store::Client,
    ) -> Rc<Self> {
        let peers = Peers::new(settings.address);
        Rc::new(Self {
            settings: RefCell::new(settings),
            clock,
            log,
            metrics: metrics::Registry::default(),
            client: Client::new(CONNECT_TIMEOUT).keep_for(KEEP_ALIVE_TIME),
            store,
            rpc: rpc::Client::default(),
            peers: RefCell::new(peers),
            reservations: Reservations::new(),
            quarantine: RefCell::default(),
            suspected: Notify::new(),
            stored_configuration: RefCell::default(),
            unsaved: Notify::new(),
            leaving: Cell::new(false),
            closed: Cell::new(false),
            table_source: RefCell::default(),
            table: RefCell::default(),
            registry: RefCell::default(),
            registry_loaded: Cell::new(false),
            queues: RefCell::default(),
        })
    }

    /// The routing table in force.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// The version of the table in force; 0 without one.
    pub fn table_version(&self) -> u64 {
        self.table
            .borrow()
            .as_ref()
            .map_or(0, |table| table.version)
    }

    /// The revision of the registry.
    pub fn registry_revision(&self) -> u64 {
        self.registry.borrow().revision
    }

    /// The registry's objects, for peers.
    pub fn registry_objects(&self) -> (u64, Vec<Object>) {
        let registry = self.registry.borrow();
        (
            registry.revision,
            registry.objects.values().cloned().collect(),
        )
    }

    /// Whether requests may come: the process knows where they go.
    pub fn is_ready(&self) -> bool {
        !self.leaving.get() && self.registry_loaded.get() && self.table.borrow().is_some()
    }

    /// Puts a configuration in force, if it is newer than what is.
    pub fn apply_configuration(&self, object: &Object, from: &str) {
        let table = match configuration::decode(&object.specification) {
            Ok(table) => table,
            Err(why) => {
                warn!(self.log, "Entry: A configuration can't be read; the one in force stays.";
                    "revision" => object.revision, "from" => from, "reason" => why.to_string());
                return;
            }
        };
        let previous = self.table_version();
        if table.version <= previous && self.table.borrow().is_some() {
            return;
        }
        info!(self.log, "Entry: A configuration is in force.";
            "version" => table.version, "before" => previous, "from" => from, "routes" => table.len());
        let table = Rc::new(table);
        self.table.replace(Some(table.clone()));
        self.table_source.replace(Some(object.clone()));
        for service in table.services() {
            let queue = self.queue(&service.name);
            queue.with(|dispatcher, _| dispatcher.set_engine(service.engine.as_ref()));
        }
        self.distribute_upstreams();
    }

    /// Takes over the registry of upstreams.
    pub fn update_registry(
        &self,
        retain_missing_until: Duration,
        revision: u64,
        objects: &BTreeMap<String, Object>,
        from: &str,
    ) {
        let now = self.clock.now();
        let changed = {
            let mut registry = self.registry.borrow_mut();
            if revision < registry.revision && self.registry_loaded.get() {
                return;
            }
            let changed = &registry.objects != objects;
            registry.update(now, retain_missing_until, revision, objects);
            changed
        };
        self.registry_loaded.set(true);
        if changed {
            info!(self.log, "Entry: The list of upstreams changed.";
                "revision" => revision, "from" => from, "upstreams" => self.registry.borrow().len());
            self.distribute_upstreams();
        }
    }

    /// Drops upstreams that were missing for too long.
    pub fn expire_upstreams(&self) {
        let now = self.clock.now();
        if self.registry.borrow_mut().remove_expired(now) {
            info!(self.log, "Entry: Upstreams that were missing are gone.";
                "upstreams" => self.registry.borrow().len());
            self.distribute_upstreams();
        }
    }

    /// Tells each service's queue its upstreams.
    fn distribute_upstreams(&self) {
        let registry = self.registry.borrow();
        let mut services: HashMap<Rc<str>, Vec<Rc<Replica>>> = HashMap::new();
        for replica in registry.iter() {
            let list = services.entry(replica.service.clone()).or_default();
            list.push(replica.clone());
        }
        for name in self.queues.borrow().keys() {
            services.entry(name.clone()).or_default();
        }
        for (service, list) in services {
            let queue = self.queue(&service);
            queue.with(|dispatcher, _| {
                dispatcher.set_upstreams(list.iter().map(|replica| &**replica));
            });
        }
    }

    /// The upstreams that are ranks of groups, and whether each is in this entry's zone.
    pub fn group_ranks(&self) -> Vec<(SocketAddr, bool)> {
        let Some(table) = self.table() else {
            return Vec::new();
        };
        let grouped = |service: &str| {
            let engine = table.service(service).and_then(|s| s.engine.as_ref());
            engine.is_some_and(|engine| engine.experts.is_some())
        };
        let registry = self.registry.borrow();
        let settings = self.settings.borrow();
        let ranks = registry.iter().filter(|replica| grouped(&replica.service));
        let near = |replica: &Replica| *replica.zone == *settings.zone;
        ranks
            .map(|replica| (replica.address, near(replica)))
            .collect()
    }

    /// What the agent on an instance needs to know of its upstream's service; none where
    /// no upstream of a group runs there.
    pub fn members_for_agent(&self, instance: IpAddr) -> Option<Members> {
        let table = self.table()?;
        let registry = self.registry.borrow();
        let grouped = |replica: &Replica| {
            let service = table.service(&replica.service)?;
            let engine = service.engine.as_ref()?;
            engine.experts.is_some().then_some(engine)
        };
        let mut local = registry.iter().filter(|r| r.address.ip() == instance);
        let (own, engine) = local.find_map(|replica| Some((replica, grouped(replica)?)))?;
        let group_members = registry.iter().filter(|r| r.service == own.service);
        let group_members = group_members.map(|replica| replica.address.ip());
        Some(Members {
            instances: group_members.choose_multiple(&mut rand::rng(), reservation::MAX_INSTANCES),
            slots: own.slots,
            experts: engine.experts,
            pass: engine.pass(0.0),
        })
    }

    /// Takes in how a rank stands, as its agent says.
    pub fn record_status(&self, status: &Status) {
        let registry = self.registry.borrow();
        let upstream = registry.iter().find(|r| r.address == status.upstream);
        let Some(upstream) = upstream.cloned() else {
            return;
        };
        drop(registry);
        let changed = self.queue(&upstream.service).with(|dispatcher, now| {
            if !dispatcher.record_load(now, &upstream.id, status.number, status.requests) {
                return false;
            }
            let (group, open, pace) = (status.group, status.open, status.pace.into());
            dispatcher.record_status(now, &upstream.id, group, open, pace)
        });
        if changed {
            info!(self.log, "Entry: A rank's group changed.";
                "upstream" => &*upstream.id, "open" => status.open);
        }
    }

    /// The queue of a service.
    pub fn queue(&self, service: &Rc<str>) -> Rc<ServiceQueue> {
        let mut queues = self.queues.borrow_mut();
        let new = || {
            let zone: Rc<str> = self.settings.borrow().zone.as_str().into();
            let seed = rand::rng().random();
            let (clock, log) = (self.clock.clone(), self.log.clone());
            Rc::new(ServiceQueue::new(service.clone(), clock, log, zone, seed))
        };
        queues.entry(service.clone()).or_insert_with(new).clone()
    }

    /// All queues.
    pub fn queues(&self) -> Vec<Rc<ServiceQueue>> {
        self.queues.borrow().values().cloned().collect()
    }

    /// The upstream of this identity.
    pub fn replica(&self, id: &str) -> Option<Rc<Replica>> {
        self.registry.borrow().get(id).cloned()
    }
}
