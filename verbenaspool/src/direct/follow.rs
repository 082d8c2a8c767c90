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
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Entries that watch as if each were by itself.
const INDEPENDENT_WATCHERS: u32 = 4;

/// The pause behind a change. Changes come in rows, as when all upstreams start at once,
/// and each watch that brings one is paid for; all of them must be in force within 2 s.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);

/// What each entry adds to the longest pause in a row of changes: each of them is paid
/// for by every entry.
const BATCH_PER_ENTRY: Duration = Duration::from_millis(10);

/// The longest pause in a row of changes, however many entries there are.
const LONGEST_BATCH: Duration = Duration::from_millis(600);

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
    fn name(self) -> &'static str {
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
    wake: Rc<Notify>,
    objects: BTreeMap<String, Object>,
    revision: u64,
    /// Since when the store answers without a break; none while it doesn't.
    back: Option<Duration>,
    /// Whether it was away since the process began.
    was_away: bool,
    pause: Duration,
    /// The pause after the next change.
    batch: Duration,
}

impl Follower {
    /// A follower that has seen nothing.
    pub fn new(gateway: Rc<Gateway>, kind: Kind, wake: Rc<Notify>) -> Self {
        Self {
            gateway,
            kind,
            wake,
            objects: BTreeMap::new(),
            revision: 0,
            back: None,
            was_away: false,
            pause: RETRY_INTERVALS[0],
            batch: BATCH_INTERVAL,
        }
    }

    /// Follows.
    pub async fn run(mut self) {
        loop {
            match self.gateway.store.list(self.kind.name(), false).await {
                Ok(Listing { objects, revision }) => {
                    self.reached();
                    self.objects = objects;
                    self.revision = revision;
                    self.tell();
                    self.watch().await;
                }
                Err(why) => self.failed(&why).await,
            }
        }
    }

    /// Watches until everything must be listed anew.
    async fn watch(&mut self) {
        loop {
            let now = self.gateway.clock.now();
            let entries = self.gateway.peers.borrow().entries(now);
            let wait = wait(entries, rand::random());
            let began = now;
            let watch = self
                .gateway
                .store
                .watch(self.kind.name(), self.revision, wait);
            let woken = self.wake.notified();
            let watched = monoio::select! {
                watched = watch => watched,
                () = woken => return,
            };
            match watched {
                Ok(Watched::Changes(changes, revision)) => {
                    self.reached();
                    self.revision = self.revision.max(revision);
                    if !changes.is_empty() {
                        self.change(changes);
                        let waited = self.gateway.clock.now().saturating_sub(began);
                        self.batch = batch(self.batch, waited, entries);
                        self.gateway.clock.sleep(self.batch).await;
                    }
                }
                Ok(Watched::Forgotten) => {
                    info!(self.gateway.log, "Entry: The store forgot its history; listing anew.";
                        "kind" => self.kind.name(), "revision" => self.revision);
                    return;
                }
                Err(why) => {
                    self.failed(&why).await;
                    return;
                }
            }
        }
    }

    /// Takes changes over.
    fn change(&mut self, changes: Vec<Change>) {
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
        self.tell();
    }

    /// Tells the gateway how things are.
    fn tell(&self) {
        match self.kind {
            Kind::Configuration => {
                if let Some(object) = self.objects.get(configuration::NAME) {
                    self.gateway.observe_status(object);
                    self.gateway.adopt(object, "store");
                }
            }
            Kind::Registry => {
                let back = self.back.unwrap_or_else(|| self.gateway.clock.now());
                // Without an outage nothing has lapsed: what is missing is gone.
                let settled = if self.was_away {
                    registry::settled(back)
                } else {
                    Duration::ZERO
                };
                self.gateway
                    .enlist(settled, self.revision, &self.objects, "store");
            }
        }
    }

    /// The store has answered.
    fn reached(&mut self) {
        self.pause = RETRY_INTERVALS[0];
        if self.back.is_none() {
            self.back = Some(self.gateway.clock.now());
            info!(self.gateway.log, "Entry: The store answers."; "kind" => self.kind.name());
        }
    }

    /// The store has not answered: waits before the next call.
    async fn failed(&mut self, why: &Error) {
        self.was_away = true;
        if self.back.take().is_some() {
            warn!(self.gateway.log, "Entry: The store doesn't answer; what is known stays in force.";
                "kind" => self.kind.name(), "reason" => why.to_string());
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(RETRY_INTERVALS[1]);
        self.gateway.clock.sleep(pause).await;
    }
}

/// The pause behind a change that a watch waited so long for, before so many entries, if
/// it was so long after the one before: longer while one change follows the other.
fn batch(before: Duration, waited: Duration, entries: usize) -> Duration {
    if waited >= before {
        return BATCH_INTERVAL;
    }
    let entries = u32::try_from(entries).unwrap_or(u32::MAX).saturating_sub(1);
    let most = BATCH_INTERVAL + BATCH_PER_ENTRY.saturating_mul(entries);
    (before * 2).min(most.min(LONGEST_BATCH))
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
fn wait(entries: usize, draw: f32) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    let [least, usual] = [0.75, 0.875].map(|part| WATCH_TIMEOUT.mul_f32(part));
    let mean = usual.saturating_mul(entries.max(INDEPENDENT_WATCHERS)) / INDEPENDENT_WATCHERS;
    let most = (mean * 2).saturating_sub(least).min(LONGEST_WAIT);
    least + most.saturating_sub(least).mul_f32(draw)
}

#[cfg(test)]
mod tests;
