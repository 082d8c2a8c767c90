//! State shared by all requests of an entry.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};
use slog::{Logger, info, warn};
use tokio::sync::Notify;
use verbenaspool_platform::store::{self, Object, Stored};
use verbenaspool_policy::{quarantine::Quarantine, subset};
use verbenaspool_protocol::{
    digest,
    member::Status,
    reservation::{self, ServiceInfo},
};
use verbenaspool_state::{
    position::Position, provenance::Provenance, replica::Replica, route::Table,
};
use verbenaspool_transport::{clock::Clock, http::client::Client, metrics, rpc};

use super::{
    divergence::Divergence,
    evacuation::Evacuations,
    memory::Memory,
    outage::Outage,
    peers::Peers,
    queue::ServiceQueue,
    readiness::ExceededLimits,
    registry::{self, Registry, Snapshot, Source},
    reserve::Reservations,
    settings::Settings,
    status::unix_time,
    usage::{self, CheckedWeights},
};

/// Timeout for new connections to upstreams. A round trip takes a few milliseconds. A
/// partitioned upstream never answers, and one whose accept queue is full answers only
/// seconds later.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an idle connection to an upstream is kept if the upstream doesn't state its
/// keep-alive timeout. Timeouts below a second aren't stated.
const KEEP_ALIVE_TIME: Duration = Duration::from_millis(400);

/// Maximum number of a service's upstreams that an entry sends to. The entry subscribes to
/// the status of each, and considers each for every request. This holds the upstreams of a
/// zone of most fleets, and as many of other zones as its callers need if the zone is lost.
const MAX_SERVICE_UPSTREAMS: usize = 192;

/// State shared by all requests of an entry.
pub struct Gateway {
    pub settings: RefCell<Settings>,
    pub clock: Rc<dyn Clock>,
    pub log: Logger,
    pub metrics: metrics::Registry,
    /// Responses of upstreams that exceeded a limit.
    pub exceeded_limits: Rc<ExceededLimits>,
    /// HTTP client for upstreams.
    pub client: Client,
    /// Client of the platform's store.
    pub store: store::Client,
    /// RPC client for other entries.
    pub rpc: rpc::Client,
    /// What is held for callers, the store and peers.
    pub memory: Memory,
    /// The other entries.
    pub peers: RefCell<Peers>,
    /// Pending reservations of slots at upstreams' agents.
    pub reservations: Reservations,
    /// Requests suspected of crashing upstreams.
    pub quarantine: RefCell<Quarantine>,
    /// Wakes the task that reports suspected requests to peers.
    pub suspected: Notify,
    /// Wakes the task that reports crashes of upstreams to peers.
    pub crashed: Notify,
    /// Wakes the task that attributes crashes to parts of prompts.
    pub crash_seen: Notify,
    /// Wakes the task that reports limits of upstreams to peers.
    pub rate_limit_changed: Notify,
    /// The configuration's object as last read from the store.
    pub stored_configuration: RefCell<Option<Stored>>,
    /// Wakes the task that writes the quarantine to the store.
    pub unsaved: Notify,
    /// Makes the follower of the registry list all objects again.
    pub relist_registry: Rc<Notify>,
    /// The same for the evacuated zones.
    pub relist_evacuations: Rc<Notify>,
    /// The latest era of the store that was logged, and that followers know of.
    pub store_era: Cell<u64>,
    /// The latest era of the store that a peer named and that made followers ask the store.
    pub hinted_store_era: Cell<u64>,
    /// Makes followers that watch the store renew their watches, as connections may have gone silent.
    pub renew_watches: Notify,
    /// When watches were last renewed because calls of a peer failed.
    pub store_checked_at: Cell<Duration>,
    /// Wakes the followers that watch the store when it has come back from an older copy.
    pub restored: Notify,
    /// How often a watch found that the store no longer had the changes since its last answer.
    pub history_losses: Cell<u64>,
    /// Notified with each of them.
    pub history_lost: Notify,
    /// Whether an object of the store without a readable name was logged.
    pub has_logged_unnamed: Cell<bool>,
    /// Whether peers have other objects at the registry's revision.
    pub divergence: RefCell<Divergence>,
    /// The same of the evacuated zones.
    pub evacuation_divergence: RefCell<Divergence>,
    /// The outages of the store.
    pub outage: RefCell<Outage>,
    /// Whether the process is shutting down. It fails readiness checks but still accepts
    /// requests.
    pub leaving: Cell<bool>,
    /// Whether new requests are rejected.
    pub closed: Cell<bool>,
    /// The object from which the table was decoded. Peers fetch it.
    pub table_object: RefCell<Option<Stored>>,
    /// Where the table came from, and when it was activated.
    pub(super) table_activation: Cell<(Source, Duration)>,
    /// Whether the active configuration was known to be the newest one at some time, and isn't only from
    /// a listing that may be outdated.
    pub table_confirmed: Cell<bool>,
    /// The revision of the configuration that was read last, if it is invalid.
    pub invalid_configuration: Cell<Option<u64>>,
    /// The availability zones whose upstreams get no requests.
    pub evacuations: RefCell<Evacuations>,
    /// Zones that stay evacuated although an older copy of the store doesn't list them, and until
    /// when.
    pub kept_evacuations: RefCell<BTreeMap<String, Duration>>,
    /// Which weights of customers name unknown ones.
    pub checked_weights: RefCell<CheckedWeights>,
    /// Number of followers whose last call to the store failed.
    pub failing_followers: Cell<u32>,
    pub(super) table: RefCell<Option<Rc<Table>>>,
    pub(super) registry: RefCell<Registry>,
    registry_loaded: Cell<bool>,
    queues: RefCell<HashMap<Rc<str>, Rc<ServiceQueue>>>,
}

