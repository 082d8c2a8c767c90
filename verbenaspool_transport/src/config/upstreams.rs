//! The platform's list of upstream instances, as a process follows it.
//!
//! The list lags and has gaps, and the platform has outages. What was read last
//! stays in use until something newer is read; agents say themselves when they
//! leave, so a stale list costs a refused attempt, not a lost request.

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

/// How long one watch waits. Each counts as a call.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// After so many watches the list is read all the same, since watches lose
/// events. A list takes 76 bytes an instance.
const WATCHES_PER_LIST: u32 = 3;

/// Instances up to which the list is small: any event makes it be read whole,
/// which mends lost events at once. Beyond, only what an event names is read,
/// and the whole list once in a watch for every [`SMALL_LIST_INSTANCES`] / [`WATCHES_PER_LIST`] instances,
/// so that reading it stays below 1 KB a second at any size.
const SMALL_LIST_INSTANCES: usize = 90;

/// Follows the list of a firm's upstream instances.
pub struct Follower {
    store: Rc<dyn Store>,
    prefix: String,
    /// The instances by key, with the version each was read at.
    known: HashMap<String, (u64, Option<Upstream>)>,
    revision: u64,
    watches_since_list: u32,
}

impl std::fmt::Debug for Follower {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Follower").finish_non_exhaustive()
    }
}

impl Follower {
    /// A follower that has read nothing yet.
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
            watches_since_list: WATCHES_PER_LIST,
        }
    }

    /// Follows the list until the signal comes, and hands each change on.
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

    /// How many watches pass between two readings of the whole list.
    fn watches_per_list(&self) -> u32 {
        let share = self.known.len() / SMALL_LIST_INSTANCES;
        WATCHES_PER_LIST * u32::try_from(share.max(1)).unwrap_or(u32::MAX)
    }

    /// Reads one instance again; whether it changed. Whether it is gone is read as
    /// well, since an event may be older than what stands there.
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

    /// Reads what changed; whether anything did.
    async fn refresh_list(&mut self) -> Result<bool, Error> {
        let entries = self.store.list(&self.prefix).await?;
        // What was read with the list needn't be told again.
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
            // What can't be read is no upstream; its next version may be.
            let upstream = serde_json::from_slice(&object.value).ok();
            self.known.insert(entry.key, (object.version, upstream));
            changed = true;
        }
        Ok(changed)
    }

    /// The instances, by name.
    fn list(&self) -> Vec<Upstream> {
        let known = self.known.values();
        let mut list: Vec<_> = known.filter_map(|(_, upstream)| upstream.clone()).collect();
        list.sort_by(|a, b| a.name.cmp(&b.name));
        list
    }
}
