//! Watches the store for changes of the configuration, the registry of upstreams and the
//! evacuated zones.
//!
//! Each of them has a long-polling watch, which returns changes within milliseconds, at some
//! entries of each zone. The others get changes from them, and so does an entry whose watch is
//! on a silent connection, until it is given up. A watch without an answer, or a peer that has a change
//! sooner, shows that the watches of other kinds may be on silent connections as well: all of them
//! are renewed then.

use std::{
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use slog::{info, warn};
use tokio::sync::Notify;
use verbenaspool_platform::{
    configuration, evacuation, registry as wire,
    store::{Change, Listing, Object, Stored, WATCH_TIMEOUT_MARGIN, WatchOutcome},
};
use verbenaspool_state::position::Position;
use verbenaspool_transport::platform::Error;

use super::{
    evacuation::Evacuations,
    gateway::Gateway,
    registry::{self, Snapshot, Source},
};

mod call;
mod wait;

use self::{
    call::Outcome,
    wait::{
        BATCH_INTERVAL, BATCH_INTERVAL_PER_ENTRY, MAX_BATCH_INTERVAL, next_batch_interval,
        watch_wait,
    },
};

/// Up to this wait of a watch, the next ones repeat it for [`MAX_WITHHELD_TIME`] if it brought no
/// changes. The store keeps its history for 20 s, and longer waits would exceed that.
const MAX_REPEATED_WAIT: Duration = Duration::from_secs(8);

/// How long the store may withhold a change from watches whose answers name a position after it.
const MAX_WITHHELD_TIME: Duration = Duration::from_millis(2_500);

/// Interval of checks whether a watch waits longer than it may, because entries before this one have
/// gone.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of checks whether this entry has to watch the store.
const ELECTION_INTERVAL: Duration = Duration::from_millis(50);

/// The first and the maximum delay after a failed call. Calls that the store rejects must be
/// retried within the time limit for changes, which is 2 s.
const RETRY_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(600)];

/// The first and the maximum interval between listings that follow each other without a watch that
/// was answered. A store that rejects each watch would otherwise be asked without pause.
const LISTING_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(1)];

/// How long an entry that doesn't watch the store waits for a peer's registry if its own is outdated.
/// As all entries of a large fleet start, the first digest of one that watches takes up to 3 s.
const MAX_OUTDATED_TIME: Duration = Duration::from_secs(10);

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
    /// The store's position up to which changes are known from it.
    position: Position,
    /// Whether the store answers, as far as is known.
    is_available: bool,
    /// What became of the last call to the store.
    last_call: Outcome,
    /// Whether the next watch was renewed before it was answered.
    is_renewed: bool,
    /// How long an outdated registry waits for a peer's before its objects are listed next.
    next_listing: Duration,
    /// When watches were answered without changes lately, and the positions that the answers named.
    unchanged: VecDeque<(Duration, Position)>,
    /// The losses of the store's history after which the objects were listed.
    history_losses: u64,
    /// When the objects were last listed, other than by an outdated listing.
    listed_at: Option<Duration>,
    /// The minimum interval until they are listed again.
    listing_interval: Duration,
    retry_interval: Duration,
    /// When the store last answered a call.
    answered_at: Option<Duration>,
    /// Delay of the next watch after the last change.
    batch_interval: Duration,
}

/// Why a watch has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchEnd {
    /// All objects must be listed again.
    Relist,
    /// Other entries watch the store.
    Replaced,
}

impl Follower {
    /// Creates a follower that has no objects yet.
    pub fn new(gateway: Rc<Gateway>, kind: Kind, relist: Rc<Notify>) -> Self {
        Self {
            gateway,
            kind,
            relist,
            position: Position::default(),
            is_available: false,
            last_call: Outcome::Answered,
            is_renewed: false,
            next_listing: MAX_OUTDATED_TIME,
            unchanged: VecDeque::new(),
            history_losses: 0,
            listed_at: None,
            listing_interval: LISTING_INTERVALS[0],
            retry_interval: RETRY_INTERVALS[0],
            answered_at: None,
            batch_interval: BATCH_INTERVAL,
        }
    }

