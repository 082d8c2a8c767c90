//! Slow ranks and stalled streams.
//!
//! Every pass of a lock-stepped group waits for its slowest rank. A single rank that is 12
//! times slower makes the streams of all ranks late, and any stream sent to it keeps it
//! part of each pass. It must get no new streams, and its streams move to other ranks while
//! the group's agents move its experts away: a rank without streams and experts delays
//! nobody.
//!
//! Streams of a group get their events together. If all of them stall, moving one to
//! another rank of the group gains nothing: it uses up the stream's second attempt, and its
//! prompt is read again. Only a stream that stalls while others of its group continue is
//! stuck by itself.

use std::time::Duration;

/// A rank that is this many times slower than the fastest one counts as slow. Below, its
/// part of a pass takes no longer than that of the busiest rank on expert map 0, which
/// groups can bear.
const SLOW_RANK_RATIO: f64 = 2.0;

/// How much later than a stream others of its group must have got an event for the stream
/// to be stuck by itself. Events of one pass arrive within a few milliseconds.
const PASS_EVENT_SKEW: Duration = Duration::from_millis(100);

/// Whether a rank with this pace counts as slow compared with the fastest one.
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

/// How far a stall extends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallScope {
    /// Only the stream is stalled.
    Stream,
    /// The whole group is stalled, and other groups run.
    Group,
    /// The whole group is stalled, and no other group runs.
    Service,
}

/// Classifies a stall by the times of the last event of the stream and of its group.
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
