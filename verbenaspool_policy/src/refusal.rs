//! When a refused caller should come back.
//!
//! Load: callers that ask again at once when they are refused, or all together.
//! A refusal is final and given at once; what it says is when the work that is
//! waiting for the same customer will be done, spread over a while.

use std::time::Duration;

use crate::decision::Reason;

/// The least time a refused caller stays away, so that a refusal is never an
/// invitation to ask again at once.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.1;
/// The most time a refused caller is told to stay away. What is known about the
/// load says nothing about a time beyond a minute.
const MAX_RETRY_AFTER_SECONDS: f64 = 60.0;
/// How much longer than estimated a caller may be told to stay away, at random,
/// so that callers refused together don't come back together.
const MAX_JITTER_RATIO: f64 = 0.5;
/// How long a caller stays away where no upstream is known: about the time a
/// list of members takes to arrive.
const NO_UPSTREAM_SECONDS: f64 = 2.0;
/// How long a caller stays away whose attempts failed: about as long as a stall
/// or the restart of a process. What waits says nothing about that.
const NO_RETRY_SECONDS: f64 = 2.0;

/// The time to stay away, where the customer's waiting work takes `wait` seconds
/// and `random` is a number from 0 to 1.
#[must_use]
pub fn retry_after(reason: Reason, wait_seconds: f64, random: f64) -> Duration {
    let wait_seconds = match reason {
        Reason::NoUpstream => NO_UPSTREAM_SECONDS,
        Reason::NoRetry => NO_RETRY_SECONDS,
        _ => wait_seconds,
    };
    let seconds = wait_seconds * (1.0 + MAX_JITTER_RATIO * random);
    // A wait that isn't a number, as at no capacity at all, counts as the longest.
    let seconds = if seconds.is_nan() {
        MAX_RETRY_AFTER_SECONDS
    } else {
        seconds
    };
    Duration::from_secs_f64(seconds.clamp(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS))
}

#[cfg(test)]
mod tests;
