//! Entries whose registries have the same revision and different objects.
//!
//! Entries compare revisions to learn what is new. A copy that lacks a change, because the store or a
//! peer didn't pass it on, has the revision of the others and would never be corrected. Digests
//! therefore carry a hash of the objects. Nobody can tell whose are wrong: entries that watch the
//! store list them again, and after that the others compare theirs with those.

use std::time::Duration;

use slog::warn;

use super::gateway::Gateway;

/// How long registries differ before an entry that watches the store lists its objects again. A
/// listing of several pages may have newer objects than its revision says.
const WATCHER_DELAY: Duration = Duration::from_millis(300);

/// The same for the other entries, which then take the registry of one that watches.
const FOLLOWER_DELAY: Duration = Duration::from_millis(1_500);

/// Minimum interval between two corrections of an entry, since each may cost a call to the store.
const MIN_CORRECTION_INTERVAL: Duration = Duration::from_secs(5);

/// When registries began to differ, and what was done about it.
#[derive(Debug, Default)]
pub struct Divergence {
    since: Option<Duration>,
    corrected_at: Option<Duration>,
}

impl Divergence {
    /// Records whether a peer's registry differs. Returns whether this entry has to correct its own.
    pub fn observe(&mut self, now: Duration, differs: bool, watches: bool) -> bool {
        if !differs {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let delay = if watches {
            WATCHER_DELAY
        } else {
            FOLLOWER_DELAY
        };
        let was_corrected = |at: Duration| now.saturating_sub(at) < MIN_CORRECTION_INTERVAL;
        if now.saturating_sub(since) < delay || self.corrected_at.is_some_and(was_corrected) {
            return false;
        }
        self.corrected_at = Some(now);
        true
    }
}

impl Gateway {
    /// Corrects the registry if peers have other objects at the same revision.
    pub fn correct_registry(&self) {
        let now = self.clock.now();
        let position = self.registry_position();
        let peers = self.peers.borrow();
        let differing = peers.differing_registries(now, position, self.registry_hash());
        drop(peers);
        let differs = differing > 0 && !self.is_registry_outdated();
        let watches = self.watches_store();
        let mut divergence = self.divergence.borrow_mut();
        if !divergence.observe(now, differs, watches) {
            return;
        }
        warn!(self.log, "registry differs from peers' at the same revision";
            "era" => position.era, "revision" => position.revision, "hash" => self.registry_hash(), "peers" => differing);
        if watches {
            self.relist_registry.notify_one();
        } else {
            self.distrust_registry();
        }
    }
}

#[cfg(test)]
mod tests;
