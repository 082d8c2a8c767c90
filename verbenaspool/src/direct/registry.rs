//! The registry of upstreams, as used by this entry.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    fmt,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use verbenaspool_platform::{registry, store::Object};
use verbenaspool_protocol::digest;
use verbenaspool_state::{
    position::Position,
    provenance::Provenance,
    replica::{Replica, State},
};

mod difference;

pub use self::difference::Difference;

/// How long upstreams that are missing from the registry are kept after an outage of the
/// store. Registrations expire while upstreams can't renew them. Running upstreams register
/// again within about 2 s; those that are still missing then have stopped.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

/// How long upstreams are left out that had been removed before the store came back from an older
/// copy. The copy may still have their objects, which expire within a few heartbeats of 1.2 s.
const COPIED_OBJECT_TIME: Duration = Duration::from_secs(10);

/// How long it is remembered that an upstream's object was removed. Copies are some seconds old.
const REMOVAL_MEMORY: Duration = Duration::from_mins(1);

/// How long it is remembered that an upstream is leaving after its object is gone. It may serve for
/// many seconds longer, and its object may return.
const MAX_DEPARTURE_TIME: Duration = Duration::from_mins(10);

/// Maximum number of removals to remember. A peer that lacks more gets all objects.
const MAX_REMOVALS: usize = 1_000;

/// Where objects came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Source {
    /// A listing of the store that may be seconds old.
    #[default]
    OutdatedListing,
    /// A listing of the store.
    Listing,
    /// A watch of the store.
    Watch,
    /// A peer.
    Peer(Ipv4Addr),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutdatedListing => f.write_str("outdated listing"),
            Self::Listing => f.write_str("listing"),
            Self::Watch => f.write_str("watch"),
            Self::Peer(peer) => write!(f, "peer {peer}"),
        }
    }
}

/// A copy of the store's objects.
#[derive(Debug, Clone, Copy)]
pub struct Snapshot<'a> {
    /// The objects by name.
    pub objects: &'a BTreeMap<String, Object>,
    /// The store's position at which the objects were these. For an outdated snapshot, that of the
    /// newest object.
    pub position: Position,
    /// Whether the snapshot may be older than the store's revision at that time. A removal leaves no
    /// object, so that two such snapshots can have the same revision and different objects.
    pub outdated: bool,
    /// The revision of the listing of the store from which the objects follow; 0 if unknown.
    pub listed: u64,
    /// Where it came from.
    pub source: Source,
}

/// Changes of the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The objects that were added or changed.
    pub changed: Vec<Object>,
    /// Names of the objects that were removed.
    pub removed: Vec<String>,
}

/// The notice of an upstream that it is leaving.
#[derive(Debug, Default)]
struct Departure {
    /// When the upstream started, in milliseconds of Unix time. It may start again under its id.
    started_at_ms: u64,
    /// When the notice was received.
    noticed_at: Duration,
}

/// The removal of an upstream's object.
#[derive(Debug)]
struct Removal {
    /// When the upstream started, in milliseconds of Unix time. It may start again under its id.
    started_at_ms: u64,
    removed_at: Duration,
    /// Until when an object of the same start is taken for one of an older copy of the store.
    left_out_until: Option<Duration>,
}

/// The upstreams, and the objects from which they were decoded.
#[derive(Debug, Default)]
pub struct Registry {
    /// The store's position of the objects.
    pub position: Position,
    /// Since when the objects are from an outdated [`Snapshot`], if they are.
    pub outdated_since: Option<Duration>,
    /// The revision of the listing of the store from which the objects follow; 0 if unknown.
    pub listed: u64,
    /// The revision at which a peer's listing had other objects; 0 if none had. The objects are wrong
    /// until they are replaced by those of a listing at this revision or later.
    pub refuted_at: u64,
    /// A hash of the objects; 0 until there are some.
    pub hash: u32,
    /// Where the last update came from.
    pub source: Source,
    /// When the last update came.
    pub updated_at: Duration,
    /// The objects as stored, by name. Peers fetch them.
    pub objects: BTreeMap<String, Object>,
    /// The upstreams by id.
    replicas: BTreeMap<Rc<str>, Rc<Replica>>,
    /// The services that the configuration names; empty until there is one.
    services: BTreeSet<Rc<str>>,
    /// The upstream at each address, the latest to start there.
    by_address: HashMap<SocketAddr, Rc<Replica>>,
    /// Ids of upstreams in whose place another process answered.
    replaced: BTreeSet<Rc<str>>,
    /// Upstreams that have said that they are leaving, also those that are missing from the
    /// registry.
    leaving: BTreeMap<Rc<str>, Departure>,
    /// When the current object of each upstream was first seen.
    first_seen: BTreeMap<Rc<str>, Duration>,
    /// Names of removed objects, with the revision at which they were missing.
    removals: VecDeque<(u64, String)>,
    /// The position after which all removals are known.
    removals_since: Position,
    /// Until when upstreams that are missing from the objects are kept.
    pub retain_missing_until: Duration,
    /// Upstreams that are missing from the objects, and the time until which they are kept.
    missing: BTreeMap<Rc<str>, Duration>,
    /// Objects that name no upstream because they can't be read, with their revisions and why.
    pub unreadable: BTreeMap<String, (u64, String)>,
    /// Upstreams whose objects were removed lately.
    removed: BTreeMap<Rc<str>, Removal>,
}