impl Gateway {
    /// Creates a gateway without a routing table and upstreams.
    pub fn new(
        settings: Settings,
        clock: Rc<dyn Clock>,
        log: Logger,
        store: store::Client,
        memory: Memory,
    ) -> Rc<Self> {
        let peers = Peers::new(settings.address, digest::hash(&settings.zone));
        let metrics = metrics::Registry::default();
        let exceeded_limits = ExceededLimits::new(log.clone(), metrics.clone(), clock.clone());
        let client = Client::new(CONNECT_TIMEOUT)
            .with_idle_timeout(KEEP_ALIVE_TIME)
            .with_response_limits(exceeded_limits.observer());
        Rc::new(Self {
            settings: RefCell::new(settings),
            clock,
            log,
            metrics,
            exceeded_limits,
            client,
            store,
            rpc: rpc::Client::default().with_budget(memory.systems.clone()),
            memory,
            peers: RefCell::new(peers),
            reservations: Reservations::new(),
            quarantine: RefCell::default(),
            suspected: Notify::new(),
            crashed: Notify::new(),
            crash_seen: Notify::new(),
            rate_limit_changed: Notify::new(),
            stored_configuration: RefCell::default(),
            unsaved: Notify::new(),
            relist_registry: Rc::new(Notify::new()),
            relist_evacuations: Rc::new(Notify::new()),
            store_era: Cell::default(),
            hinted_store_era: Cell::default(),
            renew_watches: Notify::new(),
            store_checked_at: Cell::default(),
            restored: Notify::new(),
            history_losses: Cell::default(),
            history_lost: Notify::new(),
            has_logged_unnamed: Cell::default(),
            divergence: RefCell::default(),
            evacuation_divergence: RefCell::default(),
            outage: RefCell::default(),
            leaving: Cell::new(false),
            closed: Cell::new(false),
            table_object: RefCell::default(),
            table_activation: Cell::default(),
            table_confirmed: Cell::default(),
            invalid_configuration: Cell::default(),
            evacuations: RefCell::default(),
            kept_evacuations: RefCell::default(),
            checked_weights: RefCell::default(),
            failing_followers: Cell::default(),
            table: RefCell::default(),
            registry: RefCell::default(),
            registry_loaded: Cell::new(false),
            queues: RefCell::default(),
        })
    }

    /// The active routing table.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// The version of the active routing table, or 0 if there is none.
    pub fn table_version(&self) -> u64 {
        self.table
            .borrow()
            .as_ref()
            .map_or(0, |table| table.version)
    }

    /// The store's position of the registry.
    pub fn registry_position(&self) -> Position {
        self.registry.borrow().position
    }

    /// Whether the registry is from an outdated snapshot.
    pub fn is_registry_outdated(&self) -> bool {
        self.registry.borrow().is_outdated()
    }