    /// Follows objects for as long as the process runs: lists them once, and watches them
    /// while this entry is one of those that do.
    pub async fn run(mut self) {
        // A listing that may be outdated costs a tenth of another one. Changes since then
        // come from peers, or with the first watch.
        while !self.has_objects() && !self.list(true).await {}
        let mut listed = false;
        loop {
            while !self.gateway.watches_store() {
                self.gateway.clock.sleep(ELECTION_INTERVAL).await;
                self.replace_outdated().await;
            }
            let complete = listed && !self.is_outdated();
            if !complete && !self.list(false).await {
                continue;
            }
            listed = self.watch(!complete).await == WatchEnd::Replaced;
        }
    }

    /// Whether the objects are from an outdated snapshot, to which no changes may be applied.
    fn is_outdated(&self) -> bool {
        self.kind == Kind::Registry && self.gateway.is_registry_outdated()
    }

    /// Lists the registry if it is outdated and no peer has a newer one.
    async fn replace_outdated(&mut self) {
        let outdated_for = self.gateway.registry_outdated_for();
        if outdated_for.is_zero() {
            self.next_listing = MAX_OUTDATED_TIME;
        }
        if self.kind == Kind::Registry && outdated_for >= self.next_listing {
            self.next_listing = outdated_for + MAX_OUTDATED_TIME;
            self.list(false).await;
        }
    }

    /// Whether the gateway has objects of this kind, from the store or a peer.
    fn has_objects(&self) -> bool {
        match self.kind {
            Kind::Configuration => self.gateway.table().is_some(),
            Kind::Registry => self.gateway.has_registry(),
            Kind::Evacuations => self.gateway.evacuations.borrow().position().is_known(),
        }
    }

    /// Lists all objects and publishes them. Returns whether the store answered.
    async fn list(&mut self, stale: bool) -> bool {
        if !stale {
            self.pace_listings().await;
        }
        self.gateway.store.era.learn(self.watch_position().era);
        let history_losses = self.gateway.history_losses.get();
        let started = self.gateway.clock.now();
        let listing = self
            .gateway
            .store
            .list(self.kind.object_kind(), stale)
            .await;
        match listing {
            Ok(Listing {
                objects,
                mut position,
            }) => {
                self.record_success();
                if self.watch_position().is_known() && position.era > self.watch_position().era {
                    self.record_restore();
                }
                if stale {
                    // The state of an outdated listing may be older than its revision says.
                    let newest = objects.values().map(|object| object.revision).max();
                    position.revision = newest.unwrap_or(1);
                }
                self.position = position;
                self.unchanged.clear();
                self.history_losses = history_losses;
                let source = if stale {
                    Source::OutdatedListing
                } else {
                    Source::Listing
                };
                self.publish(objects, source);
                stale || !self.is_surpassed(position)
            }
            Err(why) => {
                let waited = self.gateway.clock.now().saturating_sub(started);
                self.back_off(&why, waited).await;
                false
            }
        }
    }

    /// Whether a peer's registry arrived while the objects were listed at this position, and is newer.
    /// It doesn't follow from the listing, and may be the one that the listing was to correct.
    fn is_surpassed(&self, listed: Position) -> bool {
        let registry = self.gateway.registry_provenance();
        self.kind == Kind::Registry
            && registry.position > listed
            && registry.listed < listed.revision
    }

    /// Waits until the objects may be listed again.
    async fn pace_listings(&mut self) {
        let now = self.gateway.clock.now();
        if let Some(listed_at) = self.listed_at {
            let next = listed_at + self.listing_interval;
            self.gateway.clock.sleep(next.saturating_sub(now)).await;
            self.listing_interval = (self.listing_interval * 2).min(LISTING_INTERVALS[1]);
        }
        self.listed_at = Some(self.gateway.clock.now());
    }