impl Registry {
    /// Whether a snapshot replaces the objects: it isn't older, and isn't outdated unless they are.
    #[must_use]
    pub fn accepts(&self, snapshot: &Snapshot) -> bool {
        let is_current = snapshot.position >= self.position;
        !self.position.is_known() || is_current && (self.is_outdated() || !snapshot.outdated)
    }

    /// Replaces the objects. Upstreams that are missing from them are kept until
    /// `retain_missing_until`.
    pub fn update(&mut self, now: Duration, retain_missing_until: Duration, snapshot: &Snapshot) {
        let objects = snapshot.objects;
        if self.position.is_known() && snapshot.position.era > self.position.era {
            self.leave_out_removed(now);
        }
        let mut replicas = BTreeMap::new();
        let mut unreadable = BTreeMap::new();
        for object in objects.values() {
            if self.objects.get(&object.name) == Some(object)
                && let Some((id, replica)) = self.replicas.get_key_value(object.name.as_str())
            {
                replicas.insert(id.clone(), replica.clone());
                continue;
            }
            match registry::decode(&object.name, &object.specification) {
                Ok(replica) if self.is_left_out(now, &replica) => {}
                Ok(replica) => {
                    let replica = self.admit(now, replica);
                    replicas.insert(replica.id.clone(), replica);
                }
                Err(why) => {
                    unreadable.insert(object.name.clone(), (object.revision, why.to_string()));
                }
            }
        }
        for (id, replica) in &self.replicas {
            if replicas.contains_key(id) {
                self.missing.remove(id);
                continue;
            }
            let was_missing = self.missing.contains_key(id);
            let until = *self
                .missing
                .entry(id.clone())
                .or_insert(retain_missing_until);
            if now < until {
                replicas.insert(id.clone(), replica.clone());
                continue;
            }
            self.missing.remove(id);
            // One that was missing after an outage may be late to register again.
            if !was_missing {
                record_removal(&mut self.removed, now, replica);
            }
        }
        self.replicas = replicas;
        self.unreadable = unreadable;
        let replicas = &self.replicas;
        self.replaced.retain(|id| replicas.contains_key(id));
        self.first_seen.retain(|id, _| replicas.contains_key(id));
        self.leaving.retain(|id, departure| {
            replicas.contains_key(id) || now < departure.noticed_at + MAX_DEPARTURE_TIME
        });
        self.removed
            .retain(|_, removal| now < removal.removed_at + REMOVAL_MEMORY);
        self.retain_missing_until = retain_missing_until;
        self.record_removals(snapshot);
        if snapshot.listed >= self.refuted_at || snapshot.position.era > self.position.era {
            self.refuted_at = 0;
        }
        self.position = snapshot.position;
        self.listed = snapshot.listed;
        let since = self.outdated_since.unwrap_or(now);
        self.outdated_since = snapshot.outdated.then_some(since);
        self.source = snapshot.source;
        self.updated_at = now;
        if &self.objects != objects {
            self.objects.clone_from(objects);
            self.hash = hash(objects);
        }
        self.index_addresses();
    }

    /// Whether the objects are from an outdated [`Snapshot`].
    #[must_use]
    pub fn is_outdated(&self) -> bool {
        self.outdated_since.is_some()
    }

    /// What is known of the objects.
    #[must_use]
    pub fn provenance(&self) -> Provenance {
        Provenance {
            position: self.position,
            listed: self.listed,
            hash: self.hash,
        }
    }

    /// Records that outdated objects are the same as a peer's, which aren't outdated.
    pub fn confirm(&mut self, peer: Provenance) {
        let position = peer.position;
        self.position = position;
        self.listed = peer.listed;
        self.refuted_at = 0;
        self.outdated_since = None;
        self.removals.clear();
        self.removals_since = position;
    }