    /// How long the registry has been from an outdated snapshot.
    pub fn registry_outdated_for(&self) -> Duration {
        let since = self.registry.borrow().outdated_since;
        since.map_or(Duration::ZERO, |since| {
            self.clock.now().saturating_sub(since)
        })
    }

    /// What is known of the registry.
    pub fn registry_provenance(&self) -> Provenance {
        self.registry.borrow().provenance()
    }

    /// Where the last update of the registry came from, and how long ago.
    pub fn registry_source(&self) -> (Source, Duration) {
        let registry = self.registry.borrow();
        let age = self.clock.now().saturating_sub(registry.updated_at);
        (registry.source, age)
    }

    /// Whether the registry was read from the store or a peer.
    pub fn has_registry(&self) -> bool {
        self.registry_loaded.get()
    }

    /// The registry's objects by name.
    pub fn registry_objects(&self) -> BTreeMap<String, Object> {
        self.registry.borrow().objects.clone()
    }

    /// The changes of the registry after a position, or `None` if not all of them are known.
    pub fn registry_changes(&self, since: Position) -> Option<registry::Changes> {
        self.registry.borrow().changes(since)
    }

    /// How much longer upstreams that are missing from the registry are kept.
    pub fn retention_left(&self) -> Duration {
        let until = self.registry.borrow().retain_missing_until;
        until.saturating_sub(self.clock.now())
    }

    /// Whether the entry is ready for requests: it has a routing table and a registry, knows
    /// the evacuated zones where there may be some, and isn't shutting down.
    pub fn is_ready(&self) -> bool {
        let can_evacuate = self.settings.borrow().limits.can_evacuate();
        let knows_evacuations = !can_evacuate || self.evacuations.borrow().position().is_known();
        let has_state = self.registry_loaded.get() && self.table.borrow().is_some();
        !self.leaving.get() && has_state && knows_evacuations
    }

    /// Replaces the registry of upstreams, unless the snapshot is older, or outdated and the registry
    /// isn't.
    ///
    /// Upstreams that are missing from the snapshot are kept until `retain_missing_until`.
    pub fn update_registry(&self, retain_missing_until: Duration, snapshot: &Snapshot) {
        let now = self.clock.now();
        let mut registry = self.registry.borrow_mut();
        if !registry.accepts(snapshot) {
            return;
        }
        let changed = &registry.objects != snapshot.objects;
        let ready_before = registry.ready_ids();
        let unreadable_before = registry.unreadable.clone();
        let since = registry.position.revision;
        let difference = registry::Difference::between(&registry.objects, snapshot.objects);
        registry.update(now, retain_missing_until, snapshot);
        for (name, (revision, why)) in &registry.unreadable {
            let known = unreadable_before.get(name);
            if known.is_none_or(|(known, _)| known != revision) {
                warn!(self.log, "entry of the registry can't be read; ignoring it";
                    "upstream" => name, "revision" => revision, "reason" => why);
            }
        }
        self.registry_loaded.set(true);
        if !changed {
            return;
        }
        info!(self.log, "registry of upstreams changed";
            "era" => snapshot.position.era, "revision" => snapshot.position.revision,
            "from" => %snapshot.source, "upstreams" => registry.len(),
            "hash" => registry.hash, "since" => since, "changes" => %difference);
        self.log_departures(&registry, &ready_before);
        drop(registry);
        self.distribute_upstreams();
    }

    /// Confirms an outdated registry by a peer that has the same objects, so that they needn't be
    /// fetched: after a restart of all entries each of them has such a registry.
    pub fn confirm_registry(&self) {
        let mut registry = self.registry.borrow_mut();
        if !registry.is_outdated() {
            return;
        }
        let now = self.clock.now();
        let peers = self.peers.borrow();
        if let Some(peer) = peers.confirming_copy(now, registry.provenance()) {
            registry.confirm(peer);
            info!(self.log, "registry of upstreams confirmed";
                "era" => peer.position.era, "revision" => peer.position.revision);
        }
    }

    /// Logs the upstreams that took requests before an update and don't any more, or are kept
    /// although they are missing.
    fn log_departures(&self, registry: &Registry, ready_before: &BTreeSet<Rc<str>>) {
        let now = self.clock.now();
        let from = registry.source;
        let ready = registry.ready_ids();
        for id in ready_before.difference(&ready) {
            let cause = registry.get(id).map_or("removed", |_| "draining");
            info!(self.log, "upstream is leaving"; "upstream" => &**id, "from" => %from,
                "cause" => cause, "revision" => registry.position.revision);
        }
        for (id, until) in registry.kept() {
            let left = until.saturating_sub(now);
            info!(self.log, "upstream is missing; keeping it"; "upstream" => &**id,
                "from" => %from, "revision" => registry.position.revision,
                "for_ms" => left.as_secs_f64() * 1e3);
        }
    }

