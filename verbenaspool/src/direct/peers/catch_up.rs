//! Fetches newer configurations, registries and evacuations from peers.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use verbenaspool_platform::store::{Object, Stored};
use verbenaspool_protocol::suspicion::Suspicion;
use verbenaspool_state::{position::Position, provenance::Provenance};
use verbenaspool_transport::rpc;

use crate::direct::{
    evacuation::Evacuations,
    gateway::Gateway,
    registry::{self, Snapshot, Source},
};

/// Interval of checks whether a peer has newer state.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How long an entry that watches the store waits for newer state before it is fetched from a
/// peer. The store usually delivers changes within milliseconds.
const STORE_DELAY: Duration = Duration::from_millis(150);

/// How long an entry waits for a peer of its zone to have newer state before it is fetched
/// from another zone. Bytes between zones have a cost.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(300);

/// Minimum interval between two fetches. Changes come in bursts, and one fetch returns all.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of RPC calls to peers.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The RPC method by which peers fetch newer versions.
pub const LATEST_METHOD: &str = "latest";

/// Versions of an entry's state.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Versions {
    /// The version of its routing table.
    pub(super) table: u64,
    /// The revision of its registry.
    pub(super) registry: u64,
    /// Whether its registry is from an outdated snapshot.
    #[serde(skip)]
    pub(super) outdated: bool,
    /// The revision of the listing from which its registry follows.
    #[serde(skip)]
    pub(super) registry_listed: u64,
    /// The hash of its registry.
    #[serde(skip)]
    pub(super) registry_hash: u32,
    /// The revision at which a peer's listing showed that its registry is wrong, or 0.
    #[serde(skip)]
    pub(super) registry_refuted_at: u64,
    /// The revision of the listing from which its evacuated zones follow.
    #[serde(skip)]
    pub(super) evacuations_listed: u64,
    /// The hash of its evacuated zones.
    #[serde(skip)]
    pub(super) evacuations_hash: u32,
    /// The revision of the evacuated zones.
    #[serde(default)]
    pub(super) evacuations: u64,
    /// The revision of the configuration's object.
    #[serde(default)]
    pub(super) configuration: u64,
    /// The eras of the store that the revisions are of. A peer of the previous version doesn't
    /// send them.
    #[serde(default)]
    pub(super) registry_era: u64,
    #[serde(default)]
    pub(super) evacuations_era: u64,
    #[serde(default)]
    pub(super) configuration_era: u64,
    /// Whether the entry accepts changes of the registry instead of all of it.
    #[serde(default)]
    accepts_changes: bool,
}

impl Versions {
    /// The versions of an entry of which only the registry changes.
    ///
    /// ```
    /// let versions = verbenaspool::direct::peers::Versions::of_registry(7);
    /// # drop(versions);
    /// ```
    #[must_use]
    pub fn of_registry(revision: u64) -> Self {
        Self {
            table: 0,
            registry: revision,
            outdated: false,
            registry_listed: 0,
            registry_hash: 0,
            registry_refuted_at: 0,
            evacuations_listed: 0,
            evacuations_hash: 0,
            evacuations: 0,
            configuration: 0,
            registry_era: 0,
            evacuations_era: 0,
            configuration_era: 0,
            accepts_changes: true,
        }
    }

    /// The store's position of the registry.
    pub(super) fn registry(&self) -> Position {
        Position::new(self.registry_era, self.registry)
    }

    /// Whether its registry may not be the store's at its position, or is known not to be.
    pub(super) fn has_doubtful_registry(&self) -> bool {
        self.outdated || self.registry_refuted_at > 0
    }

    /// What is known of the evacuated zones.
    pub(super) fn evacuation_provenance(&self) -> Provenance {
        Provenance {
            position: self.evacuations(),
            listed: self.evacuations_listed,
            hash: self.evacuations_hash,
        }
    }

    /// These versions, without evacuated zones: a peer then sends its own.
    fn without_evacuations(self) -> Self {
        Self {
            evacuations: 0,
            evacuations_era: 0,
            ..self
        }
    }

    /// These versions, without a registry: a peer then sends all of its objects.
    fn without_registry(self) -> Self {
        Self {
            registry: 0,
            registry_era: 0,
            ..self
        }
    }

    /// The store's position of the evacuated zones.
    pub(super) fn evacuations(&self) -> Position {
        Position::new(self.evacuations_era, self.evacuations)
    }

    /// The store's position of the configuration's object.
    pub(super) fn configuration(&self) -> Position {
        Position::new(self.configuration_era, self.configuration)
    }
}