    /// Records that the store came back from an older copy. Registrations that the copy lacks are
    /// written again like those that expired during an outage.
    fn record_restore(&mut self) {
        let now = self.gateway.clock.now();
        self.gateway.outage.borrow_mut().record_restore(now);
    }

    /// The position to watch from. Peers may have delivered newer objects.
    fn watch_position(&self) -> Position {
        self.position.max(match self.kind {
            Kind::Configuration => Position::default(),
            Kind::Registry => self.gateway.registry_position(),
            Kind::Evacuations => self.gateway.evacuations.borrow().position(),
        })
    }

    /// Watches for changes until all objects must be listed again or other entries watch. The changes
    /// up to now are known if the objects were just listed.
    async fn watch(&mut self, is_listed: bool) -> WatchEnd {
        let mut is_current = is_listed;
        if !is_listed {
            self.history_losses = self.gateway.history_losses.get();
        }
        loop {
            if !self.gateway.watches_store() {
                return WatchEnd::Replaced;
            }
            if self.gateway.history_losses.get() > self.history_losses {
                return WatchEnd::Relist;
            }
            let now = self.gateway.clock.now();
            let watchers = self.gateway.peers.borrow().watchers(now);
            let wait = self.next_wait();
            let started = now;
            let from = self.watch_position();
            self.gateway.store.era.learn(from.era);
            if self.gateway.store.era.known() > from.era {
                self.spread_listings(watchers).await;
                return WatchEnd::Relist;
            }
            let watch = self
                .gateway
                .store
                .watch(self.kind.object_kind(), from, wait);
            let (relist, restored) = (self.relist.notified(), self.gateway.restored.notified());
            let history_lost = self.gateway.history_lost.notified();
            let renewed = self.renewed(started, wait);
            let watched = monoio::select! {
                watched = watch => watched,
                () = relist => return WatchEnd::Relist,
                () = history_lost => return WatchEnd::Relist,
                () = renewed => {
                    self.is_renewed = true;
                    continue;
                }
                // The watch may be on a connection that the store has abandoned.
                () = restored => {
                    self.spread_listings(watchers).await;
                    return WatchEnd::Relist;
                }
            };
            match watched {
                Ok(WatchOutcome::Changes(changes, position)) => {
                    self.record_success();
                    self.listing_interval = LISTING_INTERVALS[0];
                    is_current = true;
                    self.advance(position, changes.is_empty() && wait <= MAX_REPEATED_WAIT);
                    let waited = self.gateway.clock.now().saturating_sub(started);
                    if !changes.is_empty() {
                        self.apply(changes);
                        self.batch_interval =
                            next_batch_interval(self.batch_interval, waited, watchers);
                        self.gateway.clock.sleep(self.batch_interval).await;
                    } else if waited < BATCH_INTERVAL {
                        self.gateway.clock.sleep(BATCH_INTERVAL).await;
                    }
                }
                Ok(WatchOutcome::HistoryExpired) => {
                    info!(self.gateway.log, "store has compacted its history; listing all objects";
                        "kind" => self.kind.object_kind(), "revision" => from.revision);
                    self.gateway
                        .record_store_answer(self.last_call.lacks_answer());
                    if is_current {
                        self.report_history_loss();
                    }
                    return WatchEnd::Relist;
                }
                Ok(WatchOutcome::Restored) => self.gateway.observe_store_era(),
                Err(why) => {
                    let waited = self.gateway.clock.now().saturating_sub(started);
                    let was_cut_off = waited < wait + WATCH_TIMEOUT_MARGIN / 2;
                    self.record_failed_watch(from, [wait, waited], was_cut_off, &why);
                    self.on_watch_failed(&why, waited, was_cut_off).await;
                }
            }
        }
    }

