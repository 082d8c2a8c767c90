//! How fast a new or returned upstream takes work up.
//!
//! Load: upstreams that join with cold caches, or come back after a fault, when
//! the least loaded choice would hand them everything at once.

use std::time::Duration;

/// The part of its work that an upstream gets at the start of the ramp.
const FIRST: f64 = 0.1;

/// The part of its limit that an upstream gets, `since` when it joined.
///
/// ```
/// use std::time::Duration;
/// use verbenaspool_policy::ramp;
///
/// let second = Duration::from_secs(1);
/// assert_eq!(ramp::part(second * 9, second * 4, second * 10), 0.5);
/// assert_eq!(ramp::part(second * 20, second * 4, second * 10), 1.0);
/// ```
#[must_use]
pub fn part(now: Duration, since: Duration, ramp: Duration) -> f64 {
    let passed = now.saturating_sub(since);
    if passed >= ramp {
        return 1.0;
    }
    (passed.as_secs_f64() / ramp.as_secs_f64()).max(FIRST)
}