/// State of a peer that is newer than the requested versions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Update {
    configuration: Option<Object>,
    /// The era of the store that the revision of the configuration's object is of.
    #[serde(default)]
    configuration_era: u64,
    /// Whether the configuration is only from a listing that may be outdated.
    #[serde(default)]
    configuration_outdated: bool,
    /// The revision of the registry.
    revision: u64,
    /// The era of the store that the revision, and `base`, are of.
    #[serde(default)]
    era: u64,
    /// The registry's objects, or those that changed after the revision `base`.
    upstreams: Option<Vec<Object>>,
    /// Whether these are from an outdated snapshot.
    #[serde(default)]
    outdated: bool,
    #[serde(default)]
    base: Option<u64>,
    /// The revision of the listing from which the registry follows, and the hash of all of its
    /// objects. A peer of the previous version doesn't send them.
    #[serde(default)]
    listed: u64,
    #[serde(default)]
    hash: u32,
    /// Names of the objects that were removed after the revision `base`.
    #[serde(default)]
    removed: Vec<String>,
    /// How much longer upstreams that are missing from the registry are kept, in
    /// milliseconds. A peer of the previous version doesn't send it.
    #[serde(default)]
    retention_left_ms: Option<u64>,
    #[serde(default)]
    evacuations: Option<Evacuations>,
    /// What is quarantined. The store may not have it yet.
    #[serde(default)]
    quarantined: Vec<Suspicion>,
}

/// The outcome of applying a peer's newer state.
#[derive(Debug, PartialEq, Eq)]
enum Applied {
    /// All of it was applied, or was older than what is known by now.
    Whole,
    /// The registry wasn't: all of the peer's objects have to replace this entry's.
    Superseded,
}

impl Gateway {
    /// The versions of this entry's state.
    pub(super) fn versions(&self) -> Versions {
        let configuration = self.stored_configuration.borrow();
        let configuration = configuration.as_ref().map(Stored::position);
        let is_confirmed = self.table_confirmed.get();
        let configuration = configuration.filter(|_| is_confirmed).unwrap_or_default();
        let registry = self.registry_provenance();
        let evacuations = self.evacuations.borrow().provenance();
        Versions {
            table: self.table_version(),
            registry: registry.position.revision,
            registry_era: registry.position.era,
            outdated: self.is_registry_outdated(),
            registry_listed: registry.listed,
            registry_hash: registry.hash,
            registry_refuted_at: self.registry.borrow().refuted_at,
            evacuations_listed: evacuations.listed,
            evacuations_hash: evacuations.hash,
            evacuations: evacuations.position.revision,
            evacuations_era: evacuations.position.era,
            configuration: configuration.revision,
            configuration_era: configuration.era,
            accepts_changes: true,
        }
    }

    /// The state that is newer than a peer's versions.
    fn update_since(&self, versions: Versions) -> Update {
        let own = self.versions();
        let mut update = Update {
            configuration: None,
            configuration_era: 0,
            configuration_outdated: !self.table_confirmed.get(),
            revision: own.registry,
            era: own.registry_era,
            upstreams: None,
            outdated: own.has_doubtful_registry(),
            base: None,
            listed: own.registry_listed,
            hash: own.registry_hash,
            removed: Vec::new(),
            retention_left_ms: u64::try_from(self.retention_left().as_millis()).ok(),
            evacuations: (own.evacuations() > versions.evacuations())
                .then(|| self.evacuations.borrow().clone()),
            quarantined: Vec::new(),
        };
        if own.table > versions.table || own.configuration() > versions.configuration() {
            if let Some(Stored { object, era }) = self.configuration() {
                update.configuration = Some(object);
                update.configuration_era = era;
            }
            update.quarantined = self.quarantined();
        }
        if own.registry() <= versions.registry() {
            return update;
        }
        let changes = self.registry_changes(versions.registry());
        let in_changes = versions.accepts_changes && !own.has_doubtful_registry();
        if let Some(changes) = changes.filter(|_| in_changes) {
            update.upstreams = Some(changes.changed);
            update.base = Some(versions.registry);
            update.removed = changes.removed;
        } else {
            update.upstreams = Some(self.registry_objects().into_values().collect());
        }
        update
    }

    /// Fetches newer state from a peer and applies it.
    async fn fetch_update(&self, peer: Ipv4Addr) {
        let mut versions = self.versions();
        if versions.has_doubtful_registry() {
            // Changes since its revision would lack what it lacks.
            versions = versions.without_registry();
        }
        if self.peers.borrow().refutes_evacuations(peer, versions) {
            versions = versions.without_evacuations();
        }
        let Some(update) = self.request_update(peer, &versions).await else {
            return;
        };
        if self.apply_update(peer, update) == Applied::Superseded {
            let versions = self.versions().without_registry();
            if let Some(update) = self.request_update(peer, &versions).await {
                self.apply_update(peer, update);
            }
        }
    }

