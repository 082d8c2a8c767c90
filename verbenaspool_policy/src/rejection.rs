//! The time after which a rejected caller should retry.
//!
//! Rejected callers may retry at once, or all at the same time. A rejection is final and
//! answered as soon as it is decided. Unless an upstream is missing or attempts failed,
//! its retry time is when the customer's queued work will be done, with random jitter.

use std::time::Duration;

use crate::decision::Reason;

/// The least retry time, so that no rejected caller is told to retry at once.
const MIN_RETRY_AFTER_SECONDS: f64 = 0.1;
/// The greatest retry time. The present load doesn't predict the load more than a
/// minute ahead.
const MAX_RETRY_AFTER_SECONDS: f64 = 60.0;
/// The most random jitter, as a fraction of the estimate, so that callers rejected
/// together don't return together.
const MAX_JITTER_RATIO: f64 = 0.5;
/// The retry time while no upstream is known: about the time until a list of members
/// arrives.
const NO_UPSTREAM_SECONDS: f64 = 2.0;
/// The retry time after failed attempts: about the length of a stall or of a process
/// restart. Queued work doesn't predict either.
const NO_RETRY_SECONDS: f64 = 2.0;

/// Returns the retry time, where the customer's queued work takes `wait_seconds` and
/// `random` lies between 0 and 1.
#[must_use]
pub fn retry_after(reason: Reason, wait_seconds: f64, random: f64) -> Duration {
    let wait_seconds = match reason {
        Reason::NoUpstream => NO_UPSTREAM_SECONDS,
        Reason::NoRetry => NO_RETRY_SECONDS,
        _ => wait_seconds,
    };
    let seconds = wait_seconds * (1.0 + MAX_JITTER_RATIO * random);
    // A wait that is NaN, as without any capacity, counts as the longest.
    let seconds = if seconds.is_nan() {
        MAX_RETRY_AFTER_SECONDS
    } else {
        seconds
    };
    Duration::from_secs_f64(seconds.clamp(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS))
}

#[cfg(test)]
mod tests;
