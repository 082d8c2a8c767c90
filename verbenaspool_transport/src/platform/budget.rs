//! A rate limit on the calls that one process makes to the platform, as a token bucket.
//!
//! After an outage, every instance has something to read and write, and the store would
//! fail again if all of that arrived at once. Backoff spreads the calls that fail; the
//! budget limits those that succeed, such as a restarted zone reading thousands of pieces.
//! Calls beyond the budget are delayed, and status writes, which nothing waits for, are
//! dropped first.

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;

use super::{CallFuture, Entry, Error, Events, Object, Store, When};
use crate::clock::Clock;

/// Settings of the rate limit of one process.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Sustained rate. Two watchers in each of 11 zones at this rate use half of
    /// the store's 2,000 reads per second.
    pub calls_per_second: f64,
    /// Maximum number of calls that may be made at once after a period of few calls.
    pub burst: f64,
    /// Status writes are dropped while fewer tokens than this are left.
    pub status_reserve: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            calls_per_second: 45.0,
            burst: 90.0,
            status_reserve: 20.0,
        }
    }
}

/// A store that limits the rate of calls to another one.
pub struct Budget {
    /// The store that is called.
    store: Rc<dyn Store>,
    /// The clock.
    clock: Rc<dyn Clock>,
    /// The settings.
    settings: Settings,
    /// Calls left; negative while calls are waiting.
    tokens: Cell<f64>,
    /// When tokens were last added.
    refilled_at: Cell<Duration>,
}

impl Budget {
    /// Wraps a store with the limits in `settings`.
    ///
    /// ```no_run
    /// # fn example(store: std::rc::Rc<dyn verbenaspool_transport::platform::Store>) {
    /// use verbenaspool_transport::{clock::Monotonic, platform::budget::{Budget, Settings}};
    ///
    /// let store = Budget::new(store, Monotonic::start(), Settings::default());
    /// # }
    /// ```
    #[must_use]
    pub fn new(store: Rc<dyn Store>, clock: Rc<dyn Clock>, settings: Settings) -> Rc<Self> {
        Rc::new(Self {
            store,
            settings,
            tokens: Cell::new(settings.burst),
            refilled_at: Cell::new(clock.now()),
            clock,
        })
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&self) {
        let now = self.clock.now();
        let added = now
            .saturating_sub(self.refilled_at.replace(now))
            .as_secs_f64()
            * self.settings.calls_per_second;
        self.tokens
            .set((self.tokens.get() + added).min(self.settings.burst));
    }

    /// Takes a token for a call, and waits until the rate allows the call.
    async fn acquire(&self) {
        self.refill();
        let tokens = self.tokens.get() - 1.0;
        self.tokens.set(tokens);
        if tokens < 0.0 {
            let wait = Duration::from_secs_f64(-tokens / self.settings.calls_per_second);
            self.clock.sleep(wait).await;
        }
    }

    /// Whether a write is to be dropped because too few tokens are left.
    fn is_dropped(&self, key: &str) -> bool {
        self.refill();
        key.contains("/status/") && self.tokens.get() < self.settings.status_reserve
    }
}

impl Store for Budget {
    fn get<'a>(&'a self, key: &'a str) -> CallFuture<'a, Option<Object>> {
        Box::pin(async move {
            self.acquire().await;
            self.store.get(key).await
        })
    }

    fn put<'a>(&'a self, key: &'a str, value: Bytes, when: When) -> CallFuture<'a, u64> {
        Box::pin(async move {
            if self.is_dropped(key) {
                return Err(Error::Busy);
            }
            self.acquire().await;
            self.store.put(key, value, when).await
        })
    }

    fn delete<'a>(&'a self, key: &'a str, when: When) -> CallFuture<'a, ()> {
        Box::pin(async move {
            self.acquire().await;
            self.store.delete(key, when).await
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, Vec<Entry>> {
        Box::pin(async move {
            self.acquire().await;
            self.store.list(prefix).await
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, since: u64, wait: Duration) -> CallFuture<'a, Events> {
        Box::pin(async move {
            self.acquire().await;
            self.store.watch(prefix, since, wait).await
        })
    }

    fn era(&self) -> u64 {
        self.store.era()
    }
}