    /// Requests what is newer than these versions from a peer.
    async fn request_update(&self, peer: Ipv4Addr, versions: &Versions) -> Option<Update> {
        let address = SocketAddr::from((peer, self.settings.borrow().control.port()));
        let result: Result<Update, _> = self
            .rpc
            .call(address, LATEST_METHOD, versions, CALL_TIMEOUT)
            .await;
        match result {
            Ok(update) => Some(update),
            Err(why) => {
                warn!(self.log, "can't fetch newer state from peer";
                    "peer" => peer.to_string(), "reason" => why.to_string());
                None
            }
        }
    }

    /// Applies a peer's newer state.
    fn apply_update(&self, peer: Ipv4Addr, update: Update) -> Applied {
        let from = Source::Peer(peer);
        if let Some(evacuations) = update.evacuations {
            self.update_evacuations(evacuations, from);
        }
        if let Some(object) = update.configuration {
            let era = update.configuration_era;
            let stored = Stored { object, era };
            self.observe_configuration(&stored);
            self.apply_configuration(&stored, from);
            if !update.configuration_outdated {
                self.confirm_configuration();
            }
        }
        self.record_suspicions(&update.quarantined);
        let Some(upstreams) = update.upstreams else {
            return Applied::Whole;
        };
        let own = self.registry_provenance();
        let mut objects = match update.base {
            None => BTreeMap::new(),
            Some(base) if Position::new(update.era, base) == own.position => {
                self.registry_objects()
            }
            // The registry has changed since the call, and the next one will fit.
            Some(_) => return Applied::Whole,
        };
        for name in &update.removed {
            objects.remove(name);
        }
        objects.extend(
            upstreams
                .into_iter()
                .map(|object| (object.name.clone(), object)),
        );
        let mut listed = update.listed;
        if update.base.is_some() && update.hash != 0 && registry::hash(&objects) != update.hash {
            warn!(self.log, "changes of a peer's registry don't lead to its objects";
                "peer" => peer.to_string(), "since" => own.position.revision,
                "revision" => update.revision, "listed" => update.listed);
            // One of both copies lacks a change. One that was listed at this entry's revision or later
            // lacks none up to there.
            if update.listed >= own.position.revision {
                return Applied::Superseded;
            }
            listed = own.listed;
        }
        let now = self.clock.now();
        let retain_missing_until = update.retention_left_ms.map_or_else(
            || registry::missing_deadline(now),
            |left| now + Duration::from_millis(left),
        );
        let snapshot = Snapshot {
            objects: &objects,
            position: Position::new(update.era, update.revision),
            outdated: update.outdated,
            listed,
            source: from,
        };
        self.update_registry(retain_missing_until, &snapshot);
        Applied::Whole
    }

    /// Records whether a fetch from a peer has brought its newer state.
    fn record_fetch(&self, peer: Ipv4Addr) {
        let now = self.clock.now();
        let mut peers = self.peers.borrow_mut();
        let newer = peers.newer_peers(now, self.versions());
        if newer.iter().any(|(other, _)| *other == peer) {
            peers.record_failed_fetch(now, peer);
        } else {
            peers.behind_since = None;
        }
    }
}

/// Registers the RPC method for peers.
pub fn register_methods(gateway: &Rc<Gateway>, module: &mut rpc::Module) {
    let gateway = gateway.clone();
    module.register(LATEST_METHOD, move |versions: Versions| {
        let update = gateway.update_since(versions);
        async move { Ok::<_, String>(update) }
    });
}

/// Fetches newer versions from peers, for as long as the process runs.
pub async fn catch_up(gateway: Rc<Gateway>) {
    loop {
        gateway.clock.sleep(CHECK_INTERVAL).await;
        let now = gateway.clock.now();
        gateway.confirm_configuration_by_peers();
        gateway.confirm_registry();
        gateway.refute_registry();
        gateway.correct_registry();
        gateway.correct_evacuations();
        let newer = gateway.peers.borrow().newer_peers(now, gateway.versions());
        let Some(&(peer, same_zone)) = newer.first() else {
            gateway.peers.borrow_mut().behind_since = None;
            continue;
        };
        let since = *gateway.peers.borrow_mut().behind_since.get_or_insert(now);
        let delay = match (same_zone, gateway.watches_store()) {
            (true, false) => Duration::ZERO,
            (true, true) => STORE_DELAY,
            (false, _) => OTHER_ZONE_DELAY,
        };
        if now.saturating_sub(since) >= delay {
            info!(gateway.log, "peer has newer state; fetching it"; "peer" => peer.to_string());
            gateway.fetch_update(peer).await;
            gateway.record_fetch(peer);
            if gateway.watches_store() {
                gateway.renew_watches.notify_waiters();
            }
            gateway.clock.sleep(MIN_FETCH_INTERVAL).await;
        }
    }
}
