//! Entries whose registries, or evacuated zones, have the same revision and different objects.
//!
//! Entries compare revisions to learn what is new. A copy that lacks a change, because the store or a
//! peer didn't pass it on, has the revision of the others and would never be corrected. Digests
//! therefore carry a hash of the objects, and the revision of the listing from which they follow.
//! While nobody knows whose objects are wrong, entries that watch the store list them again. All
//! others then take those of an entry that has just listed them (see [`Provenance`]).
//!
//! [`Provenance`]: verbenaspool_state::provenance::Provenance

use std::time::Duration;

use slog::warn;

use super::gateway::Gateway;

/// How long registries differ before an entry that watches the store lists its objects again.
const WATCHER_DELAY: Duration = Duration::from_millis(150);

/// How long they differ before another entry logs it.
const FOLLOWER_DELAY: Duration = Duration::from_millis(1_500);

/// Minimum interval between two corrections of an entry while registries go on differing, since each
/// costs a call to the store.
const MIN_CORRECTION_INTERVAL: Duration = Duration::from_secs(5);

/// The same if they were the same in between.
const MIN_RECURRENCE_INTERVAL: Duration = Duration::from_secs(1);

/// When registries began to differ, and what was done about it.
#[derive(Debug, Default)]
pub struct Divergence {
    since: Option<Duration>,
    /// When the registry was last corrected, and whether no peer's has differed since.
    corrected_at: Option<Duration>,
    is_resolved: bool,
}

impl Divergence {
    /// Records whether a peer's registry differs, and it isn't known which is right. Returns whether
    /// this entry has to correct its own.
    pub fn observe(&mut self, now: Duration, differs: bool, watches: bool) -> bool {
        if !differs {
            self.since = None;
            self.is_resolved = true;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let delay = if watches {
            WATCHER_DELAY
        } else {
            FOLLOWER_DELAY
        };
        let interval = if self.is_resolved {
            MIN_RECURRENCE_INTERVAL
        } else {
            MIN_CORRECTION_INTERVAL
        };
        let was_corrected = |at: Duration| now.saturating_sub(at) < interval;
        if now.saturating_sub(since) < delay || self.corrected_at.is_some_and(was_corrected) {
            return false;
        }
        self.corrected_at = Some(now);
        self.is_resolved = false;
        true
    }
}

impl Gateway {
    /// Records whether a peer's registry shows that this entry's is wrong. Both may be at the next
    /// revision, where nothing shows it, before the right one was fetched.
    pub fn refute_registry(&self) {
        let now = self.clock.now();
        let own = self.registry_provenance();
        let is_current = !self.is_registry_outdated();
        if is_current && self.peers.borrow().refutes_registry(now, own) {
            let mut registry = self.registry.borrow_mut();
            registry.refuted_at = registry.refuted_at.max(own.position.revision);
        }
    }

    /// Lists the registry again if peers have other objects at the same revision, and nobody knows
    /// whose are right.
    pub fn correct_registry(&self) {
        let now = self.clock.now();
        let own = self.registry_provenance();
        let differing = self.peers.borrow().conflicting_registries(now, own);
        let differs = differing > 0 && !self.is_registry_outdated();
        let watches = self.watches_store();
        let mut divergence = self.divergence.borrow_mut();
        if !divergence.observe(now, differs, watches) {
            return;
        }
        warn!(self.log, "registry differs from peers' at the same revision";
            "era" => own.position.era, "revision" => own.position.revision, "listed" => own.listed,
            "hash" => own.hash, "peers" => differing);
        if watches {
            self.relist_registry.notify_one();
        }
    }

    /// Lists the evacuated zones again if peers have others at the same revision, and nobody knows
    /// whose are right.
    pub fn correct_evacuations(&self) {
        let now = self.clock.now();
        let own = self.evacuations.borrow().provenance();
        let differing = self.peers.borrow().conflicting_evacuations(now, own);
        let watches = self.watches_store();
        let mut divergence = self.evacuation_divergence.borrow_mut();
        if !divergence.observe(now, differing > 0, watches) {
            return;
        }
        warn!(self.log, "evacuated zones differ from peers' at the same revision";
            "era" => own.position.era, "revision" => own.position.revision, "listed" => own.listed,
            "hash" => own.hash, "peers" => differing);
        if watches {
            self.relist_evacuations.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;
