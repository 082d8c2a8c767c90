//! The registry of upstreams, as used by this entry.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use verbenaspool_platform::{registry, store::Object};
use verbenaspool_state::replica::Replica;

/// How long upstreams that are missing from the registry are kept after an outage of the
/// store. Registrations expire while upstreams can't renew them. Running upstreams register
/// again within about 2 s; those that are still missing then have stopped.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

/// The upstreams, and the objects from which they were decoded.
#[derive(Debug, Default)]
pub struct Registry {
    /// The store revision of the objects.
    pub revision: u64,
    /// The objects as stored, by name. Peers fetch them.
    pub objects: BTreeMap<String, Object>,
    /// The upstreams by id.
    replicas: BTreeMap<Rc<str>, Rc<Replica>>,
    /// When the current object of each upstream was first seen.
    first_seen: BTreeMap<Rc<str>, Duration>,
    /// Upstreams that are missing from the objects, and the time until which they are kept.
    missing: BTreeMap<Rc<str>, Duration>,
}

impl Registry {
    /// Replaces the objects. Upstreams that are missing from them are kept until
    /// `retain_missing_until`.
    pub fn update(
        &mut self,
        now: Duration,
        retain_missing_until: Duration,
        revision: u64,
        objects: &BTreeMap<String, Object>,
    ) {
        let mut replicas = BTreeMap::new();
        for object in objects.values() {
            if self.objects.get(&object.name) == Some(object)
                && let Some((id, replica)) = self.replicas.get_key_value(object.name.as_str())
            {
                replicas.insert(id.clone(), replica.clone());
                continue;
            }
            if let Some(replica) = registry::decode(&object.name, &object.specification) {
                self.first_seen.insert(replica.id.clone(), now);
                replicas.insert(replica.id.clone(), Rc::new(replica));
            }
        }
        for (id, replica) in &self.replicas {
            if replicas.contains_key(id) {
                self.missing.remove(id);
                continue;
            }
            let until = *self
                .missing
                .entry(id.clone())
                .or_insert(retain_missing_until);
            if now < until {
                replicas.insert(id.clone(), replica.clone());
            } else {
                self.missing.remove(id);
            }
        }
        self.replicas = replicas;
        let replicas = &self.replicas;
        self.first_seen.retain(|id, _| replicas.contains_key(id));
        self.revision = revision;
        if &self.objects != objects {
            self.objects.clone_from(objects);
        }
    }

    /// Removes upstreams whose time to register again is over. Returns whether there were
    /// any.
    pub fn remove_expired(&mut self, now: Duration) -> bool {
        let before = self.replicas.len();
        let missing = &mut self.missing;
        let replicas = &mut self.replicas;
        missing.retain(|id, until| {
            if now >= *until {
                replicas.remove(id);
            }
            now < *until
        });
        replicas.len() != before
    }

    /// The upstream with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Rc<Replica>> {
        self.replicas.get(id)
    }

    /// When the current object of an upstream was first seen.
    #[must_use]
    pub fn first_seen(&self, id: &str) -> Duration {
        self.first_seen.get(id).copied().unwrap_or_default()
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Replica>> {
        self.replicas.values()
    }

    /// Number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }
}

/// Until when missing upstreams are kept if the store has been available since the given
/// time.
#[must_use]
pub fn missing_deadline(available_since: Duration) -> Duration {
    available_since + REREGISTRATION_TIME
}
