//! Follows the platform's list of upstream instances.
//!
//! The list lags and may be incomplete, and the platform has outages. The list that was
//! last read stays in use until a newer one is read. Agents announce by themselves that
//! they are leaving, so a stale list costs a rejected attempt rather than a lost request.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use verbenaspool_coordination::keys;
use verbenaspool_state::{name::Name, upstream::Upstream};

use crate::{
    clock::Clock,
    platform::{Error, Event, Store, driver::Backoff},
    shutdown::Signal,
};

/// Wait of one watch. Each watch counts as a call against the budget.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Number of watches after which the list is read even without an event, since watches
/// lose events. A list takes 76 bytes per instance.
const WATCHES_PER_LIST: u32 = 3;

/// Maximum number of instances of a small list. On any event, a small list is read whole,
/// which also makes up for lost events. Of a larger list, only the instances named by events
/// are read. The number of watches between reads of the whole list then grows by
/// [`WATCHES_PER_LIST`] for every [`SMALL_LIST_INSTANCES`] instances, so that these reads take
/// less than 1 KB per second at any size.
const SMALL_LIST_INSTANCES: usize = 90;

/// Follows the list of a firm's upstream instances.
pub struct Follower {
    store: Rc<dyn Store>,
    prefix: String,
    /// The instances by key with the version that was read; `None` for an invalid entry.
    known: HashMap<String, (u64, Option<Upstream>)>,
    revision: u64,
    /// The store's era that the versions and the revision are of.
    era: u64,
    watches_since_list: u32,
}

impl std::fmt::Debug for Follower {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Follower").finish_non_exhaustive()
    }
}

impl Follower {
    /// Creates a follower that hasn't read the list yet.
    ///
    /// ```no_run
    /// # fn example(store: std::rc::Rc<dyn verbenaspool_transport::platform::Store>) {
    /// use verbenaspool_transport::config::upstreams::Follower;
    ///
    /// let follower = Follower::new(store, &"quetzal".parse().unwrap());
    /// # }
    /// ```
    #[must_use]
    pub fn new(store: Rc<dyn Store>, firm: &Name) -> Self {
        Self {
            store,
            prefix: keys::instances(firm),
            known: HashMap::new(),
            revision: 0,
            era: 0,
            watches_since_list: WATCHES_PER_LIST,
        }
    }

    /// Follows the list until the signal fires, and passes each changed list to `changed`.
    pub async fn run(
        mut self,
        clock: Rc<dyn Clock>,
        seed: u64,
        signal: Signal,
        changed: impl Fn(&[Upstream]),
    ) {
        let mut backoff = Backoff::new(seed);
        while !signal.fired() {
            match self.poll().await {
                Ok(Some(list)) => {
                    backoff.reset();
                    changed(&list);
                }
                Ok(None) => backoff.reset(),
                Err(_) => clock.sleep(backoff.pause()).await,
            }
        }
    }

    /// Reads the list if it may have changed, then waits for the next change.
    async fn poll(&mut self) -> Result<Option<Vec<Upstream>>, Error> {
        if self.watches_since_list >= self.watches_per_list() {
            let changed = self.refresh_list().await?;
            self.watches_since_list = 0;
            if changed {
                return Ok(Some(self.list()));
            }
        }
        let events = self
            .store
            .watch(&self.prefix, self.revision, WATCH_WAIT)
            .await?;
        if self.enter_era() {
            return Ok(None);
        }
        self.revision = events.revision.max(self.revision);
        if !events.events.is_empty() && self.known.len() <= SMALL_LIST_INSTANCES {
            self.watches_since_list = WATCHES_PER_LIST;
            return Ok(None);
        }
        self.watches_since_list += 1;
        let mut changed = false;
        let known = |event: &Event| {
            let known = self.known.get(&event.key);
            known.is_some_and(|(version, _)| *version >= event.version)
        };
        let fresh = events.events.into_iter().filter(|event| !known(event));
        let keys: BTreeSet<String> = fresh.map(|event| event.key).collect();
        for key in keys {
            changed |= self.refresh_instance(key).await?;
        }
        Ok(changed.then(|| self.list()))
    }

    /// Has everything read again if the store has come back from an older copy, whose versions
    /// can't be compared with those before. Returns whether it has.
    fn enter_era(&mut self) -> bool {
        let era = self.store.era();
        let before = std::mem::replace(&mut self.era, era);
        if before == 0 || era <= before {
            return false;
        }
        for (version, _) in self.known.values_mut() {
            *version = 0;
        }
        self.revision = 0;
        self.watches_since_list = u32::MAX;
        true
    }

    /// Number of watches between two reads of the whole list.
    fn watches_per_list(&self) -> u32 {
        let share = self.known.len() / SMALL_LIST_INSTANCES;
        WATCHES_PER_LIST * u32::try_from(share.max(1)).unwrap_or(u32::MAX)
    }

    /// Reads one instance again and returns whether it changed. Deletion events are
    /// checked as well, since an event may be older than the stored object.
    async fn refresh_instance(&mut self, key: String) -> Result<bool, Error> {
        let Some(object) = self.store.get(&key).await? else {
            return Ok(self.known.remove(&key).is_some());
        };
        let known = self.known.get(&key);
        if known.is_some_and(|(version, _)| *version >= object.version) {
            return Ok(false);
        }
        let upstream = serde_json::from_slice(&object.value).ok();
        self.known.insert(key, (object.version, upstream));
        Ok(true)
    }

    /// Reads the whole list and the instances that changed in it. Returns whether any did.
    async fn refresh_list(&mut self) -> Result<bool, Error> {
        let entries = self.store.list(&self.prefix).await?;
        self.enter_era();
        // The watch needn't report changes that the list already contains.
        let last = entries.iter().map(|entry| entry.version).max();
        self.revision = self.revision.max(last.unwrap_or_default());
        let count_before = self.known.len();
        let listed_keys: HashSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        self.known
            .retain(|key, _| listed_keys.contains(key.as_str()));
        let mut changed = self.known.len() != count_before;
        for entry in entries {
            let known = self.known.get(&entry.key);
            if known.is_some_and(|(version, _)| *version >= entry.version) {
                continue;
            }
            let Some(object) = self.store.get(&entry.key).await? else {
                continue;
            };
            // An invalid entry names no upstream; its next version may be valid.
            let upstream = serde_json::from_slice(&object.value).ok();
            self.known.insert(entry.key, (object.version, upstream));
            changed = true;
        }
        Ok(changed)
    }

    /// The valid instances, sorted by name.
    fn list(&self) -> Vec<Upstream> {
        let known = self.known.values();
        let mut list: Vec<_> = known.filter_map(|(_, upstream)| upstream.clone()).collect();
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list
    }
}
