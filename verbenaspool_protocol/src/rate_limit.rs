//! Limits that upstreams name in their answers, in messages between processes.
//!
//! Times are relative to the sending of the message, since processes share no clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaspool_state::rate_limit;

/// Maximum number of upstreams in one message, which has to fit in a datagram.
pub const MAX_REPORTS: usize = 64;

/// The limit on an upstream's requests, as known to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests per second that it takes from all entries together; `None` without a limit.
    pub per_second: Option<f32>,
    /// How long ago that was known to hold, in milliseconds.
    pub age_ms: u32,
}

impl RateLimit {
    /// The limit for a message that is sent at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_protocol::rate_limit::RateLimit;
    /// use verbenaspool_state::rate_limit;
    ///
    /// let (second, per_second) = (Duration::from_secs(1), Some(2.0));
    /// let limit = rate_limit::RateLimit { per_second, as_of: second };
    /// let sent = RateLimit::at(second * 3, limit);
    /// assert_eq!(sent.age_ms, 2_000);
    /// assert_eq!(sent.received_at(second * 9).unwrap().as_of, second * 7);
    /// ```
    #[must_use]
    pub fn at(now: Duration, limit: rate_limit::RateLimit) -> Self {
        let age_ms = now.saturating_sub(limit.as_of).as_millis();
        #[allow(clippy::cast_possible_truncation)] // Half of the precision is enough.
        let per_second = limit.per_second.map(|rate| rate as f32);
        Self {
            per_second,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }

    /// The limit that a message received at `now` tells; `None` if it is implausible.
    #[must_use]
    pub fn received_at(self, now: Duration) -> Option<rate_limit::RateLimit> {
        let plausible = |rate: f32| rate.is_finite() && rate >= 0.0;
        if !self.per_second.is_none_or(plausible) {
            return None;
        }
        Some(rate_limit::RateLimit {
            per_second: self.per_second.map(f64::from),
            as_of: now.saturating_sub(Duration::from_millis(self.age_ms.into())),
        })
    }
}

/// The limit of an upstream, for other entries.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The [`crate::digest::hash`] of the upstream.
    pub upstream: u32,
    /// Its limit.
    pub limit: RateLimit,
}