    /// How long the next watch waits. One that follows a call without an answer doesn't wait, to know soon
    /// whether the store answers.
    fn next_wait(&mut self) -> Duration {
        let is_renewed = std::mem::take(&mut self.is_renewed);
        if is_renewed || self.last_call.lacks_answer() {
            return Duration::ZERO;
        }
        let now = self.gateway.clock.now();
        let peers = self.gateway.peers.borrow();
        let wait = watch_wait(peers.watch_rank(now), peers.watchers(now), rand::random());
        // The silence of the store counts, which began with its last answer.
        let elapsed = self
            .answered_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        wait.saturating_sub(elapsed.min(MAX_BATCH_INTERVAL))
    }

    /// Completes when a watch should be renewed: its connection may have gone silent, or its entry comes
    /// before others by now and mustn't wait for so long.
    async fn renewed(&self, started: Duration, wait: Duration) {
        if wait.is_zero() {
            return std::future::pending().await;
        }
        let is_overdue = async {
            loop {
                self.gateway.clock.sleep(OVERDUE_INTERVAL).await;
                let now = self.gateway.clock.now();
                let peers = self.gateway.peers.borrow();
                let max = watch_wait(peers.watch_rank(now), peers.watchers(now), 1.0);
                if now.saturating_sub(started) >= max + WATCH_TIMEOUT_MARGIN {
                    break;
                }
            }
        };
        monoio::select! {
            () = self.gateway.renew_watches.notified() => {}
            () = is_overdue => {}
        }
    }

    /// Records the position of an answer to a watch. If it is to be repeated, the next ones ask for the
    /// changes since an earlier one, so that changes that the store withheld meanwhile come then.
    fn advance(&mut self, answered: Position, repeats: bool) {
        if !repeats {
            self.unchanged.clear();
            self.position = self.position.max(answered);
            return;
        }
        let now = self.gateway.clock.now();
        self.unchanged.push_back((now, answered));
        while let Some(&(at, position)) = self.unchanged.front()
            && now.saturating_sub(at) >= MAX_WITHHELD_TIME
        {
            self.position = self.position.max(position);
            self.unchanged.pop_front();
        }
    }

    /// Has the followers of all kinds list their objects again, unless another one did so for the same
    /// loss of the store's history. A watch that waits meanwhile may miss what changed before.
    fn report_history_loss(&self) {
        let losses = &self.gateway.history_losses;
        if losses.get() == self.history_losses {
            losses.set(losses.get() + 1);
            self.gateway.history_lost.notify_waiters();
        }
    }

    /// Waits for a part of the time in which entries list the objects after the store came back
    /// from a copy. All of them learn of that at the same time.
    async fn spread_listings(&self, watchers: usize) {
        let watchers = u32::try_from(watchers).unwrap_or(u32::MAX);
        let spread = BATCH_INTERVAL_PER_ENTRY.saturating_mul(watchers);
        let delay = spread.min(MAX_BATCH_INTERVAL).mul_f32(rand::random());
        self.gateway.clock.sleep(delay).await;
    }

    /// Handles a failed watch, which was cut off or got no answer in time. The store may cut off one that
    /// is waiting at any time, and a connection may go silent; only the next call shows whether the
    /// store is unavailable: upstreams that are missing after an outage are kept.
    async fn on_watch_failed(&mut self, why: &Error, waited: Duration, was_cut_off: bool) {
        if self.last_call != Outcome::Answered {
            return self.back_off(why, waited).await;
        }
        if !was_cut_off {
            self.set_last_call(Outcome::Unanswered);
            self.gateway.renew_watches.notify_waiters();
            return;
        }
        self.set_last_call(Outcome::CutOff);
        let now = self.gateway.clock.now();
        self.gateway.outage.borrow_mut().record_contact(now);
        info!(self.gateway.log, "watch cut off; watching again";
            "kind" => self.kind.object_kind(), "reason" => why.to_string());
        self.gateway.clock.sleep(RETRY_INTERVALS[0]).await;
    }