    /// Removes upstreams that have been missing from the registry for too long, and uses those
    /// again that were left out after the store came back from an older copy.
    pub fn expire_upstreams(&self) {
        let now = self.clock.now();
        let expired = self.registry.borrow_mut().remove_expired(now);
        let readmitted = self.registry.borrow_mut().readmit(now);
        for id in &expired {
            info!(self.log, "upstream is leaving"; "upstream" => &**id, "from" => "registry",
                "cause" => "expired", "revision" => self.registry_position().revision);
        }
        if !expired.is_empty() || readmitted {
            self.distribute_upstreams();
        }
    }

    /// Records that another process answered in an upstream's place.
    pub fn record_replaced(&self, id: &Rc<str>) {
        let changed = self.registry.borrow_mut().record_replaced(id);
        if changed {
            info!(self.log, "upstream replaced by another at its address"; "upstream" => &**id);
            self.distribute_upstreams();
        }
    }

    /// Records that an upstream has said in an answer that it is leaving.
    pub fn record_leaving(&self, replica: &Replica) {
        let now = self.clock.now();
        let new = self.registry.borrow_mut().record_leaving(now, replica);
        if new {
            info!(self.log, "upstream is leaving"; "upstream" => &*replica.id, "from" => "answer",
                "cause" => "draining", "revision" => self.registry_position().revision);
            self.distribute_upstreams();
        }
    }

    /// Passes each service's upstreams to its queue.
    pub(super) fn distribute_upstreams(&self) {
        let registry = self.registry.borrow();
        let mut upstreams_by_service: HashMap<Rc<str>, Vec<Rc<Replica>>> = HashMap::new();
        for replica in registry.iter() {
            let upstreams = upstreams_by_service
                .entry(replica.service.clone())
                .or_default();
            upstreams.push(replica.clone());
        }
        for name in self.queues.borrow().keys() {
            upstreams_by_service.entry(name.clone()).or_default();
        }
        for (service, upstreams) in upstreams_by_service {
            let queue = self.queue(&service);
            let upstreams = self.choose_subset(&queue, &upstreams);
            queue.with(|dispatcher, now| {
                dispatcher.set_upstreams(upstreams.iter().map(|replica| &**replica));
                for replica in &upstreams {
                    if let Some(age) = replica.age(unix_time()) {
                        dispatcher.record_start(&replica.id, now.saturating_sub(age));
                    }
                    let reported_at = registry.first_seen(&replica.id);
                    dispatcher.record_warm_up(reported_at, &replica.id, replica.warm_up_left);
                }
            });
        }
    }

    /// The upstreams of a service that this entry sends to.
    fn choose_subset(&self, queue: &ServiceQueue, upstreams: &[Rc<Replica>]) -> Vec<Rc<Replica>> {
        let settings = self.settings.borrow();
        let members: Vec<(&str, bool)> = upstreams
            .iter()
            .map(|replica| (&*replica.id, *replica.zone == *settings.zone))
            .collect();
        let chosen = subset::choose_by_hash(&settings.name, &members, MAX_SERVICE_UPSTREAMS);
        queue.uses_subset.set(chosen.len() < upstreams.len());
        let chosen = chosen.into_iter().map(|index| upstreams[index].clone());
        chosen.collect()
    }

    /// Addresses of the upstreams that are ranks of groups and get requests of this entry, and
    /// whether each is in this entry's zone.
    pub fn group_ranks(&self) -> Vec<(SocketAddr, bool)> {
        let Some(table) = self.table() else {
            return Vec::new();
        };
        let is_grouped = |service: &str| {
            let engine = table.service(service).and_then(|s| s.engine.as_ref());
            engine.is_some_and(|engine| engine.experts.is_some())
        };
        let queues = self.queues.borrow();
        let is_used = |replica: &Replica| {
            let queue = queues.get(&replica.service);
            queue.is_some_and(|queue| queue.has_upstream(&replica.id))
        };
        let registry = self.registry.borrow();
        let settings = self.settings.borrow();
        let ranks = registry
            .iter()
            .filter(|replica| is_grouped(&replica.service) && is_used(replica));
        let is_in_zone = |replica: &Replica| *replica.zone == *settings.zone;
        ranks
            .map(|replica| (replica.address, is_in_zone(replica)))
            .collect()
    }

