//! The platform's list of upstream instances, as a process follows it.
//!
//! The list lags and has gaps, and the platform has outages. What was read last
//! stays in use until something newer is read; agents say themselves when they
//! leave, so a stale list costs a refused attempt, not a lost request.

use std::{collections::HashMap, rc::Rc, time::Duration};

use verbenaspool_coordination::keys;
use verbenaspool_state::{name::Name, upstream::Upstream};

use crate::{
    clock::Clock,
    platform::{Error, Store, driver::Backoff},
    shutdown::Signal,
};

/// How long one watch waits. Each counts as a call.
const WATCH: Duration = Duration::from_secs(5);

/// After so many watches without an event the list is read all the same, since
/// watches lose events.
const QUIET: u32 = 3;

/// Follows the list of a firm's upstream instances.
pub struct Follower {
    store: Rc<dyn Store>,
    prefix: String,
    /// The instances by key, with the version each was read at.
    known: HashMap<String, (u64, Option<Upstream>)>,
    since: u64,
    quiet: u32,
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
            since: 0,
            quiet: QUIET,
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
            match self.round().await {
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
    async fn round(&mut self) -> Result<Option<Vec<Upstream>>, Error> {
        if self.quiet >= QUIET {
            let changed = self.read().await?;
            self.quiet = 0;
            if changed {
                return Ok(Some(self.list()));
            }
        }
        let events = self.store.watch(&self.prefix, self.since, WATCH).await?;
        self.since = events.revision.max(self.since);
        self.quiet = if events.events.is_empty() {
            self.quiet + 1
        } else {
            QUIET
        };
        Ok(None)
    }

    /// Reads what changed; whether anything did.
    async fn read(&mut self) -> Result<bool, Error> {
        let listed = self.store.list(&self.prefix).await?;
        let before = self.known.len();
        self.known
            .retain(|key, _| listed.iter().any(|entry| entry.key == *key));
        let mut changed = self.known.len() != before;
        for entry in listed {
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
