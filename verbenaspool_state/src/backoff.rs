//! Backoff that upstreams request: until when they want no requests of this process.

use std::{collections::BTreeMap, time::Duration};

/// The servers that want no requests for now, by id or address.
#[derive(Debug, Clone)]
pub struct Backoffs<K>(BTreeMap<K, Backoff>);

/// The backoff of one server.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    /// When it was last requested.
    requested_at: Duration,
    until: Duration,
}

impl<K: Ord> Default for Backoffs<K> {
    fn default() -> Self {
        Self(BTreeMap::new())
    }
}

impl<K: Ord> Backoffs<K> {
    /// Records that a server wants no requests for a time from `now` on. A request for a shorter
    /// time leaves an earlier one in force.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_state::backoff::Backoffs;
    ///
    /// let (second, mut backoffs) = (Duration::from_secs(1), Backoffs::default());
    /// backoffs.record(second, "a", second * 3);
    /// backoffs.record(second * 2, "a", second);
    /// assert_eq!(backoffs.left(second * 3, &"a"), second);
    /// assert!(backoffs.left(second * 4, &"a").is_zero());
    /// ```
    pub fn record(&mut self, now: Duration, server: K, time: Duration) {
        self.0.retain(|_, backoff| now < backoff.until);
        let backoff = self.0.entry(server).or_default();
        backoff.requested_at = now;
        backoff.until = backoff.until.max(now.saturating_add(time));
    }

    /// Ends the backoff of a server if it was last requested before a time, at which the server
    /// started again.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_state::backoff::Backoffs;
    ///
    /// let (second, mut backoffs) = (Duration::from_secs(1), Backoffs::default());
    /// backoffs.record(second, "a", second * 60);
    /// backoffs.end_before(&"a", second);
    /// assert!(!backoffs.left(second, &"a").is_zero());
    /// backoffs.end_before(&"a", second * 2);
    /// assert!(backoffs.left(second, &"a").is_zero());
    /// ```
    pub fn end_before(&mut self, server: &K, time: Duration) {
        let backoff = self.0.get(server);
        if backoff.is_some_and(|backoff| backoff.requested_at < time) {
            self.0.remove(server);
        }
    }

    /// Ends the backoff of a server, which has started again.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_state::backoff::Backoffs;
    ///
    /// let mut backoffs = Backoffs::default();
    /// backoffs.record(Duration::ZERO, "a", Duration::from_secs(3));
    /// backoffs.end(&"a");
    /// assert!(backoffs.left(Duration::ZERO, &"a").is_zero());
    /// ```
    pub fn end(&mut self, server: &K) {
        self.0.remove(server);
    }

    /// How much longer a server wants no requests.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_state::backoff::Backoffs;
    ///
    /// assert!(Backoffs::default().left(Duration::ZERO, &"a").is_zero());
    /// ```
    #[must_use]
    pub fn left(&self, now: Duration, server: &K) -> Duration {
        let backoff = self.0.get(server);
        backoff.map_or(Duration::ZERO, |backoff| backoff.until.saturating_sub(now))
    }
}