    /// What the agent on an instance needs to know about its upstream's service, or `None`
    /// if no rank of a group runs on the instance.
    pub fn service_info_for_agent(&self, instance: IpAddr) -> Option<ServiceInfo> {
        let table = self.table()?;
        let registry = self.registry.borrow();
        let group_engine = |replica: &Replica| {
            let service = table.service(&replica.service)?;
            let engine = service.engine.as_ref()?;
            engine.experts.is_some().then_some(engine)
        };
        let mut local = registry.iter().filter(|r| r.address.ip() == instance);
        let (upstream, engine) =
            local.find_map(|replica| Some((replica, group_engine(replica)?)))?;
        // The members of the agent's group come first, as far as this entry knows them.
        let queue = self.queue(&upstream.service);
        let members = queue.group_members(&upstream.id);
        let members = members.iter().filter_map(|id| registry.get(id));
        let mut instances: Vec<IpAddr> = members.map(|replica| replica.address.ip()).collect();
        instances.truncate(reservation::MAX_INSTANCES);
        let others = registry.iter().filter(|r| r.service == upstream.service);
        let others = others.map(|replica| replica.address.ip());
        let others = others.filter(|instance| !instances.contains(instance));
        let room = reservation::MAX_INSTANCES - instances.len();
        let others = others.choose_multiple(&mut rand::rng(), room);
        instances.extend(others);
        Some(ServiceInfo {
            instances,
            slots: upstream.slots,
            experts: engine.experts,
            min_pass_time: engine.pass_time(0.0),
        })
    }

    /// Records the status of a rank, as reported by its agent.
    pub fn record_status(&self, status: &Status) {
        let upstream = self.registry.borrow().at(status.upstream).cloned();
        let Some(upstream) = upstream else {
            return;
        };
        let changed = self.queue(&upstream.service).with(|dispatcher, now| {
            if !dispatcher.record_load(now, &upstream.id, status.sequence, status.requests) {
                return false;
            }
            let (group, running, pace) = (status.group, status.group_complete, status.pace.into());
            dispatcher.record_status(now, &upstream.id, group, running, pace)
        });
        if changed {
            info!(self.log, "status of a rank's group changed";
                "upstream" => &*upstream.id, "open" => status.group_complete);
        }
    }

    /// Returns the queue of a service, creating it if necessary.
    pub fn queue(&self, service: &Rc<str>) -> Rc<ServiceQueue> {
        let mut queues = self.queues.borrow_mut();
        let new_queue = || {
            let zone: Rc<str> = self.settings.borrow().zone.as_str().into();
            let seed = rand::rng().random();
            let (clock, log) = (self.clock.clone(), self.log.clone());
            let queue = ServiceQueue::new(service.clone(), clock, log, zone, seed);
            let queue = Rc::new(queue);
            let evacuated = self.zones_in_evacuation();
            let learns_speed = self.settings.borrow().balancing.learn_speed;
            queue.with(|dispatcher, now| {
                dispatcher.set_evacuated_zones(&evacuated);
                dispatcher.update_balancing(now, learns_speed);
            });
            let weights = usage::share_weights(&self.settings.borrow().shares);
            queue.set_shares(weights.as_ref());
            queue
        };
        queues
            .entry(service.clone())
            .or_insert_with(new_queue)
            .clone()
    }

    /// The queues of all services.
    pub fn queues(&self) -> Vec<Rc<ServiceQueue>> {
        self.queues.borrow().values().cloned().collect()
    }

    /// Whether an availability zone has upstreams.
    pub fn has_upstream_in(&self, zone: &str) -> bool {
        let registry = self.registry.borrow();
        registry.iter().any(|replica| &*replica.zone == zone)
    }

    /// Number of the registry's objects that can't be read.
    pub fn unreadable_upstreams(&self) -> usize {
        self.registry.borrow().unreadable.len()
    }

    /// The registered upstream with this id.
    pub fn replica(&self, id: &str) -> Option<Rc<Replica>> {
        self.registry.borrow().get(id).cloned()
    }
}
