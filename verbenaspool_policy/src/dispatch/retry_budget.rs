//! How often requests may be sent to a second upstream.
//!
//! Load: upstreams that fail because they have too much to do. Each failure that
//! is sent once more adds load, so a failing service would stay down after its
//! cause is gone. All entries together may send a part of their requests once
//! more; each keeps to its own part of that by itself, so that no word between
//! them is needed and none can be late.

use std::{collections::VecDeque, time::Duration};

/// What the operator allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// The part of requests that may be sent once more.
    pub ratio: f64,
    /// The window in which both are counted.
    pub window: Duration,
    /// What may be sent once more beyond that, by all entries together.
    pub slack: f64,
}

/// The part of what is allowed that is used: a repeat is counted when it
/// arrives, and may arrive in another window than it was sent in.
const BUDGET_USE_RATIO: f64 = 0.7;

/// Requests and repeats of one service at one entry.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// When requests came.
    requests: VecDeque<Duration>,
    /// When some were sent once more.
    retries: VecDeque<Duration>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self, now: Duration, limits: &RetryLimits) {
        drop_expired(&mut self.requests, now, limits.window);
        self.requests.push_back(now);
    }

    /// Whether a request may be sent once more. `entries` is how many share the slack.
    pub fn allows_retry(&mut self, now: Duration, limits: &RetryLimits, entries: usize) -> bool {
        drop_expired(&mut self.requests, now, limits.window);
        drop_expired(&mut self.retries, now, limits.window);
        #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
        let (requests, retries, entries) = (
            self.requests.len() as f64,
            self.retries.len() as f64,
            entries.max(1) as f64,
        );
        retries + 1.0 <= BUDGET_USE_RATIO * (limits.ratio * requests + limits.slack / entries)
    }

    /// Whether a request may be sent once more; counts it if so.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::retry_budget::{RetryLimits, RetryBudget};
    ///
    /// let limits = RetryLimits { ratio: 0.0, window: Duration::from_secs(10), slack: 2.0 };
    /// let mut budget = RetryBudget::default();
    /// assert!(budget.try_retry(Duration::ZERO, &limits, 1));
    /// assert!(!budget.try_retry(Duration::ZERO, &limits, 1));
    /// ```
    pub fn try_retry(&mut self, now: Duration, limits: &RetryLimits, entries: usize) -> bool {
        let allowed = self.allows_retry(now, limits, entries);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }
}

/// Drops what is older than the window.
fn drop_expired(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times
        .front()
        .is_some_and(|at| now.saturating_sub(*at) > window)
    {
        times.pop_front();
    }
}