    /// Applies changes to the objects and publishes the result.
    fn apply(&mut self, changes: Vec<Change>) {
        let mut objects = match self.kind {
            Kind::Configuration => BTreeMap::new(),
            Kind::Registry => self.gateway.registry_objects(),
            Kind::Evacuations => self.gateway.evacuations.borrow().objects(),
        };
        for change in changes {
            change.apply(&mut objects);
        }
        self.publish(objects, Source::Watch);
    }

    /// Passes the objects to the gateway.
    fn publish(&self, objects: BTreeMap<String, Object>, source: Source) {
        match self.kind {
            Kind::Configuration => {
                if let Some(object) = objects.get(configuration::OBJECT_NAME) {
                    let stored = Stored {
                        object: object.clone(),
                        era: self.position.era,
                    };
                    self.gateway.observe_configuration(&stored);
                    self.gateway.apply_configuration(&stored, source);
                    if source != Source::OutdatedListing {
                        self.gateway.confirm_configuration();
                    }
                }
            }
            Kind::Evacuations => {
                let evacuations = Evacuations {
                    revision: self.position.revision,
                    era: self.position.era,
                    zones: objects.into_keys().collect(),
                    listed: self.listed(source, self.gateway.evacuations.borrow().listed),
                };
                self.gateway.update_evacuations(evacuations, source);
            }
            Kind::Registry => {
                // Without an outage no registration expired wrongly, so missing upstreams
                // have stopped.
                let ended_at = self.gateway.outage.borrow().ended_at();
                let retain_missing_until =
                    ended_at.map_or(Duration::ZERO, registry::missing_deadline);
                let snapshot = Snapshot {
                    objects: &objects,
                    position: self.position,
                    outdated: source == Source::OutdatedListing,
                    listed: self.listed(source, self.gateway.registry_provenance().listed),
                    source,
                };
                self.gateway
                    .update_registry(retain_missing_until, &snapshot);
            }
        }
    }

    /// The revision of the listing from which objects of a source follow, given that of the objects
    /// before.
    fn listed(&self, source: Source, before: u64) -> u64 {
        match source {
            Source::Listing => self.position.revision,
            Source::OutdatedListing => 0,
            Source::Watch | Source::Peer(_) => before,
        }
    }

    /// Records that the store answered a call.
    fn record_success(&mut self) {
        let now = self.gateway.clock.now();
        let before = self.answered_at.replace(now);
        let silence = before.map(|at| now.saturating_sub(at).as_secs_f64() * 1e3);
        self.gateway.observe_store_era();
        self.gateway.log_unnamed_objects();
        self.gateway
            .record_store_answer(self.last_call.lacks_answer());
        self.set_last_call(Outcome::Answered);
        self.retry_interval = RETRY_INTERVALS[0];
        if !std::mem::replace(&mut self.is_available, true) {
            info!(self.gateway.log, "store reachable";
                "kind" => self.kind.object_kind(), "silent_ms" => silence);
        }
    }

    /// Records a call to the store that failed after some time, and waits before the next one. After the
    /// first failure that time counts as part of the delay.
    async fn back_off(&mut self, why: &Error, waited: Duration) {
        let is_first = self.last_call != Outcome::Failed;
        self.set_last_call(Outcome::Failed);
        self.listing_interval = LISTING_INTERVALS[0];
        if std::mem::replace(&mut self.is_available, false) {
            let now = self.gateway.clock.now();
            let watching = self.gateway.peers.borrow().watching_peers(now);
            warn!(self.gateway.log, "store unreachable; keeping the known objects";
                "kind" => self.kind.object_kind(), "reason" => why.to_string(),
                "watching_peers" => watching);
        }
        let retry_interval = self.retry_interval;
        self.retry_interval = (retry_interval * 2).min(RETRY_INTERVALS[1]);
        let elapsed = if is_first { waited } else { Duration::ZERO };
        let delay = retry_interval.saturating_sub(elapsed);
        self.gateway.clock.sleep(delay).await;
    }
}

#[cfg(test)]
mod tests;