    /// Ids of the upstreams that take new requests.
    pub fn ready_ids(&self) -> BTreeSet<Rc<str>> {
        let ready = self.replicas.values();
        let ready = ready.filter(|replica| replica.state == State::Ready);
        ready.map(|replica| replica.id.clone()).collect()
    }

    /// Upstreams that are kept although they are missing from the objects, and until when.
    pub fn kept(&self) -> &BTreeMap<Rc<str>, Duration> {
        &self.missing
    }

    /// Determines the upstream at each address.
    ///
    /// The entry of an upstream that crashed stays for several heartbeats, while its successor has
    /// registered at the same address with another id. A successor that isn't the process there, as
    /// its answers show, gives way to the others again. One of a service that no configuration
    /// names displaces no upstream: it gets no requests whose answers could show that.
    fn index_addresses(&mut self) {
        self.by_address.clear();
        let age = |replica: &Replica| {
            let object = self.objects.get(&*replica.id);
            let revision = object.map_or(0, |object| object.revision);
            let is_named = self.services.contains(&replica.service);
            let answers = !self.replaced.contains(&replica.id);
            (is_named, answers, replica.started_at_ms, revision)
        };
        for replica in self.replicas.values() {
            let current = self
                .by_address
                .entry(replica.address)
                .or_insert_with(|| replica.clone());
            if age(replica) > age(current) {
                *current = replica.clone();
            }
        }
    }

    /// Sets the services that the configuration names.
    pub fn set_services(&mut self, services: BTreeSet<Rc<str>>) {
        if self.services != services {
            self.services = services;
            self.index_addresses();
        }
    }

    /// Records that another process answered in an upstream's place. Returns whether this
    /// changed which upstreams are used.
    pub fn record_replaced(&mut self, id: &Rc<str>) -> bool {
        let Some(replica) = self.replicas.get(id) else {
            return false;
        };
        let address = replica.address;
        self.replaced.insert(id.clone());
        let before = self.by_address.get(&address).cloned();
        self.index_addresses();
        self.by_address.get(&address) != before.as_ref()
    }

    /// Records that an upstream has said in an answer that it is leaving. It takes no new
    /// requests from now on, whatever its object says. Returns whether this is new.
    pub fn record_leaving(&mut self, now: Duration, replica: &Replica) -> bool {
        let was_leaving = self.is_leaving(replica);
        let departure = self.leaving.entry(replica.id.clone()).or_default();
        departure.noticed_at = now;
        if replica.started_at_ms != 0 {
            departure.started_at_ms = replica.started_at_ms;
        }
        let listed = self.replicas.get_mut(&replica.id);
        let listed = listed.filter(|listed| !listed.has_restarted_since(replica.started_at_ms));
        if let Some(listed) = listed.filter(|listed| listed.state == State::Ready) {
            Rc::make_mut(listed).state = State::Draining;
            self.index_addresses();
        }
        !was_leaving
    }

    /// Records that an upstream's object says that it is leaving. A write that is carried out late
    /// may say otherwise after that. Without a start, the latest object counts, since it may be of
    /// a later start.
    fn record_listed_leaving(&mut self, now: Duration, replica: &Replica) {
        if replica.state == State::Draining && replica.started_at_ms != 0 {
            let departure = Departure {
                started_at_ms: replica.started_at_ms,
                noticed_at: now,
            };
            self.leaving.insert(replica.id.clone(), departure);
        }
    }

    /// Whether an upstream has said that it is leaving, and hasn't started again since. A notice
    /// whose sender didn't say when it started is of the first start that is known.
    fn is_leaving(&mut self, replica: &Replica) -> bool {
        let Some(departure) = self.leaving.get_mut(&replica.id) else {
            return false;
        };
        if departure.started_at_ms == 0 {
            departure.started_at_ms = replica.started_at_ms;
        }
        !replica.has_restarted_since(departure.started_at_ms)
    }

    /// Records which objects are missing from a snapshot. What was removed before the first one
    /// of an era that isn't outdated is unknown.
    fn record_removals(&mut self, snapshot: &Snapshot) {
        let (position, objects) = (snapshot.position, snapshot.objects);
        let has_base = self.position.is_known() && self.position.era == position.era;
        if !has_base || self.is_outdated() {
            self.removals.clear();
            self.removals_since = position;
            return;
        }
        let revision = position.revision;
        let removed = self.objects.keys();
        let removed = removed.filter(|name| !objects.contains_key(*name));
        self.removals
            .extend(removed.map(|name| (revision, name.clone())));
        while self.removals.len() > MAX_REMOVALS {
            let dropped = self.removals.pop_front();
            self.removals_since.revision = dropped.map_or(revision, |(revision, _)| revision);
        }
    }

