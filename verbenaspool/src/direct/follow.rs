//! Watches the store for changes of the configuration, the registry of upstreams and the
//! evacuated zones.
//!
//! Each of them has a long-polling watch, which returns changes within milliseconds. A
//! watch on a dead connection is detected by its timeout. Until then the entry gets the
//! changes from peers.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use slog::{info, warn};
use tokio::sync::Notify;
use verbenaspool_platform::{
    configuration, evacuation, registry as wire,
    store::{Change, Listing, Object, WatchOutcome},
};
use verbenaspool_transport::platform::Error;

use super::{evacuation::Evacuations, gateway::Gateway, registry};

/// How long a watch waits for changes if there are few entries. A dead connection to the
/// store is detected within a second after it. It isn't shorter because each call to the
/// store has a cost.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum wait of a watch with any number of entries. This is the limit of the store.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// With up to this number of entries, watches don't wait longer than for a single one.
const INDEPENDENT_WATCHERS: u32 = 4;

/// Delay of the next watch after a change. Changes come in bursts, for example when all
/// upstreams start at the same time, and each watch that returns one has a cost. All
/// changes must be active within 2 s.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);

/// Each entry adds this to the maximum delay during a burst of changes, because each watch
/// is repeated by every entry.
const BATCH_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(10);

/// Maximum delay during a burst of changes with any number of entries.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(600);

/// The first and the maximum delay after a failed call. Calls that the store rejects must be
/// retried within the time limit for changes, which is 2 s.
const RETRY_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(600)];

/// The kind of objects to watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The configuration.
    Configuration,
    /// The registry of upstreams.
    Registry,
    /// The evacuated zones.
    Evacuations,
}

impl Kind {
    /// The name of the kind in the store.
    fn object_kind(self) -> &'static str {
        match self {
            Self::Configuration => configuration::OBJECT_KIND,
            Self::Registry => wire::OBJECT_KIND,
            Self::Evacuations => evacuation::OBJECT_KIND,
        }
    }
}

/// Watches one kind of objects and passes changes to the gateway.
pub struct Follower {
    gateway: Rc<Gateway>,
    kind: Kind,
    /// Notified when all objects must be listed again.
    relist: Rc<Notify>,
    objects: BTreeMap<String, Object>,
    revision: u64,
    /// Since when the store has been answering, or `None` during an outage.
    available_since: Option<Duration>,
    /// Whether a call to the store has failed since the process started.
    had_outage: bool,
    retry_interval: Duration,
    /// Delay of the next watch after the last change.
    batch_interval: Duration,
}

impl Follower {
    /// Creates a follower that has no objects yet.
    pub fn new(gateway: Rc<Gateway>, kind: Kind, relist: Rc<Notify>) -> Self {
        Self {
            gateway,
            kind,
            relist,
            objects: BTreeMap::new(),
            revision: 0,
            available_since: None,
            had_outage: false,
            retry_interval: RETRY_INTERVALS[0],
            batch_interval: BATCH_INTERVAL,
        }
    }

    /// Lists and watches objects for as long as the process runs.
    pub async fn run(mut self) {
        loop {
            match self
                .gateway
                .store
                .list(self.kind.object_kind(), false)
                .await
            {
                Ok(Listing { objects, revision }) => {
                    self.record_success();
                    self.objects = objects;
                    self.revision = revision;
                    self.publish();
                    self.watch().await;
                }
                Err(why) => self.back_off(&why).await,
            }
        }
    }

    /// Watches for changes until all objects must be listed again.
    async fn watch(&mut self) {
        loop {
            let now = self.gateway.clock.now();
            let entries = self.gateway.peers.borrow().live_entries(now);
            let wait = watch_wait(entries, rand::random());
            let started = now;
            let watch = self
                .gateway
                .store
                .watch(self.kind.object_kind(), self.revision, wait);
            let relist = self.relist.notified();
            let watched = monoio::select! {
                watched = watch => watched,
                () = relist => return,
            };
            match watched {
                Ok(WatchOutcome::Changes(changes, revision)) => {
                    self.record_success();
                    self.revision = self.revision.max(revision);
                    if !changes.is_empty() {
                        self.apply(changes);
                        let waited = self.gateway.clock.now().saturating_sub(started);
                        self.batch_interval =
                            next_batch_interval(self.batch_interval, waited, entries);
                        self.gateway.clock.sleep(self.batch_interval).await;
                    }
                }
                Ok(WatchOutcome::HistoryExpired) => {
                    info!(self.gateway.log, "store has compacted its history; listing all objects";
                        "kind" => self.kind.object_kind(), "revision" => self.revision);
                    return;
                }
                Err(why) => {
                    self.back_off(&why).await;
                    return;
                }
            }
        }
    }

