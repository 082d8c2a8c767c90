//! How long watches wait, and how soon they follow each other.
//!
//! A watch on a connection that has gone silent looks like one that waits for changes. A change that
//! all watches miss that way is known to nobody until the first of them is given up, so the two
//! entries of the fleet that come first are given up in time for all.

use std::time::Duration;

/// Waits of the watches of the first two entries. With the time-out and the half second until peers have
/// a change, they are within the 3 s after a disturbance in which entries may miss one. The second
/// entry makes up for the loss of the first, and is in another zone if there is one. They aren't shorter
/// because each call to the store has a cost.
const FIRST_WAITS: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_millis(1_750)];

/// Each further entry that watches adds this to the mean wait of those entries, so that the calls to
/// the store don't grow with their number.
const WAIT_PER_ENTRY: Duration = Duration::from_millis(3_200);

/// How much waits of further entries differ from their mean, as a share of it: those that were
/// ended by the same change would otherwise be renewed together.
const WAIT_SPREAD: f32 = 0.25;

/// Maximum wait of a watch with any number of entries. This is the limit of the store.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Delay of the next watch after a change. Changes come in bursts, for example when all
/// upstreams start at the same time, and each watch that returns one has a cost. All
/// changes must be active within 2 s.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(150);

/// Each entry adds this to the maximum delay during a burst of changes, because each watch
/// is repeated by every entry.
pub const BATCH_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(10);

/// Maximum delay during a burst of changes with any number of entries.
pub const MAX_BATCH_INTERVAL: Duration = Duration::from_millis(600);

/// How long a watch waits for changes, given the rank of its entry among those that watch the store and
/// their number, including this one. `random` is a number from 0 to 1.
///
/// Every entry renews its watches, so the calls to the store would grow with the number of
/// entries. An entry that misses a change learns of it from its peers' digests, so two entries that
/// soon detect a silent connection are enough.
pub fn watch_wait(rank: usize, watchers: usize, random: f32) -> Duration {
    if let Some(wait) = FIRST_WAITS.get(rank) {
        return *wait;
    }
    let others = watchers.max(rank + 1) - FIRST_WAITS.len();
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    let mean = WAIT_PER_ENTRY.saturating_mul(others).min(MAX_WAIT);
    let factor = 1.0 + WAIT_SPREAD * (2.0 * random - 1.0);
    mean.mul_f32(factor).min(MAX_WAIT)
}

/// The delay after a change, given the previous delay, how long the watch waited for the
/// change, and the number of entries that watch. The delay doubles during a burst of changes.
pub fn next_batch_interval(previous: Duration, waited: Duration, entries: usize) -> Duration {
    if waited >= previous {
        return BATCH_INTERVAL;
    }
    let entries = u32::try_from(entries).unwrap_or(u32::MAX).saturating_sub(1);
    let max = BATCH_INTERVAL + BATCH_INTERVAL_PER_ENTRY.saturating_mul(entries);
    (previous * 2).min(max.min(MAX_BATCH_INTERVAL))
}
