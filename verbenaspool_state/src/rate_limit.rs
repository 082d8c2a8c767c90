//! Limits that upstreams set on the requests that they take.

use std::time::Duration;

/// What an answer of an upstream says about its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Notice {
    /// It sets no limit.
    Unlimited,
    /// It takes this many requests a second from all entries together.
    PerSecond(f64),
    /// It sets a limit that can't be read.
    Unreadable,
}

/// The limit of an upstream, as last known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateLimit {
    /// Requests per second that it takes from all entries together; `None` without a limit.
    pub per_second: Option<f64>,
    /// When that was known to hold.
    pub as_of: Duration,
}

impl RateLimit {
    /// The limit by an answer, received at `received_at` to a request that was sent at
    /// `sent_at`; `None` if the answer leaves it as it was.
    ///
    /// When the upstream wrote its answer is unknown. An answer without a limit therefore holds
    /// from when its request was sent, and lifts no limit that was received later.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_state::rate_limit::{Notice, RateLimit};
    ///
    /// let second = Duration::from_secs(1);
    /// let mut limit = RateLimit::default();
    /// let named = RateLimit::by_answer(Notice::PerSecond(2.0), second, second * 3);
    /// assert!(limit.update(named.unwrap()));
    /// let earlier = RateLimit::by_answer(Notice::Unlimited, second * 2, second * 4);
    /// assert!(!limit.update(earlier.unwrap()));
    /// assert_eq!(limit.per_second, Some(2.0));
    /// ```
    #[must_use]
    pub fn by_answer(notice: Notice, sent_at: Duration, received_at: Duration) -> Option<Self> {
        match notice {
            Notice::Unlimited => Some(Self {
                per_second: None,
                as_of: sent_at,
            }),
            Notice::PerSecond(rate) => Some(Self {
                per_second: Some(rate),
                as_of: received_at,
            }),
            Notice::Unreadable => None,
        }
    }

    /// Replaces the limit, unless the given one is older. Returns whether it changed.
    pub fn update(&mut self, newer: Self) -> bool {
        if newer.as_of < self.as_of {
            return false;
        }
        let changed = newer.per_second != self.per_second;
        *self = newer;
        changed
    }
}
