//! Limits how often requests are sent to a second upstream.
//!
//! If upstreams fail because they are overloaded, every retry adds load, and the service
//! would stay down after the cause is gone. The limit applies to all entries together. Each
//! entry keeps to its share without coordination, so that no message can be missing or
//! late.

use std::{collections::VecDeque, time::Duration};

/// The limits set by the operator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Retries allowed as a share of requests.
    pub ratio: f64,
    /// The window in which requests and retries are counted.
    pub window: Duration,
    /// Additional retries allowed in the window, for all entries together.
    pub slack: f64,
}

/// The share of the limit that is used. A retry is counted when it arrives, which may be in
/// a later window than the one it was sent in.
const BUDGET_USE_RATIO: f64 = 0.7;

/// Requests and retries of one service at one entry.
#[derive(Debug, Default)]
pub struct Budget {
    /// Times of requests.
    requests: VecDeque<Duration>,
    /// Times of retries.
    retries: VecDeque<Duration>,
}

impl Budget {
    /// Records a request.
    pub fn record_request(&mut self, now: Duration, limits: &Limits) {
        drop_expired(&mut self.requests, now, limits.window);
        self.requests.push_back(now);
    }

    /// Whether a request may be retried now. `entries` is the number of entries that share
    /// the slack. While it is unknown, no slack is used.
    pub fn allows_retry(&mut self, now: Duration, limits: &Limits, entries: Option<usize>) -> bool {
        drop_expired(&mut self.requests, now, limits.window);
        drop_expired(&mut self.retries, now, limits.window);
        #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
        let (requests, retries, slack) = (
            self.requests.len() as f64,
            self.retries.len() as f64,
            entries.map_or(0.0, |entries| limits.slack / entries.max(1) as f64),
        );
        retries + 1.0 <= BUDGET_USE_RATIO * (limits.ratio * requests + slack)
    }

    /// Records a retry if it is allowed. Returns whether it is.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_policy::dispatch::retry_budget::{Limits, Budget};
    ///
    /// let limits = Limits { ratio: 0.0, window: Duration::from_secs(10), slack: 2.0 };
    /// let mut budget = Budget::default();
    /// assert!(budget.try_retry(Duration::ZERO, &limits, Some(1)));
    /// assert!(!budget.try_retry(Duration::ZERO, &limits, Some(1)));
    /// ```
    pub fn try_retry(&mut self, now: Duration, limits: &Limits, entries: Option<usize>) -> bool {
        let allowed = self.allows_retry(now, limits, entries);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }
}

/// Drops times older than the window.
fn drop_expired(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times
        .front()
        .is_some_and(|at| now.saturating_sub(*at) > window)
    {
        times.pop_front();
    }
}