    /// The changes after a position, or `None` if not all of them are known.
    #[must_use]
    pub fn changes(&self, since: Position) -> Option<Changes> {
        if since < self.removals_since || since.era != self.position.era {
            return None;
        }
        let since = since.revision;
        let changed = self.objects.values();
        let changed = changed.filter(|object| object.revision > since);
        let removed = self.removals.iter();
        let removed = removed
            .filter(|(revision, name)| *revision > since && !self.objects.contains_key(name));
        Some(Changes {
            changed: changed.cloned().collect(),
            removed: removed.map(|(_, name)| name.clone()).collect(),
        })
    }

    /// Removes upstreams whose time to register again is over, and returns their ids.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Rc<str>> {
        let expired = self.missing.iter().filter(|(_, until)| now >= **until);
        let expired: Vec<Rc<str>> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.missing.remove(id);
            self.replicas.remove(id);
        }
        if !expired.is_empty() {
            self.index_addresses();
        }
        expired
    }

    /// Takes an upstream into use, in the state that is known of it.
    fn admit(&mut self, now: Duration, mut replica: Replica) -> Rc<Replica> {
        self.removed.remove(&replica.id);
        self.first_seen.insert(replica.id.clone(), now);
        self.replaced.remove(&replica.id);
        self.record_listed_leaving(now, &replica);
        if self.is_leaving(&replica) {
            replica.state = State::Draining;
        }
        Rc::new(replica)
    }

    /// Leaves out the upstreams whose objects were removed lately, if their objects return.
    fn leave_out_removed(&mut self, now: Duration) {
        for removal in self.removed.values_mut() {
            removal.left_out_until = Some(now + COPIED_OBJECT_TIME);
        }
    }

    /// Whether the object of an upstream is one of an older copy of the store, from before its
    /// removal.
    fn is_left_out(&self, now: Duration, replica: &Replica) -> bool {
        self.removed.get(&replica.id).is_some_and(|removal| {
            !replica.has_restarted_since(removal.started_at_ms)
                && removal.left_out_until.is_some_and(|until| now < until)
        })
    }

    /// Uses upstreams again that were left out and whose objects haven't expired meanwhile: they
    /// run after all. Returns whether there are any.
    pub fn readmit(&mut self, now: Duration) -> bool {
        let ended = |removal: &Removal| removal.left_out_until.is_some_and(|until| now >= until);
        let ended = self.removed.iter().filter(|(_, removal)| ended(removal));
        let ended: Vec<Rc<str>> = ended.map(|(id, _)| id.clone()).collect();
        let mut readmitted = false;
        for id in ended {
            self.removed.remove(&id);
            let object = self.objects.get(&*id);
            let replica = object.map(|o| registry::decode(&o.name, &o.specification));
            if let Some(Ok(replica)) = replica {
                let replica = self.admit(now, replica);
                self.replicas.insert(id, replica);
                readmitted = true;
            }
        }
        if readmitted {
            self.index_addresses();
        }
        readmitted
    }

    /// The upstream with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Rc<Replica>> {
        self.replicas.get(id)
    }

    /// The upstream at an address.
    #[must_use]
    pub fn at(&self, address: SocketAddr) -> Option<&Rc<Replica>> {
        self.by_address.get(&address)
    }

    /// When the current object of an upstream was first seen.
    #[must_use]
    pub fn first_seen(&self, id: &str) -> Duration {
        self.first_seen.get(id).copied().unwrap_or_default()
    }

    /// All upstreams, without those that others have replaced at their addresses.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Replica>> {
        self.by_address.values()
    }

    /// Number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_address.len()
    }
}

/// Records that an upstream's object was removed, if it can be told from a later start.
fn record_removal(removed: &mut BTreeMap<Rc<str>, Removal>, now: Duration, replica: &Replica) {
    if replica.started_at_ms != 0 {
        let removal = Removal {
            started_at_ms: replica.started_at_ms,
            removed_at: now,
            left_out_until: None,
        };
        removed.insert(replica.id.clone(), removal);
    }
}

/// A hash of objects that doesn't depend on their order, and isn't 0.
pub fn hash(objects: &BTreeMap<String, Object>) -> u32 {
    let hashes = objects.values().map(|object| {
        let (name, revision) = (&object.name, object.revision);
        digest::hash(&format!("{name} {revision} {}", object.specification))
    });
    hashes.fold(0, u32::wrapping_add).max(1)
}

/// Until when missing upstreams are kept if the store has been available since the given
/// time.
#[must_use]
pub fn missing_deadline(available_since: Duration) -> Duration {
    available_since + REREGISTRATION_TIME
}

#[cfg(test)]
mod tests;
