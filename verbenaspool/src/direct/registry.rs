//! The registry of upstreams, as this entry works with it.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use verbenaspool_platform::{registry, store::Object};
use verbenaspool_state::replica::Replica;

/// How long entries that are missing are kept behind an outage of the store.
/// They lapse while upstreams can't reach it, and those that live are back
/// within about two seconds; those that aren't by then are gone.
const REREGISTRATION_TIME: Duration = Duration::from_secs(2);

/// The upstreams, and the objects that they were read from.
#[derive(Debug, Default)]
pub struct Registry {
    /// The store's revision.
    pub revision: u64,
    /// The objects as the store holds them, for peers.
    pub objects: BTreeMap<String, Object>,
    /// The upstreams by identity.
    replicas: BTreeMap<Rc<str>, Rc<Replica>>,
    /// Upstreams that are missing, and until when they are kept nevertheless.
    missing: BTreeMap<Rc<str>, Duration>,
}

impl Registry {
    /// Takes a newer state over. `settled` is when the store was back for long
    /// enough that what is missing is gone.
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
        self.revision = revision;
        if &self.objects != objects {
            self.objects.clone_from(objects);
        }
    }

    /// Drops those that were missing for too long; tells whether there were any.
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

    /// The upstream of this identity.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Rc<Replica>> {
        self.replicas.get(id)
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Replica>> {
        self.replicas.values()
    }

    /// How many upstreams there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.replicas.len()
    }
}

/// When missing entries count as gone, for a store that is back since a moment.
#[must_use]
pub fn missing_deadline(available_since: Duration) -> Duration {
    available_since + REREGISTRATION_TIME
}