    /// Applies changes to the objects and publishes the result.
    fn apply(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(object) => {
                    self.objects.insert(object.name.clone(), object);
                }
                Change::Removed(name) => {
                    self.objects.remove(&name);
                }
            }
        }
        self.publish();
    }

    /// Passes the objects to the gateway.
    fn publish(&self) {
        match self.kind {
            Kind::Configuration => {
                if let Some(object) = self.objects.get(configuration::OBJECT_NAME) {
                    self.gateway.observe_configuration(object);
                    self.gateway.apply_configuration(object, "store");
                }
            }
            Kind::Evacuations => {
                let zones = self.objects.keys().cloned();
                let evacuations = Evacuations {
                    revision: self.revision,
                    zones: zones.collect(),
                };
                self.gateway.update_evacuations(evacuations, "store");
            }
            Kind::Registry => {
                let available_since = self
                    .available_since
                    .unwrap_or_else(|| self.gateway.clock.now());
                // Without an outage no registration expired wrongly, so missing upstreams
                // have stopped.
                let retain_missing_until = if self.had_outage {
                    registry::missing_deadline(available_since)
                } else {
                    Duration::ZERO
                };
                self.gateway.update_registry(
                    retain_missing_until,
                    self.revision,
                    &self.objects,
                    "store",
                );
            }
        }
    }

    /// Records that the store answered a call.
    fn record_success(&mut self) {
        self.retry_interval = RETRY_INTERVALS[0];
        if self.available_since.is_none() {
            self.available_since = Some(self.gateway.clock.now());
            info!(self.gateway.log, "store reachable"; "kind" => self.kind.object_kind());
        }
    }

    /// Records a failed call to the store, and waits before the next one.
    async fn back_off(&mut self, why: &Error) {
        self.had_outage = true;
        if self.available_since.take().is_some() {
            warn!(self.gateway.log, "store unreachable; keeping the known objects";
                "kind" => self.kind.object_kind(), "reason" => why.to_string());
        }
        let retry_interval = self.retry_interval;
        self.retry_interval = (retry_interval * 2).min(RETRY_INTERVALS[1]);
        self.gateway.clock.sleep(retry_interval).await;
    }
}

/// The delay after a change, given the previous delay, how long the watch waited for the
/// change, and the number of entries. The delay doubles during a burst of changes.
fn next_batch_interval(previous: Duration, waited: Duration, entries: usize) -> Duration {
    if waited >= previous {
        return BATCH_INTERVAL;
    }
    let entries = u32::try_from(entries).unwrap_or(u32::MAX).saturating_sub(1);
    let max = BATCH_INTERVAL + BATCH_INTERVAL_PER_ENTRY.saturating_mul(entries);
    (previous * 2).min(max.min(MAX_BATCH_INTERVAL))
}

/// How long a watch waits for changes, given the number of entries including this one.
/// `random` is a number from 0 to 1.
///
/// Every entry renews its watches, so the calls to the store would grow with the number of
/// entries. An entry that misses a change learns of it from its peers' digests, so a single
/// entry that detects a dead connection soon is enough. The wait therefore grows with the
/// number of entries, and all together renew watches as often as a few entries.
///
/// A change ends the watches of all entries at the same time. The next waits are spread,
/// starting with the shortest. Otherwise connections that die at that moment would all be
/// detected at the same time, and late.
fn watch_wait(entries: usize, random: f32) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let [min, usual] = [0.75, 0.875].map(|factor| WATCH_TIMEOUT.mul_f32(factor));
    let mean = usual.saturating_mul(entries.max(INDEPENDENT_WATCHERS)) / INDEPENDENT_WATCHERS;
    let max = (mean * 2).saturating_sub(min).min(MAX_WATCH_WAIT);
    min + max.saturating_sub(min).mul_f32(random)
}

#[cfg(test)]
mod tests;
