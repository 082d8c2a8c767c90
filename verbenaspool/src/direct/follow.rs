//! Following the store: the configuration and the registry of upstreams.
//!
//! One long watch each brings changes within milliseconds. A watch that hangs is
//! found by its timeout, and what it missed meanwhile comes from peers.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use slog::{info, warn};
use tokio::sync::Notify;
use verbenaspool_platform::{
    configuration, registry as wire,
    store::{Change, Listing, Object, Watched},
};
use verbenaspool_transport::platform::Error;

use super::{gateway::Gateway, registry};

/// How long a watch waits at an entry by itself. A connection to the store that fell
/// silent is found within this and a second; each call is paid for, so it isn't
/// shorter.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// The most that a watch waits, however many entries there are: the store's own bound.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Entries that watch as if each were by itself.
const INDEPENDENT_WATCHERS: u32 = 4;

/// The pause behind a change. Changes come in rows, as when all upstreams start at once,
/// and each watch that brings one is paid for; all of them must be in force within 2 s.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);

/// What each entry adds to the longest pause in a row of changes: each of them is paid
/// for by every entry.
const BATCH_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(10);

/// The longest pause in a row of changes, however many entries there are.
const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(600);

/// The pause after a call that failed, at first and at most. What the store
/// refuses must be asked for again within the bound on changes, which is 2 s.
const RETRY_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(600)];

/// What is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The configuration.
    Configuration,
    /// The registry of upstreams.
    Registry,
}

impl Kind {
    /// The kind of its objects.
    fn object_kind(self) -> &'static str {
        match self {
            Self::Configuration => configuration::KIND,
            Self::Registry => wire::KIND,
        }
    }
}

/// Follows one kind of objects for as long as the process runs.
pub struct Follower {
    gateway: Rc<Gateway>,
    kind: Kind,
    /// Wakes the follower to list everything anew.
    relist: Rc<Notify>,
    objects: BTreeMap<String, Object>,
    revision: u64,
    /// Since when the store answers without a break; none while it doesn't.
    available_since: Option<Duration>,
    /// Whether it was away since the process began.
    had_outage: bool,
    retry_interval: Duration,
    /// The pause after the next change.
    batch_interval: Duration,
}

impl Follower {
    /// A follower that has seen nothing.
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

    /// Follows.
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

    /// Watches until everything must be listed anew.
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
                Ok(Watched::Changes(changes, revision)) => {
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
                Ok(Watched::Forgotten) => {
                    info!(self.gateway.log, "Entry: The store forgot its history; listing anew.";
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

    /// Takes changes over.
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

    /// Tells the gateway how things are.
    fn publish(&self) {
        match self.kind {
            Kind::Configuration => {
                if let Some(object) = self.objects.get(configuration::NAME) {
                    self.gateway.observe_configuration(object);
                    self.gateway.apply_configuration(object, "store");
                }
            }
            Kind::Registry => {
                let available_since = self
                    .available_since
                    .unwrap_or_else(|| self.gateway.clock.now());
                // Without an outage nothing has lapsed: what is missing is gone.
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

    /// The store has answered.
    fn record_success(&mut self) {
        self.retry_interval = RETRY_INTERVALS[0];
        if self.available_since.is_none() {
            self.available_since = Some(self.gateway.clock.now());
            info!(self.gateway.log, "Entry: The store answers."; "kind" => self.kind.object_kind());
        }
    }

    /// The store has not answered: waits before the next call.
    async fn back_off(&mut self, why: &Error) {
        self.had_outage = true;
        if self.available_since.take().is_some() {
            warn!(self.gateway.log, "Entry: The store doesn't answer; what is known stays in force.";
                "kind" => self.kind.object_kind(), "reason" => why.to_string());
        }
        let retry_interval = self.retry_interval;
        self.retry_interval = (retry_interval * 2).min(RETRY_INTERVALS[1]);
        self.gateway.clock.sleep(retry_interval).await;
    }
}

/// The pause behind a change that a watch waited so long for, before so many entries, if
/// it was so long after the one before: longer while one change follows the other.
fn next_batch_interval(previous: Duration, waited: Duration, entries: usize) -> Duration {
    if waited >= previous {
        return BATCH_INTERVAL;
    }
    let entries = u32::try_from(entries).unwrap_or(u32::MAX).saturating_sub(1);
    let max = BATCH_INTERVAL + BATCH_INTERVAL_PER_ENTRY.saturating_mul(entries);
    (previous * 2).min(max.min(MAX_BATCH_INTERVAL))
}

/// How long a watch waits before so many entries, this one included; `draw` from 0 to
/// 1 spreads them.
///
/// Load: each entry renews its watches, so calls to the store grow with the entries.
/// One that misses a change hears of it from the digests of its peers, so it is enough
/// that one of them finds silent connections soon: together they renew a watch as often
/// as a few entries by themselves. Each change ends all watches in one moment, so the
/// next ones are spread from the shortest wait on, or all connections that fell silent
/// then would be found together, and late.
fn watch_wait(entries: usize, draw: f32) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let [min, usual] = [0.75, 0.875].map(|factor| WATCH_TIMEOUT.mul_f32(factor));
    let mean = usual.saturating_mul(entries.max(INDEPENDENT_WATCHERS)) / INDEPENDENT_WATCHERS;
    let max = (mean * 2).saturating_sub(min).min(MAX_WATCH_WAIT);
    min + max.saturating_sub(min).mul_f32(draw)
}

#[cfg(test)]
mod tests;
