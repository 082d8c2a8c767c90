//! Ranks that are slow, and what the silence of a stream means.
//!
//! Load: one rank of a lock-stepped group that turns slow. Every pass waits for it, so
//! one rank that is 12 times slow makes the streams of all ranks late, and whatever is
//! sent to it keeps it in each pass. Nothing may be placed there, and its streams go on
//! at other ranks, while the group's agents take its experts away: a rank without
//! streams and experts holds nobody back.
//!
//! Streams of a group get their events together. Where all of them are silent, moving
//! one to another rank of the group gains nothing: it spends the stream's second
//! sending and reads its prompt again. Only a stream that is silent while others of its
//! group flow is stuck.

use std::time::Duration;

/// How many times longer than the quickest rank a rank may take before it counts as
/// slow. Below, its part of a pass is as long as that of the busiest rank on map 0,
/// which groups bear.
const SLOW_RANK_RATIO: f64 = 2.0;

/// How much later than a stream others of its group must have got an event for that
/// stream to be stuck: events of one pass arrive within a few milliseconds.
const PASS_EVENT_SKEW: Duration = Duration::from_millis(100);

/// Whether a rank of this pace counts as slow beside the quickest one.
///
/// ```
/// use verbenaspool_policy::dispatch::slow;
///
/// assert!(slow::is_slow(4.8, 1.0));
/// assert!(!slow::is_slow(4.8, 4.0));
/// ```
#[must_use]
pub fn is_slow(pace: f64, fastest: f64) -> bool {
    pace >= SLOW_RANK_RATIO * fastest
}

/// What the silence of a stream means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallScope {
    /// The stream alone is silent.
    Stream,
    /// Its whole group is silent, and other groups run.
    Group,
    /// Its whole group is silent, and no other one runs.
    Service,
}

/// Judges the silence of a stream by when it and its group had their last events.
///
/// ```
/// use std::time::Duration;
///
/// use verbenaspool_policy::dispatch::slow::{StallScope, classify};
///
/// let (stream, group) = (Duration::from_secs(1), Duration::from_millis(1_005));
/// assert_eq!(classify(stream, Some(group), false), StallScope::Service);
/// assert_eq!(classify(stream, Some(group * 2), false), StallScope::Stream);
/// ```
#[must_use]
pub fn classify(
    stream_event: Duration,
    group_event: Option<Duration>,
    other_groups_run: bool,
) -> StallScope {
    if group_event.is_some_and(|at| at > stream_event + PASS_EVENT_SKEW) {
        StallScope::Stream
    } else if other_groups_run {
        StallScope::Group
    } else {
        StallScope::Service
    }
}
