//! A store that comes back from an older copy.
//!
//! It has lost what it acknowledged since the copy was made, and gives out the revisions after that
//! again, for other changes. It says so by its era, which rises. Positions of an earlier era are
//! older than all of the new one: entries list all objects again, and take nothing from the earlier
//! one any more. What the copy lacks is in force until it is written again: a configuration until
//! there is one of the same or a later version, an upstream or an evacuation for a time.

use slog::warn;

use super::gateway::Gateway;

impl Gateway {
    /// Notices a new era of the store, and has the followers list all objects again.
    pub fn observe_store_era(&self) {
        let era = self.store.era.known();
        let before = self.store_era.replace(era);
        if era > before && before > 0 {
            warn!(self.log, "store came back from an older copy; listing all objects";
                "era" => era, "before" => before);
            self.restored.notify_waiters();
        }
    }

    /// Notices an era of the store that a peer names. A watch on a connection that the store has
    /// abandoned wouldn't show it for long. It is no more than a reason to ask the store: anyone
    /// can send a digest.
    pub fn hint_store_era(&self, era: u64) {
        let known = self.store.era.known();
        if known > 0 && era > known.max(self.hinted_store_era.get()) {
            self.hinted_store_era.set(era);
            self.restored.notify_waiters();
        }
    }
}
