use std::time::Duration;

use super::{Divergence, FOLLOWER_DELAY, MIN_CORRECTION_INTERVAL, WATCHER_DELAY};

/// When an entry corrects its registry, if a peer's differs from a second on.
fn corrections(watches: bool, differs: impl Fn(Duration) -> bool) -> Vec<Duration> {
    let mut divergence = Divergence::default();
    let times = (0..200_u32).map(|step| Duration::from_millis(50) * step);
    let corrected = times.filter(|now| divergence.observe(*now, differs(*now), watches));
    corrected.collect()
}

/// Guards against entries that take the wrong registry of one that watches before that one has
/// listed it again.
#[test]
fn entries_that_watch_the_store_correct_their_registry_first() {
    let second = Duration::from_secs(1);
    let [watcher, follower] =
        [true, false].map(|watches| corrections(watches, |now| now >= second));
    assert_eq!(watcher.first(), Some(&(second + WATCHER_DELAY)));
    assert_eq!(follower.first(), Some(&(second + FOLLOWER_DELAY)));
}

/// Guards against a call to the store with each digest of a peer that stays wrong, and against one
/// for registries that differ for a moment.
#[test]
fn corrections_are_rare() {
    let all = corrections(true, |_| true);
    assert!(all[1] >= all[0] + MIN_CORRECTION_INTERVAL);
    assert_eq!(all.len(), 2);
    assert!(corrections(true, |now| now.as_millis() % 300 < 150).is_empty());
}
